//! The agent's decisions: what waits, what runs, what was refused, and what each reader is due.

mod in_flight;
mod overdue;
mod preempt;
mod record;
mod transcript;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use identity::Tier;
use schedule::pace::Pace;
use schedule::queue::Queue;
use wire::{Dispatch, LoadDigest, RequestKey, Work};

use in_flight::InFlight;
use record::{Record, State};
pub use transcript::{Cursor, ReadStep};

/// How long the answer of a finished request is held for a caller who asks again.
const KEEP_FINISHED: Duration = Duration::from_secs(120);

/// How long a withdrawal is remembered; longer than a message can be on its way.
const KEEP_WITHDRAWN: Duration = Duration::from_secs(900);

/// When a caller may come back after a refusal of work that had no time left here.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the upstream said of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamEvent {
    /// It has begun to answer.
    Started {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// A piece of the answer.
    Data(bytes::Bytes),
    /// The answer is whole.
    Finished,
    /// It could not be reached; nothing was handed over.
    NotReached(String),
    /// It broke off.
    Failed(String),
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Hand the request to the upstream.
    Start(Box<Dispatch>),
    /// Tell the upstream to stop working on the request.
    Abort(RequestKey),
    /// Wake the readers of the request.
    Wake(RequestKey),
}

/// What came of a request that an entry process handed over.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// It waits or runs; read its transcript.
    Held,
    /// It is refused; nothing ran.
    Refused(Refusal),
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// Never seen; refused from now on.
    Withdrawn,
    /// Waits here.
    Queued,
    /// The upstream works on it.
    Running,
    /// Its answer is held.
    Finished,
    /// It was refused before it was handed to the upstream.
    NotRun,
}

/// Which rules of the agent are on; all are, but where the cost of one is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentRules {
    /// What runs of lower tiers gives way to the highest.
    pub preempt: bool,
    /// A long prompt waits while one of its own or a higher tier is in prefill.
    pub single_prefill: bool,
    /// The limit in flight follows the time between tokens.
    pub adapt_limit: bool,
    /// Work that can no longer finish in time is answered at once.
    pub drop_hopeless: bool,
}

impl Default for AgentRules {
    fn default() -> Self {
        AgentRules { preempt: true, single_prefill: true, adapt_limit: true, drop_hopeless: true }
    }
}

impl AgentRules {
    /// Every rule off: a plain queue before a fixed number of slots.
    pub const OFF: AgentRules = AgentRules {
        preempt: false,
        single_prefill: false,
        adapt_limit: false,
        drop_hopeless: false,
    };
}

/// The state of one agent.
#[derive(Debug)]
pub struct Core {
    rules: AgentRules,
    pace: Pace,
    in_flight: InFlight,
    leaving: bool,
    queue: Queue<RequestKey>,
    records: HashMap<RequestKey, Record>,
}

impl Core {
    /// An agent that hands over at most `limit` requests at once.
    pub fn new(limit: u32) -> Core {
        Core::with_rules(limit, AgentRules::default())
    }

    /// An agent with some rules switched off.
    pub fn with_rules(limit: u32, rules: AgentRules) -> Core {
        Core {
            rules,
            pace: Pace::new(limit),
            in_flight: InFlight::default(),
            leaving: false,
            queue: Queue::new(),
            records: HashMap::new(),
        }
    }

    /// Takes a request, or says why not.
    pub fn dispatch(&mut self, dispatch: Dispatch, now: Instant) -> (Admission, Vec<Action>) {
        if let Some(record) = self.records.get(&dispatch.key) {
            return (record.admit_again(), Vec::new());
        }
        if self.leaving {
            let refusal = Refusal::not_run(ResultCode::Draining).with_retry_after(RETRY_AFTER);
            return (Admission::Refused(refusal), Vec::new());
        }
        let deadline = now + dispatch.time_left;
        let latest_start = self.latest_start(&dispatch, deadline);
        if latest_start <= now && latest_start < deadline {
            let refusal = overdue::too_late(dispatch.key.request_id.as_str());
            return (Admission::Refused(refusal), Vec::new());
        }
        let key = dispatch.key.clone();
        self.queue.push(key.clone(), dispatch.tier, latest_start);
        self.records.insert(key, Record::queued(dispatch, deadline));
        (Admission::Held, self.fill(now))
    }

    /// Takes what the upstream said of a request.
    pub fn on_upstream(
        &mut self,
        key: &RequestKey,
        event: UpstreamEvent,
        now: Instant,
    ) -> Vec<Action> {
        let Some(record) = self.records.get_mut(key) else { return Vec::new() };
        if record.state != State::Running {
            return Vec::new();
        }
        let mut actions = vec![Action::Wake(key.clone())];
        self.in_flight.observe(key, &event, &mut self.pace, now);
        if record.take_upstream_event(event, now) {
            self.in_flight.remove(key);
            actions.extend(self.fill(now));
        }
        actions
    }

