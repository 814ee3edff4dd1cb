//! The agent's decisions: which requests are queued, sent to the upstream, cancelled or refused,
//! and which events of a response each reader gets next.

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

use in_flight::InFlightRequests;
pub use message::{Action, Admission, RequestStatus, UpstreamEvent};
use record::{RequestRecord, RequestState};
use response_cache::ResponseCache;
pub use response_cache::ResponseCacheLimits;
pub use rules::AgentRules;
pub use transcript::{Cursor, ReadStep};

/// Time that the response of a finished request is held for callers that attach again.
const RESPONSE_RETENTION: Duration = Duration::from_secs(120);

/// Time that the record of an ended or withdrawn request is kept. It is longer than a message can
/// be delayed and longer than any deadline.
const RECORD_RETENTION: Duration = Duration::from_secs(900);

/// Time after which a model request is cancelled once its last reader is gone.
const UNREAD_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest response that is accepted from the upstream.
const RESPONSE_LIMIT_BYTES: usize = 8 << 20;

/// Retry time given to the caller of a request that is refused because the agent is draining.
const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State machine of one agent. Its input is events and the current time, its output is actions for
/// the runtime to carry out.
#[derive(Debug)]
pub struct Core {
    rules: AgentRules,
    limiter: AdaptiveLimiter,
    in_flight: InFlightRequests,
    draining: bool,
    queue: Queue<RequestKey>,
    records: HashMap<RequestKey, RequestRecord>,
    response_cache: ResponseCache,
}

impl Core {
    /// Creates an agent that has at most `limit` requests in flight at the upstream.
    pub fn new(limit: u32) -> Core {
        Core::with_rules(limit, AgentRules::default())
    }

    /// Creates an agent with the given scheduling rules.
    pub fn with_rules(limit: u32, rules: AgentRules) -> Core {
        Core::with_rules_and_limits(limit, rules, ResponseCacheLimits::default())
    }

    /// Creates an agent with the given limits of the cache of finished responses.
    pub fn with_response_cache_limits(limit: u32, limits: ResponseCacheLimits) -> Core {
        Core::with_rules_and_limits(limit, AgentRules::default(), limits)
    }

    fn with_rules_and_limits(limit: u32, rules: AgentRules, limits: ResponseCacheLimits) -> Core {
        Core {
            rules,
            limiter: AdaptiveLimiter::new(limit),
            in_flight: InFlightRequests::default(),
            draining: false,
            queue: Queue::new(),
            records: HashMap::new(),
            response_cache: ResponseCache::new(limits),
        }
    }

    /// Queues a dispatched request or refuses it. A further dispatch of a recorded request is not
    /// queued again, unless it has a newer epoch and the recorded one was not run.
    pub fn dispatch(&mut self, dispatch: Dispatch, now: Instant) -> (Admission, Vec<Action>) {
        if let Some(record) = self.records.get(&dispatch.key)
            && !record.is_replaceable_by(dispatch.epoch)
        {
            return (record.admit_duplicate(dispatch.epoch), Vec::new());
        }
        if self.draining {
            let refusal =
                Refusal::not_run(ResultCode::Draining).with_retry_after(DRAINING_RETRY_AFTER);
            return (Admission::Refused(refusal), Vec::new());
        }
        let deadline = now + dispatch.time_left;
        let latest_start = self.latest_start(&dispatch, deadline);
        if latest_start <= now && latest_start < deadline {
            let refusal = overdue::overdue_refusal(dispatch.key.request_id.as_str());
            return (Admission::Refused(refusal), Vec::new());
        }
        let key = dispatch.key.clone();
        self.queue.push(key.clone(), dispatch.tier, latest_start);
        self.records.insert(key, RequestRecord::queued(dispatch, deadline));
        (Admission::Accepted, self.start_queued(now))
    }

