//! Which upstream a request goes to, and when.
//!
//! Engines admit in order of arrival and know no tiers: what waits at an engine cannot be
//! overtaken. So no more is handed to an upstream than it works on at once; the rest waits here, by
//! worth, and is refused at once where it would wait in vain. No I/O: time and events come in,
//! decisions come out.

mod job;
mod place;
mod queue;
mod speed;
mod tracked;
mod worth;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::model::{PeerId, Places, ServiceId, Upstream, UpstreamId};
use place::Choice;
use queue::Queue;
use tracked::Tracked;
use worth::Worth;

pub use job::{
    Ending, Job, KindId, Observed, Offer, Place, PlaceId, Rank, Refused, RefusedBecause, WaiterId,
    Woken,
};

/// How long a place of a prompt's last part is remembered; engines drop unused parts after about as
/// long under load.
const SESSION_MEMORY: Duration = Duration::from_secs(10);

/// Most remembered places.
const SESSION_ENTRIES: usize = 4_096;

/// All that is known of upstreams, and the requests that wait for them.
#[derive(Debug)]
pub struct Scheduler {
    places: Places,
    upstreams: HashMap<UpstreamId, Tracked>,
    by_service: HashMap<ServiceId, Vec<UpstreamId>>,
    taken: HashMap<PlaceId, UpstreamId>,
    queue: Queue,
    worth: Worth,
    sessions: HashMap<u64, (UpstreamId, Instant)>,
    next_place: PlaceId,
}

impl Scheduler {
    /// A scheduler that knows no upstream.
    pub fn new(places: Places) -> Scheduler {
        Scheduler {
            places,
            upstreams: HashMap::new(),
            by_service: HashMap::new(),
            taken: HashMap::new(),
            queue: Queue::default(),
            worth: Worth::default(),
            sessions: HashMap::new(),
            next_place: 0,
        }
    }

    /// Takes in the upstreams that may be used now.
    pub fn set_upstreams(&mut self, usable: &[Upstream], now: Instant) {
        let kept: HashSet<UpstreamId> = usable.iter().map(Upstream::id).collect();
        self.upstreams.retain(|id, _| kept.contains(id));
        self.taken.retain(|_, upstream| kept.contains(upstream));
        self.by_service.clear();
        for upstream in usable {
            let id = upstream.id();
            self.by_service.entry(ServiceId::of(&upstream.service)).or_default().push(id);
            match self.upstreams.get_mut(&id) {
                Some(tracked) => tracked.upstream = upstream.clone(),
                None => {
                    self.upstreams.insert(id, Tracked::new(upstream.clone(), now));
                }
            }
        }
    }

    /// Requests in flight and places of a service's upstreams.
    pub fn usage(&self, service: ServiceId) -> (u32, u32) {
        let of_service = self.by_service.get(&service).into_iter().flatten();
        let tracked = of_service.filter_map(|upstream| self.upstreams.get(upstream));
        tracked.fold((0, 0), |(running, slots), tracked| {
            (running + tracked.running(), slots + tracked.upstream.slots)
        })
    }

