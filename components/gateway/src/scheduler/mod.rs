//! Scheduler: assigns requests to slots of upstreams.
//!
//! Engines admit requests in order of arrival and know no priorities, so a request that waits in an
//! engine's queue cannot be overtaken. An upstream is therefore sent only as many requests as it
//! processes concurrently. Other requests wait in the scheduler's queue, ordered by value, and are
//! rejected at once if they would not get a slot in time. The scheduler does no I/O: it is passed
//! time and events, and returns decisions.
//!
//! Load pattern: a burst that is longer than the latency objectives, before upstreams of unequal
//! speed. `queue` answers how many wait and in which order, `placement` where a request goes,
//! `upstream_state` how much an upstream is assigned, and `pace` how fast if it names a limit.

mod job;
mod pace;
mod placement;
mod queue;
mod speed;
mod upstream_state;
mod value;

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lru::LruCache;

use crate::model::{PeerId, ServiceId, Topology, Upstream, UpstreamId};
use placement::Selection;
use queue::{Queue, Waiter};
use upstream_state::UpstreamState;
use value::ValueModel;

pub use job::{
    AttemptOutcome, Job, Observation, Priority, Rejection, RejectionReason, RouteId, Slot, SlotId,
    Submission, WaiterId, Wakeup,
};

/// Time for which the upstream of a session's last request is remembered. Under load, engines evict
/// unused prompt parts from their caches after about as long.
const SESSION_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of remembered sessions, for all services; the least recently used ones are
/// forgotten first. It covers the sessions of `SESSION_RETENTION` at 4,800 requests per second, the
/// target of the design.
const MAX_SESSIONS: usize = 49_152;

/// State of the upstreams, and queues of the requests that wait for their slots.
#[derive(Debug)]
pub struct Scheduler {
    topology: Topology,
    upstreams: HashMap<UpstreamId, UpstreamState>,
    by_service: HashMap<ServiceId, Vec<UpstreamId>>,
    slots: HashMap<SlotId, UpstreamId>,
    /// Services that have been sent requests without a prompt.
    plain_services: HashSet<ServiceId>,
    queue: Queue,
    value_model: ValueModel,
    /// Upstream and time of each session's last request, by the id of the prompt's last part.
    sessions: LruCache<u64, (UpstreamId, Instant)>,
    last_slot_id: SlotId,
    /// Number of comparisons of an upstream with a request.
    comparisons: Cell<u64>,
}

impl Scheduler {
    /// Creates a scheduler without upstreams.
    pub fn new(topology: Topology) -> Scheduler {
        Scheduler {
            topology,
            upstreams: HashMap::new(),
            by_service: HashMap::new(),
            slots: HashMap::new(),
            plain_services: HashSet::new(),
            queue: Queue::default(),
            value_model: ValueModel::default(),
            sessions: LruCache::unbounded(),
            last_slot_id: 0,
            comparisons: Cell::new(0),
        }
    }

    /// Replaces the set of upstreams that may be used. Upstreams that remain keep their state;
    /// slots of removed ones are dropped.
    pub fn set_upstreams(&mut self, usable: &[Upstream], now: Instant) {
        let usable_ids: HashSet<UpstreamId> = usable.iter().map(Upstream::id).collect();
        self.upstreams.retain(|id, _| usable_ids.contains(id));
        self.slots.retain(|_, upstream| usable_ids.contains(upstream));
        self.by_service.clear();
        for upstream in usable {
            let id = upstream.id();
            self.by_service.entry(ServiceId::of(&upstream.service)).or_default().push(id);
            match self.upstreams.get_mut(&id) {
                Some(state) => state.update(upstream),
                None => {
                    self.upstreams.insert(id, UpstreamState::new(upstream.clone(), now));
                }
            }
        }
        for service in &self.plain_services {
            Self::allow_extra_slots(&self.by_service, &mut self.upstreams, *service);
        }
        self.update_rate_bounds();
    }

    /// Replaces the rates, in requests per second, at which upstreams may be assigned requests.
    /// Those that are not listed have no such limit.
    pub fn set_rates(&mut self, rates: &HashMap<UpstreamId, f64>, now: Instant) {
        for (id, state) in &mut self.upstreams {
            state.set_rate(rates.get(id).copied(), now);
        }
        self.update_rate_bounds();
    }

    /// Tells the queues how fast a service can serve at most: a bound exists only if all its
    /// upstreams have one.
    fn update_rate_bounds(&mut self) {
        for (service, ids) in &self.by_service {
            let states = ids.iter().filter_map(|id| self.upstreams.get(id));
            let mut usable = states.filter(|state| !state.upstream.draining).peekable();
            let has_usable = usable.peek().is_some();
            let bound = usable.map(UpstreamState::rate).sum::<Option<f64>>();
            self.queue.set_rate_bound(*service, bound.filter(|_| has_usable));
        }
    }