    /// Applies an event of the upstream to a running request; it is ignored for any other.
    pub fn on_upstream_event(
        &mut self,
        key: &RequestKey,
        event: UpstreamEvent,
        now: Instant,
    ) -> Vec<Action> {
        let Some(record) = self.records.get_mut(key) else { return Vec::new() };
        if record.state != RequestState::Running {
            return Vec::new();
        }
        let mut actions = vec![Action::WakeReaders(key.clone())];
        self.in_flight.observe_event(key, &event, &mut self.limiter, now);
        let is_data = matches!(event, UpstreamEvent::Data(_));
        if record.apply_upstream_event(event, now) {
            if is_data {
                actions.push(Action::Abort(key.clone()));
            }
            self.in_flight.remove(key);
            self.cache_response(key, now);
            actions.extend(self.start_queued(now));
        }
        actions
    }

    /// Returns the status of a request. A dispatch that was never seen is withdrawn, that is, it is
    /// refused from now on.
    pub fn status_or_withdraw(
        &mut self,
        key: &RequestKey,
        epoch: DispatchEpoch,
        now: Instant,
    ) -> RequestStatus {
        match self.records.get(key) {
            Some(record) if record.epoch > epoch => RequestStatus::NotRun,
            Some(record) if !record.is_replaceable_by(epoch) => record.status(),
            _ => {
                self.records.insert(key.clone(), RequestRecord::withdrawn(epoch, now));
                RequestStatus::Withdrawn
            }
        }
    }