    /// A line for each upstream that is in use, for logs: requests in flight, milliseconds until
    /// their prompts are read, and milliseconds for a thousand output tokens.
    pub fn describe(&self, now: Instant) -> String {
        let mut used: Vec<&Tracked> =
            self.upstreams.values().filter(|tracked| tracked.running() > 0).collect();
        used.sort_by(|a, b| a.upstream.instance.cmp(&b.upstream.instance));
        let describe = |tracked: &&Tracked| {
            format!(
                "{}:{}/{:.0}/{:.0}",
                tracked.upstream.instance,
                tracked.running(),
                tracked.backlog_ms(now),
                tracked.speed.output_ms(1_000),
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
    pub fn offer(&mut self, job: Job, now: Instant) -> Offer {
        if !self.knows_service(job.service) {
            let retry_after = place::RETRY_WITHOUT_UPSTREAM;
            return Offer::Refuse(Refused { reason: RefusedBecause::NoUpstream, retry_after });
        }
        self.worth.count_size(&job);
        let ahead = self.queue.ahead_of(&job, &self.worth, now);
        if let Choice::Place(upstream) = self.choose(&job, now)
            && !self.is_wanted_before(upstream, &job, ahead, now)
        {
            return Offer::Place(self.assign(upstream, &job, now));
        }
        let wait = self.queue.wait_behind(job.service, ahead, now);
        if now + wait > job.wait_until {
            self.worth.count_refused(&job, now);
            return Offer::Refuse(Refused { reason: RefusedBecause::Full, retry_after: wait });
        }
        Offer::Wait(self.queue.push(job, &self.worth, now))
    }

    /// Whether one of the requests ahead of a new one does as well at an upstream as anywhere.
    fn is_wanted_before(
        &self,
        upstream: UpstreamId,
        job: &Job,
        ahead: usize,
        now: Instant,
    ) -> bool {
        let Some(tracked) = self.upstreams.get(&upstream) else { return false };
        let wants =
            |other: &Job| self.may_use(tracked, other, now) && self.suits(tracked, other, now);
        self.queue.any_of_first(job.service, ahead, &self.worth, now, wants)
    }

    /// Refuses what waits in vain, and gives places that are free to what waits, by worth.
    pub fn wake(&mut self, now: Instant) -> Vec<Woken> {
        let mut woken = Vec::new();
        for waiter in self.queue.overdue(now) {
            woken.extend(self.refuse(waiter, now));
        }
        for service in self.queue.services() {
            self.place_waiting(service, now, &mut woken);
            for waiter in self.queue.hopeless(service, &self.worth, now) {
                woken.extend(self.refuse(waiter, now));
            }
        }
        woken
    }

    fn place_waiting(&mut self, service: ServiceId, now: Instant, woken: &mut Vec<Woken>) {
        for waiter in self.queue.in_order(service, &self.worth, now) {
            let Some(job) = self.queue.job(waiter) else { continue };
            match self.choose(job, now) {
                Choice::Place(upstream) => woken.extend(self.place_waiter(waiter, upstream, now)),
                Choice::Full if job.excluded.is_empty() => return,
                Choice::Full | Choice::NoneFits => {}
            }
        }
    }

    fn place_waiter(
        &mut self,
        waiter: WaiterId,
        upstream: UpstreamId,
        now: Instant,
    ) -> Option<Woken> {
        let job = self.queue.remove(waiter)?;
        Some(Woken::Place(waiter, self.assign(upstream, &job, now)))
    }

    fn refuse(&mut self, waiter: WaiterId, now: Instant) -> Option<Woken> {
        let job = self.queue.remove(waiter)?;
        self.worth.count_refused(&job, now);
        let ahead = self.queue.ahead_of(&job, &self.worth, now);
        let retry_after = self.queue.wait_behind(job.service, ahead, now);
        let reason = RefusedBecause::Full;
        Some(Woken::Refuse(waiter, Refused { reason, retry_after }))
    }

    /// Takes a request out of the queue.
    pub fn withdraw(&mut self, waiter: WaiterId) {
        self.queue.remove(waiter);
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Frees a place, and gives it to what waits. `entry` held it.
    pub fn release(
        &mut self,
        place: PlaceId,
        entry: PeerId,
        observed: Observed,
        now: Instant,
    ) -> Vec<Woken> {
        let Some(upstream) = self.taken.remove(&place) else { return Vec::new() };
        let Some(tracked) = self.upstreams.get_mut(&upstream) else { return Vec::new() };
        tracked.release(place, entry, observed, now);
        self.fill(upstream, now)
    }

    /// Gives an upstream's free places to waiting requests that do as well there as anywhere.
    fn fill(&mut self, upstream: UpstreamId, now: Instant) -> Vec<Woken> {
        let mut woken = Vec::new();
        while let Some(waiter) = self.first_for(upstream, now) {
            woken.extend(self.place_waiter(waiter, upstream, now));
        }
        woken
    }

    fn first_for(&self, upstream: UpstreamId, now: Instant) -> Option<WaiterId> {
        let tracked = self.upstreams.get(&upstream)?;
        if !tracked.has_place() || !tracked.is_usable(now) {
            return None;
        }
        let service = ServiceId::of(&tracked.upstream.service);
        let suits = |job: &Job| self.may_use(tracked, job, now) && self.suits(tracked, job, now);
        self.queue.first_that(service, &self.worth, now, suits)
    }

    /// Counts in a place that another scheduler has given.
    pub fn take_foreign(&mut self, upstream: UpstreamId) -> Option<PlaceId> {
        self.next_place += 1;
        let place = self.next_place;
        self.upstreams.get_mut(&upstream)?.take_foreign(place);
        self.taken.insert(place, upstream);
        Some(place)
    }

    fn assign(&mut self, upstream: UpstreamId, job: &Job, now: Instant) -> Place {
        self.queue.count_placed(job.service, now);
        self.worth.count_served(job, now);
        self.next_place += 1;
        let id = self.next_place;
        let held = self.holds_session(upstream, job, now);
        if let Some(part) = job.session_part {
            self.remember_session(part, upstream, now);
        }
        self.taken.insert(id, upstream);
        let (instance, address) = match self.upstreams.get_mut(&upstream) {
            Some(tracked) => {
                tracked.take(id, if held { 0 } else { job.prompt_tokens }, now);
                (tracked.upstream.instance.clone(), tracked.upstream.address)
            }
            // `choose` only names upstreams that are tracked.
            None => ("".into(), SocketAddr::from(([0, 0, 0, 0], 0))),
        };
        Place { id, upstream, instance, address }
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