    /// Number of comparisons of an upstream with a request since the start, a measure of the work
    /// of the decisions.
    pub fn comparisons(&self) -> u64 {
        self.comparisons.get()
    }

    /// Requests in flight and total slots of a service's upstreams.
    pub fn slot_usage(&self, service: ServiceId) -> (u32, u32) {
        let of_service = self.by_service.get(&service).into_iter().flatten();
        let states = of_service.filter_map(|upstream| self.upstreams.get(upstream));
        states.fold((0, 0), |(running, slots), state| {
            (running + state.running(), slots.saturating_add(state.upstream.slots))
        })
    }

    /// Describes each upstream with requests in flight, for logs: number of requests, milliseconds
    /// until their prompts are prefilled, and milliseconds per thousand output tokens.
    pub fn describe_load(&self, now: Instant) -> String {
        let mut busy: Vec<&UpstreamState> =
            self.upstreams.values().filter(|state| state.running() > 0).collect();
        busy.sort_by(|a, b| a.upstream.instance.cmp(&b.upstream.instance));
        let describe_upstream = |state: &&UpstreamState| {
            format!(
                "{}:{}/{:.0}/{:.0}",
                state.upstream.instance,
                state.running(),
                state.backlog_ms(now),
                state.speed.output_ms(1_000),
            )
        };
        busy.iter().map(describe_upstream).collect::<Vec<_>>().join(",")
    }