    /// Cancels a request whose caller is gone, and returns its status before the cancellation. A
    /// running service call is not cancelled.
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
        if !record.is_model_call() {
            return Vec::new();
        }
        record.end_started(Refusal::new(ResultCode::Withdrawn, Outcome::Ran), now);
        self.in_flight.remove(key);
        self.cache_response(key, now);
        let mut actions = vec![Action::Abort(key.clone()), Action::WakeReaders(key.clone())];
        actions.extend(self.start_queued(now));
        actions
    }

    /// Adds a reader of the response to a request.
    pub fn add_reader(&mut self, key: &RequestKey) {
        if let Some(record) = self.records.get_mut(key) {
            record.readers.add();
        }
    }

    /// Removes a reader of the response to a request.
    pub fn remove_reader(&mut self, key: &RequestKey, now: Instant) {
        if let Some(record) = self.records.get_mut(key) {
            record.readers.remove(now);
        }
    }

    /// Adds a finished response to the cache and evicts the responses that exceed its limits.
    fn cache_response(&mut self, key: &RequestKey, now: Instant) {
        let Some(record) = self.records.get(key) else { return };
        self.response_cache.add(key.clone(), record.transcript.len_bytes(), now);
        let records = &self.records;
        let is_read =
            |key: &RequestKey| records.get(key).is_some_and(|r| r.readers.has_attached_reader());
        for evicted in self.response_cache.remove_surplus(is_read) {
            self.evict_response(&evicted);
        }
    }

    fn evict_response(&mut self, key: &RequestKey) {
        if let Some(record) = self.records.get_mut(key)
            && record.state == RequestState::Finished
        {
            record.transcript.evict();
        }
    }

    /// Cancels the model requests whose last reader has been gone for `UNREAD_RESPONSE_TIMEOUT`.
    fn cancel_unread(&mut self, now: Instant) -> Vec<Action> {
        let unread: Vec<RequestKey> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_model_call() && record.readers.is_timed_out(now))
            .map(|(key, _)| key.clone())
            .collect();
        let cancelled = unread.iter().flat_map(|key| match self.records[key].state {
            RequestState::Queued => self.cancel_queued(key, now),
            RequestState::Running => self.cancel_running(key, now),
            _ => Vec::new(),
        });
        cancelled.collect()
    }

    /// Carries out the periodic work: adapts the limit of requests in flight, refuses overdue
    /// requests, starts queued ones, cancels model requests without readers, and drops expired
    /// responses and records.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        if self.rules.adapt_limit {
            self.limiter.adjust_limit(self.in_flight.len(), !self.queue.is_empty(), now);
        }
        let mut actions = self.start_queued(now);
        actions.extend(self.cancel_unread(now));
        for key in self.response_cache.remove_expired(now) {
            self.evict_response(&key);
        }
        self.records.retain(|_, record| !record.is_expired(now));
        actions
    }

    /// Refuses new requests from now on, and every queued request as not run.
    pub fn drain(&mut self, now: Instant) -> Vec<Action> {
        self.draining = true;
        let mut actions = Vec::new();
        for key in self.queue.drain() {
            if let Some(record) = self.records.get_mut(&key) {
                let refusal =
                    Refusal::not_run(ResultCode::Draining).with_retry_after(DRAINING_RETRY_AFTER);
                record.end_not_run(refusal, now);
                actions.push(Action::WakeReaders(key));
            }
        }
        actions
    }

    /// Returns the next event for a reader of a dispatch, or [`ReadStep::End`] if the agent holds
    /// no dispatch of the request with this epoch.
    pub fn read(&self, key: &RequestKey, epoch: DispatchEpoch, cursor: &mut Cursor) -> ReadStep {
        match self.records.get(key) {
            Some(record) if record.epoch == epoch => record.transcript.read(cursor),
            _ => ReadStep::End,
        }
    }

    /// Returns every dispatch that has a record, including ended and withdrawn ones.
    pub fn held_dispatches(&self) -> impl Iterator<Item = (&RequestKey, DispatchEpoch)> {
        self.records.iter().map(|(key, record)| (key, record.epoch))
    }

    /// Returns the epoch of the recorded dispatch of a request.
    pub fn epoch_of(&self, key: &RequestKey) -> Option<DispatchEpoch> {
        self.records.get(key).map(|record| record.epoch)
    }

    /// Whether the request has been sent to the upstream and is in progress.
    pub fn is_running(&self, key: &RequestKey) -> bool {
        self.records.get(key).is_some_and(|record| record.state == RequestState::Running)
    }

    /// Whether no request is queued or running.
    fn is_idle(&self) -> bool {
        self.in_flight.len() == 0 && self.queue.is_empty()
    }

    /// Whether no request is queued or running and no response is being read.
    pub fn is_drained(&self) -> bool {
        self.is_idle() && !self.records.values().any(|record| record.readers.has_attached_reader())
    }

    /// Returns the current load.
    pub fn load(&self) -> LoadDigest {
        let speed = self.limiter.observed_speed();
        let mut load = LoadDigest {
            queued: self.queue.len() as u32,
            running: self.in_flight.len(),
            limit: self.limiter.limit(),
            leaving: self.draining,
            queued_prefill_tokens: self.in_flight.remaining_prefill_tokens(),
            remaining_decode_tokens: self.in_flight.remaining_decode_tokens(),
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

    /// Returns the highest tier that has a queued request.
    pub fn next_tier(&self) -> Option<Tier> {
        self.queue.next_tier()
    }

    /// Refuses overdue requests and starts queued ones, as far as the limit and preemption allow.
    fn start_queued(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.refuse_overdue(now);
        loop {
            if self.in_flight.len() >= self.limiter.limit() {
                let Some(preemption) = self.preempt_for_top_tier(now) else { break };
                actions.extend(preemption);
            }
            let Some(key) = self.pop_startable(now) else { break };
            let Some(record) = self.records.get_mut(&key) else { continue };
            if let Some(dispatch) = record.start() {
                self.in_flight.add(&dispatch, now);
                actions.push(Action::Start(dispatch));
            }
        }
        actions
    }

    /// Removes the first request from the queue that may start now.
    fn pop_startable(&mut self, now: Instant) -> Option<RequestKey> {
        let prefill_tier = match self.in_flight.long_prefill_tier(&self.limiter, now) {
            Some(tier) if self.rules.single_prefill => tier,
            _ => return self.queue.pop(),
        };
        let records = &self.records;
        self.queue.pop_first_matching(|key| {
            let dispatch = records.get(key).and_then(|record| record.dispatch.as_deref());
            dispatch.is_none_or(|dispatch| {
                dispatch.tier < prefill_tier || !in_flight::is_long_prefill(dispatch)
            })
        })
    }
}
