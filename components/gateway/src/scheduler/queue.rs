//! Requests that wait for a place, by service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::worth::Worth;
use super::{Job, Rank, WaiterId};
use crate::model::ServiceId;

/// Span over which placed requests are counted to tell how long a place takes.
const RATE_SPAN: Duration = Duration::from_millis(1_000);

/// Requests a second that are taken to find a place before any was counted.
const INITIAL_RATE: f64 = 20.0;

/// Least rate that is reckoned with.
const LEAST_RATE: f64 = 0.5;

/// Requests that a queue holds at any rate.
const LEAST_QUEUE: usize = 3;

/// How long an order stands before it is worked out again: worth changes with time.
const ORDER_AGE: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
pub(super) struct Queue {
    next: WaiterId,
    services: HashMap<ServiceId, OfService>,
    service_of: HashMap<WaiterId, ServiceId>,
}

#[derive(Debug, Default)]
struct OfService {
    waiting: HashMap<WaiterId, Job>,
    order: RefCell<Option<Ordered>>,
    placed: Option<Rate>,
}

/// Waiting requests, the first to be served first.
#[derive(Debug)]
struct Ordered {
    at: Instant,
    waiters: Vec<WaiterId>,
}

/// Requests placed a second, decaying.
#[derive(Debug)]
struct Rate {
    per_second: f64,
    at: Instant,
}

impl Rate {
    fn decayed(&self, now: Instant) -> f64 {
        let spans = now.saturating_duration_since(self.at).as_secs_f64() / RATE_SPAN.as_secs_f64();
        self.per_second * (-spans).exp()
    }
}

impl OfService {
    fn rate(&self, now: Instant) -> f64 {
        self.placed.as_ref().map_or(INITIAL_RATE, |rate| rate.decayed(now)).max(LEAST_RATE)
    }

    /// How long the request at a position of the order waits.
    fn wait_at(&self, position: usize, now: Instant) -> Duration {
        Duration::from_secs_f64((position as f64 + 1.0) / self.rate(now))
    }

    fn ranks(&self) -> Vec<Rank> {
        let mut ranks: Vec<Rank> = self.waiting.values().map(|job| job.rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        ranks
    }

    fn work_out_order(&self, service: ServiceId, worth: &Worth, now: Instant) -> Vec<WaiterId> {
        let ranks = self.ranks();
        let is_ahead: HashMap<Rank, bool> =
            ranks.iter().map(|rank| (*rank, worth.is_ahead(service, *rank, &ranks))).collect();
        let key =
            |(id, job): (&WaiterId, &Job)| (is_ahead[&job.rank], worth.density(job, now), *id);
        let mut order: Vec<(bool, f64, WaiterId)> = self.waiting.iter().map(key).collect();
        order.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        order.into_iter().map(|(_, _, id)| id).collect()
    }
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.service_of.len()
    }

    pub(super) fn push(&mut self, job: Job) -> WaiterId {
        self.next += 1;
        let id = self.next;
        self.service_of.insert(id, job.service);
        let of_service = self.services.entry(job.service).or_default();
        *of_service.order.borrow_mut() = None;
        of_service.waiting.insert(id, job);
        id
    }

    pub(super) fn remove(&mut self, waiter: WaiterId) -> Option<Job> {
        let service = self.service_of.remove(&waiter)?;
        self.services.get_mut(&service)?.waiting.remove(&waiter)
    }

    pub(super) fn job(&self, waiter: WaiterId) -> Option<&Job> {
        self.services.get(self.service_of.get(&waiter)?)?.waiting.get(&waiter)
    }

    /// Services that requests wait for.
    pub(super) fn services(&self) -> Vec<ServiceId> {
        let waited = self.services.iter().filter(|(_, of_service)| !of_service.waiting.is_empty());
        waited.map(|(service, _)| *service).collect()
    }

    /// Whether a request of the same service waits that goes first.
    pub(super) fn has_ahead(&self, job: &Job, worth: &Worth, now: Instant) -> bool {
        self.ahead_of(job, worth, now) > 0
    }

    fn ahead_of(&self, job: &Job, worth: &Worth, now: Instant) -> usize {
        let Some(of_service) = self.services.get(&job.service) else { return 0 };
        if of_service.waiting.is_empty() {
            return 0;
        }
        let mut ranks = of_service.ranks();
        ranks.push(job.rank);
        let is_ahead = worth.is_ahead(job.service, job.rank, &ranks);
        let own = worth.density(job, now);
        let goes_first = |other: &&Job| {
            let other_ahead =
                other.rank != job.rank && worth.is_ahead(job.service, other.rank, &ranks);
            match (other_ahead, is_ahead) {
                (false, true) if other.rank != job.rank => true,
                (true, false) => false,
                _ => worth.density(other, now) > own,
            }
        };
        of_service.waiting.values().filter(goes_first).count()
    }

    /// How long a request would wait.
    pub(super) fn expected_wait(&self, job: &Job, worth: &Worth, now: Instant) -> Duration {
        let ahead = self.ahead_of(job, worth, now);
        let rate = self.services.get(&job.service).map_or(INITIAL_RATE, |found| found.rate(now));
        Duration::from_secs_f64((ahead as f64 + 1.0) / rate)
    }

    /// Counts a request that found a place.
    pub(super) fn count_placed(&mut self, service: ServiceId, now: Instant) {
        let gained = 1.0 / RATE_SPAN.as_secs_f64();
        let placed = &mut self.services.entry(service).or_default().placed;
        let per_second = placed.as_ref().map_or(INITIAL_RATE, |rate| rate.decayed(now)) + gained;
        *placed = Some(Rate { per_second, at: now });
    }

    /// Requests that have waited for as long as they may.
    pub(super) fn overdue(&self, now: Instant) -> Vec<WaiterId> {
        let waiting = self.services.values().flat_map(|of_service| &of_service.waiting);
        let overdue = waiting.filter(|(_, job)| now >= job.wait_until);
        overdue.map(|(id, _)| *id).collect()
    }

    /// Requests that cannot find a place in time. They are better told at once than after a wait.
    pub(super) fn hopeless(
        &self,
        service: ServiceId,
        worth: &Worth,
        now: Instant,
    ) -> Vec<WaiterId> {
        let Some(of_service) = self.services.get(&service) else { return Vec::new() };
        let is_hopeless = |position: usize, waiter: &WaiterId| {
            let job = of_service.waiting.get(waiter);
            let wait = of_service.wait_at(position, now);
            job.is_some_and(|job| now + wait > job.wait_until)
        };
        let order = self.in_order(service, worth, now).into_iter().enumerate().skip(LEAST_QUEUE);
        let hopeless = order.filter(|(position, waiter)| is_hopeless(*position, waiter));
        hopeless.map(|(_, waiter)| waiter).collect()
    }

    /// Waiting requests of a service, the first to be served first.
    pub(super) fn in_order(
        &self,
        service: ServiceId,
        worth: &Worth,
        now: Instant,
    ) -> Vec<WaiterId> {
        let Some(of_service) = self.services.get(&service) else { return Vec::new() };
        let mut order = of_service.order.borrow_mut();
        let stale = |ordered: &Ordered| now.saturating_duration_since(ordered.at) >= ORDER_AGE;
        if order.as_ref().is_none_or(stale) {
            let waiters = of_service.work_out_order(service, worth, now);
            *order = Some(Ordered { at: now, waiters });
        }
        let waits = |waiter: &&WaiterId| of_service.waiting.contains_key(waiter);
        order.iter().flat_map(|ordered| &ordered.waiters).filter(waits).copied().collect()
    }
}