    /// Services with known upstreams.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> + '_ {
        self.by_service.keys().copied()
    }

    /// Whether any upstream of a service is known.
    pub fn knows_service(&self, service: ServiceId) -> bool {
        self.by_service.contains_key(&service)
    }

    /// Assigns a request a slot, queues it, or rejects it.
    pub fn submit(&mut self, job: Job, now: Instant) -> Submission {
        if !self.knows_service(job.service) {
            let retry_after = placement::NO_UPSTREAM_RETRY_DELAY;
            return Submission::Rejected(Rejection {
                reason: RejectionReason::NoUpstream,
                retry_after,
            });
        }
        self.value_model.record_size(&job);
        if job.is_plain() && self.plain_services.insert(job.service) {
            Self::allow_extra_slots(&self.by_service, &mut self.upstreams, job.service);
        }
        let ahead = self.queue.count_ahead(&job, &self.value_model, now);
        if let Selection::Upstream(upstream) = self.select_upstream(&job, now)
            && !self.is_best_for_any_ahead(upstream, &job, ahead, now)
        {
            return Submission::Assigned(self.assign(upstream, &job, now));
        }
        let wait = self.queue.expected_wait(job.service, ahead, now);
        if now + wait > job.queue_deadline {
            self.value_model.record_rejected(&job, now);
            return Submission::Rejected(Rejection {
                reason: RejectionReason::Full,
                retry_after: wait,
            });
        }
        Submission::Queued(self.queue.push(job, &self.value_model, now))
    }

    fn allow_extra_slots(
        by_service: &HashMap<ServiceId, Vec<UpstreamId>>,
        upstreams: &mut HashMap<UpstreamId, UpstreamState>,
        service: ServiceId,
    ) {
        for upstream in by_service.get(&service).into_iter().flatten() {
            if let Some(state) = upstreams.get_mut(upstream) {
                state.allow_extra_slots();
            }
        }
    }

    /// Whether `upstream` is the best choice for any of the `ahead` waiting requests that are
    /// served before `job`.
    fn is_best_for_any_ahead(
        &self,
        upstream: UpstreamId,
        job: &Job,
        ahead: usize,
        now: Instant,
    ) -> bool {
        let Some(state) = self.upstreams.get(&upstream) else { return false };
        let is_match = |waiter: &Waiter| self.is_best_choice(state, waiter, now);
        self.queue.any_ahead(job.service, ahead, &self.value_model, now, is_match)
    }

    /// Rejects waiting requests that cannot get a slot in time, and assigns free slots to the
    /// others, ordered by value.
    pub fn wake_waiting(&mut self, now: Instant) -> Vec<Wakeup> {
        let mut wakeups = Vec::new();
        for waiter in self.queue.overdue(now) {
            wakeups.extend(self.reject(waiter, now));
        }
        for service in self.queue.services() {
            self.assign_waiting(service, now, &mut wakeups);
            for waiter in self.queue.unplaceable(service, &self.value_model, now) {
                wakeups.extend(self.reject(waiter, now));
            }
        }
        wakeups
    }

    fn assign_waiting(&mut self, service: ServiceId, now: Instant, wakeups: &mut Vec<Wakeup>) {
        loop {
            let assigned_before = wakeups.len();
            for waiter in self.queue.head(service, &self.value_model, now) {
                let Some(job) = self.queue.job(waiter) else { continue };
                match self.select_upstream(job, now) {
                    Selection::Upstream(upstream) => {
                        wakeups.extend(self.assign_waiter(waiter, upstream, now))
                    }
                    Selection::AllFull if job.excluded.is_empty() && job.version.is_none() => {
                        return;
                    }
                    Selection::AllFull | Selection::NoneSuitable => {}
                }
            }
            if wakeups.len() == assigned_before {
                return;
            }
        }
    }

    fn assign_waiter(
        &mut self,
        waiter: WaiterId,
        upstream: UpstreamId,
        now: Instant,
    ) -> Option<Wakeup> {
        let job = self.queue.remove(waiter)?;
        Some(Wakeup::Assigned(waiter, self.assign(upstream, &job, now)))
    }

    fn reject(&mut self, waiter: WaiterId, now: Instant) -> Option<Wakeup> {
        let job = self.queue.remove(waiter)?;
        self.value_model.record_rejected(&job, now);
        let ahead = self.queue.count_ahead(&job, &self.value_model, now);
        let retry_after = self.queue.expected_wait(job.service, ahead, now);
        let reason = RejectionReason::Full;
        Some(Wakeup::Rejected(waiter, Rejection { reason, retry_after }))
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, waiter: WaiterId) {
        self.queue.remove(waiter);
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Releases a slot that `gateway` held, and assigns the upstream's free slots to waiting
    /// requests.
    pub fn release(
        &mut self,
        slot: SlotId,
        gateway: PeerId,
        observation: Observation,
        now: Instant,
    ) -> Vec<Wakeup> {
        let Some(upstream) = self.slots.remove(&slot) else { return Vec::new() };
        let Some(state) = self.upstreams.get_mut(&upstream) else { return Vec::new() };
        state.release(slot, gateway, observation, now);
        self.assign_free_slots(upstream, now)
    }

    /// Assigns an upstream's free slots to waiting requests for which it is the best choice.
    fn assign_free_slots(&mut self, upstream: UpstreamId, now: Instant) -> Vec<Wakeup> {
        let mut wakeups = Vec::new();
        while let Some(waiter) = self.first_waiter_for(upstream, now) {
            wakeups.extend(self.assign_waiter(waiter, upstream, now));
        }
        wakeups
    }

    fn first_waiter_for(&self, upstream: UpstreamId, now: Instant) -> Option<WaiterId> {
        let state = self.upstreams.get(&upstream)?;
        if !state.has_free_slot() || !state.is_usable(now) {
            return None;
        }
        let service = ServiceId::of(&state.upstream.service);
        let is_match = |waiter: &Waiter| self.is_best_choice(state, waiter, now);
        self.queue.first_matching(service, &self.value_model, now, is_match)
    }

    /// Records a slot that another scheduler has assigned; `None` if the upstream is unknown.
    pub fn adopt_slot(&mut self, upstream: UpstreamId) -> Option<SlotId> {
        self.last_slot_id += 1;
        let slot = self.last_slot_id;
        self.upstreams.get_mut(&upstream)?.adopt_slot(slot);
        self.slots.insert(slot, upstream);
        Some(slot)
    }

    fn assign(&mut self, upstream: UpstreamId, job: &Job, now: Instant) -> Slot {
        self.queue.record_placement(job.service, now);
        self.value_model.record_served(job, now);
        self.last_slot_id += 1;
        let id = self.last_slot_id;
        let is_cached = self.has_session(upstream, job, now);
        if let Some(part) = job.session_part {
            self.record_session(part, upstream, now);
        }
        self.slots.insert(id, upstream);
        let (instance, address) = match self.upstreams.get_mut(&upstream) {
            Some(state) => {
                state.assign_slot(id, if is_cached { 0 } else { job.prompt_tokens }, now);
                (state.upstream.instance.clone(), state.upstream.address)
            }
            // Not reached: `select_upstream` returns only known upstreams.
            None => ("".into(), SocketAddr::from(([0, 0, 0, 0], 0))),
        };
        Slot { id, upstream, instance, address }
    }

    fn has_session(&self, upstream: UpstreamId, job: &Job, now: Instant) -> bool {
        let session = job.session_part.and_then(|part| self.sessions.peek(&part));
        session.is_some_and(|(holder, at)| {
            *holder == upstream && now.saturating_duration_since(*at) < SESSION_RETENTION
        })
    }

    fn record_session(&mut self, part: u64, upstream: UpstreamId, now: Instant) {
        self.sessions.put(part, (upstream, now));
        if self.sessions.len() > MAX_SESSIONS {
            self.sessions.pop_lru();
        }
    }
}