    /// Says what became of a request; one never seen is refused from now on.
    pub fn settle(&mut self, key: &RequestKey, now: Instant) -> Settlement {
        match self.records.get(key) {
            Some(record) => record.settlement(),
            None => {
                self.records.insert(key.clone(), Record::withdrawn(now));
                Settlement::Withdrawn
            }
        }
    }

    /// Ends a request whose caller is gone.
    pub fn cancel(&mut self, key: &RequestKey, now: Instant) -> Vec<Action> {
        let Some(record) = self.records.get_mut(key) else { return Vec::new() };
        match record.state {
            State::Queued => {
                record.end_not_run(Refusal::not_run(ResultCode::Withdrawn), now);
                self.queue.remove(key);
                vec![Action::Wake(key.clone())]
            }
            State::Running if record.is_model() => {
                record.end(Refusal::new(ResultCode::Withdrawn, Outcome::Ran), now);
                self.in_flight.remove(key);
                let mut actions = vec![Action::Abort(key.clone()), Action::Wake(key.clone())];
                actions.extend(self.fill(now));
                actions
            }
            _ => Vec::new(),
        }
    }

    /// Does what time brings: overdue requests are answered, old answers dropped.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        if self.rules.adapt_limit {
            self.pace.adjust(self.in_flight.len(), !self.queue.is_empty(), now);
        }
        let actions = self.fill(now);
        self.records.retain(|_, record| !record.is_expired(now));
        actions
    }

    /// Takes no new work from now on; what waits goes back as not run.
    pub fn drain(&mut self, now: Instant) -> Vec<Action> {
        self.leaving = true;
        let mut actions = Vec::new();
        for key in self.queue.drain() {
            if let Some(record) = self.records.get_mut(&key) {
                let refusal = Refusal::not_run(ResultCode::Draining).with_retry_after(RETRY_AFTER);
                record.end_not_run(refusal, now);
                actions.push(Action::Wake(key));
            }
        }
        actions
    }

    /// What a reader of a request is due next.
    pub fn read(&self, key: &RequestKey, cursor: &mut Cursor) -> ReadStep {
        match self.records.get(key) {
            Some(record) => record.transcript.read(cursor),
            None => ReadStep::End,
        }
    }

    /// Whether the request has been handed to the upstream.
    pub fn is_handed_over(&self, key: &RequestKey) -> bool {
        self.records.get(key).is_some_and(|record| record.state == State::Running)
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.in_flight.len() == 0 && self.queue.is_empty()
    }

    /// Load at this moment.
    pub fn load(&self) -> LoadDigest {
        let speed = self.pace.speed();
        let mut load = LoadDigest {
            queued: self.queue.len() as u32,
            running: self.in_flight.len(),
            limit: self.pace.limit(),
            leaving: self.leaving,
            queued_prefill_tokens: self.in_flight.prefill_left(),
            remaining_decode_tokens: self.in_flight.decode_left(),
            prefill_tokens_per_s: speed.prefill_tokens_per_s,
            decode_tokens_per_s: speed.decode_tokens_per_s,
        };
        for key in self.queue.iter() {
            let dispatch = self.records.get(key).and_then(|record| record.dispatch.as_deref());
            if let Some(Work::Model(call)) = dispatch.map(|dispatch| &dispatch.work) {
                load.queued_prefill_tokens += u64::from(call.prompt_tokens);
                load.remaining_decode_tokens += u64::from(call.max_tokens);
            }
        }
        load
    }

    /// The highest tier that waits.
    pub fn next_tier(&self) -> Option<Tier> {
        self.queue.next_tier()
    }

    fn fill(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.answer_overdue(now);
        loop {
            if self.in_flight.len() >= self.pace.limit() {
                let Some(given_way) = self.make_room(now) else { break };
                actions.extend(given_way);
            }
            let Some(key) = self.next_to_start(now) else { break };
            let Some(record) = self.records.get_mut(&key) else { continue };
            if let Some(dispatch) = record.start() {
                self.in_flight.add(&dispatch, now);
                actions.push(Action::Start(dispatch));
            }
        }
        actions
    }

    /// Takes the first in the queue that may start now.
    fn next_to_start(&mut self, now: Instant) -> Option<RequestKey> {
        let busy = match self.in_flight.tier_in_prefill(&self.pace, now) {
            Some(tier) if self.rules.single_prefill => tier,
            _ => return self.queue.pop(),
        };
        let records = &self.records;
        self.queue.pop_first(|key| {
            let dispatch = records.get(key).and_then(|record| record.dispatch.as_deref());
            dispatch
                .is_none_or(|dispatch| dispatch.tier < busy || !in_flight::holds_prefill(dispatch))
        })
    }
}
