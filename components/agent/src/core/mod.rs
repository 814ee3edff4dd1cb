//! The agent's decisions: what waits, what runs, what was refused, and what each reader is due.

mod in_flight;
mod message;
mod overdue;
mod preempt;
mod record;
mod response_cache;
mod rules;
mod transcript;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use identity::{DispatchEpoch, Tier};
use schedule::adaptive_limiter::AdaptiveLimiter;
use schedule::queue::Queue;
use wire::{Dispatch, LoadDigest, RequestKey, Work};

use in_flight::InFlight;
pub use message::{Action, Admission, RequestStatus, UpstreamEvent};
use record::{Record, State};
use response_cache::ResponseCache;
pub use response_cache::ResponseCacheLimits;
pub use rules::AgentRules;
pub use transcript::{Cursor, ReadStep};

/// How long the answer of a finished request is held for a caller who asks again.
const KEEP_FINISHED: Duration = Duration::from_secs(120);

/// How long the end of a request is remembered; longer than a message can be on its way and than
/// any deadline.
const KEEP_WITHDRAWN: Duration = Duration::from_secs(900);

/// How long a model request goes on while nobody reads its answer.
const KEEP_UNREAD: Duration = Duration::from_secs(10);

/// Longest answer that is held.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// When a caller may come back after a refusal of work that had no time left here.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The state of one agent.
#[derive(Debug)]
pub struct Core {
    rules: AgentRules,
    limiter: AdaptiveLimiter,
    in_flight: InFlight,
    leaving: bool,
    queue: Queue<RequestKey>,
    records: HashMap<RequestKey, Record>,
    response_cache: ResponseCache,
}

impl Core {
    /// An agent that hands over at most `limit` requests at once.
    pub fn new(limit: u32) -> Core {
        Core::with_rules(limit, AgentRules::default())
    }

    /// An agent with some rules switched off.
    pub fn with_rules(limit: u32, rules: AgentRules) -> Core {
        Core::with_bounds(limit, rules, ResponseCacheLimits::default())
    }

    /// An agent with its own limits on the cache of finished responses.
    pub fn with_response_cache_limits(limit: u32, limits: ResponseCacheLimits) -> Core {
        Core::with_bounds(limit, AgentRules::default(), limits)
    }

    fn with_bounds(limit: u32, rules: AgentRules, limits: ResponseCacheLimits) -> Core {
        Core {
            rules,
            limiter: AdaptiveLimiter::new(limit),
            in_flight: InFlight::default(),
            leaving: false,
            queue: Queue::new(),
            records: HashMap::new(),
            response_cache: ResponseCache::new(limits),
        }
    }

    /// Takes a request, or says why not.
    pub fn dispatch(&mut self, dispatch: Dispatch, now: Instant) -> (Admission, Vec<Action>) {
        if let Some(record) = self.records.get(&dispatch.key)
            && !record.gives_way_to(dispatch.epoch)
        {
            return (record.admit_again(dispatch.epoch), Vec::new());
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
        (Admission::Accepted, self.fill(now))
    }

    /// Takes what the upstream said of a request.
    pub fn on_upstream_event(
        &mut self,
        key: &RequestKey,
        event: UpstreamEvent,
        now: Instant,
    ) -> Vec<Action> {
        let Some(record) = self.records.get_mut(key) else { return Vec::new() };
        if record.state != State::Running {
            return Vec::new();
        }
        let mut actions = vec![Action::WakeReaders(key.clone())];
        self.in_flight.observe(key, &event, &mut self.limiter, now);
        let is_data = matches!(event, UpstreamEvent::Data(_));
        if record.take_upstream_event(event, now) {
            if is_data {
                actions.push(Action::Abort(key.clone()));
            }
            self.in_flight.remove(key);
            self.hold(key, now);
            actions.extend(self.fill(now));
        }
        actions
    }

    /// Status of a request; a dispatch never seen is withdrawn, that is, rejected from now on.
    pub fn status_or_withdraw(
        &mut self,
        key: &RequestKey,
        epoch: DispatchEpoch,
        now: Instant,
    ) -> RequestStatus {
        match self.records.get(key) {
            Some(record) if record.epoch > epoch => RequestStatus::NotRun,
            Some(record) if !record.gives_way_to(epoch) => record.status(),
            _ => {
                self.records.insert(key.clone(), Record::withdrawn(epoch, now));
                RequestStatus::Withdrawn
            }
        }
    }

    /// Ends a request whose caller is gone, and says how far it had come.
    pub fn cancel(
        &mut self,
        key: &RequestKey,
        epoch: DispatchEpoch,
        now: Instant,
    ) -> (RequestStatus, Vec<Action>) {
        let status = self.status_or_withdraw(key, epoch, now);
        let actions = match status {
            RequestStatus::Queued => self.cancel_queued(key, now),
            RequestStatus::Running => self.cancel_running(key, now),
            _ => Vec::new(),
        };
        (status, actions)
    }

    fn cancel_queued(&mut self, key: &RequestKey, now: Instant) -> Vec<Action> {
        let Some(record) = self.records.get_mut(key) else { return Vec::new() };
        record.end_not_run(Refusal::not_run(ResultCode::Withdrawn), now);
        self.queue.remove(key);
        vec![Action::WakeReaders(key.clone())]
    }

    fn cancel_running(&mut self, key: &RequestKey, now: Instant) -> Vec<Action> {
        let Some(record) = self.records.get_mut(key) else { return Vec::new() };
        if !record.is_model() {
            return Vec::new();
        }
        record.end(Refusal::new(ResultCode::Withdrawn, Outcome::Ran), now);
        self.in_flight.remove(key);
        self.hold(key, now);
        let mut actions = vec![Action::Abort(key.clone()), Action::WakeReaders(key.clone())];
        actions.extend(self.fill(now));
        actions
    }

    /// Adds a reader of the response to a request.
    pub fn add_reader(&mut self, key: &RequestKey) {
        if let Some(record) = self.records.get_mut(key) {
            record.readers.join();
        }
    }

    /// Removes a reader.
    pub fn remove_reader(&mut self, key: &RequestKey, now: Instant) {
        if let Some(record) = self.records.get_mut(key) {
            record.readers.leave(now);
        }
    }

    /// Counts a finished answer as held; the oldest give way to it.
    fn hold(&mut self, key: &RequestKey, now: Instant) {
        let Some(record) = self.records.get(key) else { return };
        self.response_cache.add(key.clone(), record.transcript.len_bytes(), now);
        let records = &self.records;
        let is_read = |key: &RequestKey| records.get(key).is_some_and(|r| r.readers.are_there());
        for evicted in self.response_cache.take_surplus(is_read) {
            self.evict(&evicted);
        }
    }

    fn evict(&mut self, key: &RequestKey) {
        if let Some(record) = self.records.get_mut(key)
            && record.state == State::Finished
        {
            record.transcript.evict();
        }
    }

    /// Model requests whose answer nobody has read for long.
    fn cancel_unread(&mut self, now: Instant) -> Vec<Action> {
        let unread: Vec<RequestKey> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_model() && record.readers.are_gone(now))
            .map(|(key, _)| key.clone())
            .collect();
        let cancelled = unread.iter().flat_map(|key| match self.records[key].state {
            State::Queued => self.cancel_queued(key, now),
            State::Running => self.cancel_running(key, now),
            _ => Vec::new(),
        });
        cancelled.collect()
    }

