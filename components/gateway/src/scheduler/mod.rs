//! Which upstream a request goes to, and when.
//!
//! Engines admit in order of arrival and know no tiers: what waits at an engine cannot be
//! overtaken. So no more is handed to an upstream than it works on at once; the rest waits here, by
//! worth, and is refused at once where it would wait in vain. No I/O: time and events come in,
//! decisions come out.

mod job;
mod placement;
mod queue;
mod speed;
mod upstream_state;
mod value;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::model::{PeerId, ServiceId, Topology, Upstream, UpstreamId};
use placement::Selection;
use queue::Queue;
use upstream_state::UpstreamState;
use value::ValueModel;

pub use job::{
    AttemptOutcome, Job, Observation, Priority, Rejection, RejectionReason, RouteId, Slot, SlotId,
    Submission, WaiterId, Wakeup,
};

/// How long a place of a prompt's last part is remembered; engines drop unused parts after about as
/// long under load.
const SESSION_MEMORY: Duration = Duration::from_secs(10);

/// Most remembered places.
const SESSION_ENTRIES: usize = 4_096;

/// All that is known of upstreams, and the requests that wait for them.
#[derive(Debug)]
pub struct Scheduler {
    topology: Topology,
    upstreams: HashMap<UpstreamId, UpstreamState>,
    by_service: HashMap<ServiceId, Vec<UpstreamId>>,
    slots: HashMap<SlotId, UpstreamId>,
    queue: Queue,
    value_model: ValueModel,
    sessions: HashMap<u64, (UpstreamId, Instant)>,
    next_slot: SlotId,
}

impl Scheduler {
    /// A scheduler that knows no upstream.
    pub fn new(topology: Topology) -> Scheduler {
        Scheduler {
            topology,
            upstreams: HashMap::new(),
            by_service: HashMap::new(),
            slots: HashMap::new(),
            queue: Queue::default(),
            value_model: ValueModel::default(),
            sessions: HashMap::new(),
            next_slot: 0,
        }
    }

    /// Takes in the upstreams that may be used now.
    pub fn set_upstreams(&mut self, usable: &[Upstream], now: Instant) {
        let kept: HashSet<UpstreamId> = usable.iter().map(Upstream::id).collect();
        self.upstreams.retain(|id, _| kept.contains(id));
        self.slots.retain(|_, upstream| kept.contains(upstream));
        self.by_service.clear();
        for upstream in usable {
            let id = upstream.id();
            self.by_service.entry(ServiceId::of(&upstream.service)).or_default().push(id);
            match self.upstreams.get_mut(&id) {
                Some(state) => state.upstream = upstream.clone(),
                None => {
                    self.upstreams.insert(id, UpstreamState::new(upstream.clone(), now));
                }
            }
        }
    }

    /// Requests in flight and places of a service's upstreams.
    pub fn usage(&self, service: ServiceId) -> (u32, u32) {
        let of_service = self.by_service.get(&service).into_iter().flatten();
        let states = of_service.filter_map(|upstream| self.upstreams.get(upstream));
        states.fold((0, 0), |(running, slots), state| {
            (running + state.running(), slots + state.upstream.slots)
        })
    }

    /// A line for each upstream that is in use, for logs: requests in flight, milliseconds until
    /// their prompts are read, and milliseconds for a thousand output tokens.
    pub fn describe(&self, now: Instant) -> String {
        let mut used: Vec<&UpstreamState> =
            self.upstreams.values().filter(|state| state.running() > 0).collect();
        used.sort_by(|a, b| a.upstream.instance.cmp(&b.upstream.instance));
        let describe = |state: &&UpstreamState| {
            format!(
                "{}:{}/{:.0}/{:.0}",
                state.upstream.instance,
                state.running(),
                state.backlog_ms(now),
                state.speed.output_ms(1_000),
            )
        };
        used.iter().map(describe).collect::<Vec<_>>().join(",")
    }

    /// Services whose upstreams are known.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> + '_ {
        self.by_service.keys().copied()
    }

    /// Whether any upstream of a service is known.
    pub fn knows_service(&self, service: ServiceId) -> bool {
        self.by_service.contains_key(&service)
    }

    /// Finds a place for a request, lets it wait for one, or refuses it.
    pub fn submit(&mut self, job: Job, now: Instant) -> Submission {
        if !self.knows_service(job.service) {
            let retry_after = placement::RETRY_WITHOUT_UPSTREAM;
            return Submission::Rejected(Rejection {
                reason: RejectionReason::NoUpstream,
                retry_after,
            });
        }
        self.value_model.count_size(&job);
        let ahead = self.queue.ahead_of(&job, &self.value_model, now);
        if let Selection::Upstream(upstream) = self.select_upstream(&job, now)
            && !self.is_wanted_before(upstream, &job, ahead, now)
        {
            return Submission::Assigned(self.assign(upstream, &job, now));
        }
        let wait = self.queue.wait_behind(job.service, ahead, now);
        if now + wait > job.queue_deadline {
            self.value_model.count_rejected(&job, now);
            return Submission::Rejected(Rejection {
                reason: RejectionReason::Full,
                retry_after: wait,
            });
        }
        Submission::Queued(self.queue.push(job, &self.value_model, now))
    }

    /// Whether one of the requests ahead of a new one does as well at an upstream as anywhere.
    fn is_wanted_before(
        &self,
        upstream: UpstreamId,
        job: &Job,
        ahead: usize,
        now: Instant,
    ) -> bool {
        let Some(state) = self.upstreams.get(&upstream) else { return false };
        let wants =
            |other: &Job| self.may_use(state, other, now) && self.is_best_choice(state, other, now);
        self.queue.any_ahead(job.service, ahead, &self.value_model, now, wants)
    }

    /// Refuses what waits in vain, and gives places that are free to what waits, by worth.
    pub fn wake_waiting(&mut self, now: Instant) -> Vec<Wakeup> {
        let mut wakeups = Vec::new();
        for waiter in self.queue.overdue(now) {
            wakeups.extend(self.reject(waiter, now));
        }
        for service in self.queue.services() {
            self.place_waiting(service, now, &mut wakeups);
            for waiter in self.queue.unplaceable(service, &self.value_model, now) {
                wakeups.extend(self.reject(waiter, now));
            }
        }
        wakeups
    }

    fn place_waiting(&mut self, service: ServiceId, now: Instant, wakeups: &mut Vec<Wakeup>) {
        for waiter in self.queue.ordered(service, &self.value_model, now) {
            let Some(job) = self.queue.job(waiter) else { continue };
            match self.select_upstream(job, now) {
                Selection::Upstream(upstream) => {
                    wakeups.extend(self.place_waiter(waiter, upstream, now))
                }
                Selection::AllFull if job.excluded.is_empty() => return,
                Selection::AllFull | Selection::NoneSuitable => {}
            }
        }
    }

    fn place_waiter(
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
        self.value_model.count_rejected(&job, now);
        let ahead = self.queue.ahead_of(&job, &self.value_model, now);
        let retry_after = self.queue.wait_behind(job.service, ahead, now);
        let reason = RejectionReason::Full;
        Some(Wakeup::Rejected(waiter, Rejection { reason, retry_after }))
    }

    /// Takes a request out of the queue.
    pub fn cancel(&mut self, waiter: WaiterId) {
        self.queue.remove(waiter);
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Frees a place, and gives it to what waits. `gateway` held it.
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
        self.fill(upstream, now)
    }

    /// Gives an upstream's free places to waiting requests that do as well there as anywhere.
    fn fill(&mut self, upstream: UpstreamId, now: Instant) -> Vec<Wakeup> {
        let mut wakeups = Vec::new();
        while let Some(waiter) = self.first_for(upstream, now) {
            wakeups.extend(self.place_waiter(waiter, upstream, now));
        }
        wakeups
    }

    fn first_for(&self, upstream: UpstreamId, now: Instant) -> Option<WaiterId> {
        let state = self.upstreams.get(&upstream)?;
        if !state.has_free_slot() || !state.is_usable(now) {
            return None;
        }
        let service = ServiceId::of(&state.upstream.service);
        let is_match =
            |job: &Job| self.may_use(state, job, now) && self.is_best_choice(state, job, now);
        self.queue.first_matching(service, &self.value_model, now, is_match)
    }

    /// Counts in a place that another scheduler has given.
    pub fn adopt_slot(&mut self, upstream: UpstreamId) -> Option<SlotId> {
        self.next_slot += 1;
        let slot = self.next_slot;
        self.upstreams.get_mut(&upstream)?.adopt_slot(slot);
        self.slots.insert(slot, upstream);
        Some(slot)
    }

    fn assign(&mut self, upstream: UpstreamId, job: &Job, now: Instant) -> Slot {
        self.queue.count_placed(job.service, now);
        self.value_model.count_served(job, now);
        self.next_slot += 1;
        let id = self.next_slot;
        let held = self.holds_session(upstream, job, now);
        if let Some(part) = job.session_part {
            self.remember_session(part, upstream, now);
        }
        self.slots.insert(id, upstream);
        let (instance, address) = match self.upstreams.get_mut(&upstream) {
            Some(state) => {
                state.assign_slot(id, if held { 0 } else { job.prompt_tokens }, now);
                (state.upstream.instance.clone(), state.upstream.address)
            }
            // `select_upstream` only names upstreams that are tracked.
            None => ("".into(), SocketAddr::from(([0, 0, 0, 0], 0))),
        };
        Slot { id, upstream, instance, address }
    }

    fn holds_session(&self, upstream: UpstreamId, job: &Job, now: Instant) -> bool {
        let remembered = job.session_part.and_then(|part| self.sessions.get(&part));
        remembered.is_some_and(|(holder, at)| {
            *holder == upstream && now.saturating_duration_since(*at) < SESSION_MEMORY
        })
    }

    fn remember_session(&mut self, part: u64, upstream: UpstreamId, now: Instant) {
        if self.sessions.len() >= SESSION_ENTRIES {
            self.sessions.retain(|_, (_, at)| now.saturating_duration_since(*at) < SESSION_MEMORY);
        }
        if self.sessions.len() < SESSION_ENTRIES {
            self.sessions.insert(part, (upstream, now));
        }
    }
}