    /// Does what time brings: overdue requests are answered, old answers dropped.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        if self.rules.adapt_limit {
            self.limiter.adjust_limit(self.in_flight.len(), !self.queue.is_empty(), now);
        }
        let mut actions = self.fill(now);
        actions.extend(self.cancel_unread(now));
        for key in self.response_cache.take_expired(now) {
            self.evict(&key);
        }
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
                actions.push(Action::WakeReaders(key));
            }
        }
        actions
    }

    /// What a reader of a dispatch is due next; nothing where another dispatch is held.
    pub fn read(&self, key: &RequestKey, epoch: DispatchEpoch, cursor: &mut Cursor) -> ReadStep {
        match self.records.get(key) {
            Some(record) if record.epoch == epoch => record.transcript.read(cursor),
            _ => ReadStep::End,
        }
    }

    /// Every dispatch that is held or remembered.
    pub fn held_dispatches(&self) -> impl Iterator<Item = (&RequestKey, DispatchEpoch)> {
        self.records.iter().map(|(key, record)| (key, record.epoch))
    }

    /// The epoch of the dispatch that is held.
    pub fn epoch_of(&self, key: &RequestKey) -> Option<DispatchEpoch> {
        self.records.get(key).map(|record| record.epoch)
    }

    /// Whether the upstream works on the request.
    pub fn is_running(&self, key: &RequestKey) -> bool {
        self.records.get(key).is_some_and(|record| record.state == State::Running)
    }

    /// Whether nothing waits or runs.
    fn is_idle(&self) -> bool {
        self.in_flight.len() == 0 && self.queue.is_empty()
    }

    /// Whether nothing waits or runs and nobody reads an answer any more.
    pub fn is_drained(&self) -> bool {
        self.is_idle() && !self.records.values().any(|record| record.readers.are_there())
    }

    /// Load at this moment.
    pub fn load(&self) -> LoadDigest {
        let speed = self.limiter.observed_speed();
        let mut load = LoadDigest {
            queued: self.queue.len() as u32,
            running: self.in_flight.len(),
            limit: self.limiter.limit(),
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
            if self.in_flight.len() >= self.limiter.limit() {
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
        let busy = match self.in_flight.tier_in_prefill(&self.limiter, now) {
            Some(tier) if self.rules.single_prefill => tier,
            _ => return self.queue.pop(),
        };
        let records = &self.records;
        self.queue.pop_first_matching(|key| {
            let dispatch = records.get(key).and_then(|record| record.dispatch.as_deref());
            dispatch
                .is_none_or(|dispatch| dispatch.tier < busy || !in_flight::holds_prefill(dispatch))
        })
    }
}
