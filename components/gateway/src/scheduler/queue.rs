//! Requests that wait for a place, by service.

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::value::{FairnessClass, ValueModel};
use super::{Job, Priority, WaiterId};
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
    services: HashMap<ServiceId, ServiceQueue>,
    service_of: HashMap<WaiterId, ServiceId>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    waiting: HashMap<WaiterId, Job>,
    priorities: BTreeMap<Priority, usize>,
    order: RefCell<Ordered>,
    placed: Option<Rate>,
}

/// Waiting requests, the first to be served first.
#[derive(Debug, Default)]
struct Ordered {
    at: Option<Instant>,
    waiters: Vec<(OrderKey, WaiterId)>,
}

/// Where a request stands in the order; the least is served first.
#[derive(Debug, Clone, Copy)]
struct OrderKey {
    fairness_class: FairnessClass,
    value_density: f64,
}

impl OrderKey {
    fn compare(&self, other: &OrderKey) -> Ordering {
        self.fairness_class
            .cmp(&other.fairness_class)
            .then(other.value_density.total_cmp(&self.value_density))
    }
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

impl ServiceQueue {
    fn push(&mut self, id: WaiterId, job: Job, value_model: &ValueModel, now: Instant) {
        *self.priorities.entry(job.priority).or_default() += 1;
        let own = self.order_key(&job, value_model, now);
        let order = self.order.get_mut();
        let position = order.waiters.partition_point(|(other, _)| other.compare(&own).is_le());
        order.waiters.insert(position, (own, id));
        self.waiting.insert(id, job);
    }

    fn remove(&mut self, id: WaiterId) -> Option<Job> {
        let job = self.waiting.remove(&id)?;
        if let Some(count) = self.priorities.get_mut(&job.priority) {
            *count -= 1;
            if *count == 0 {
                self.priorities.remove(&job.priority);
            }
        }
        Some(job)
    }

    fn rate(&self, now: Instant) -> f64 {
        self.placed.as_ref().map_or(INITIAL_RATE, |rate| rate.decayed(now)).max(LEAST_RATE)
    }

    /// How long the request at a position of the order waits.
    fn wait_at(&self, position: usize, now: Instant) -> Duration {
        Duration::from_secs_f64((position as f64 + 1.0) / self.rate(now))
    }

    fn order_key(&self, job: &Job, value_model: &ValueModel, now: Instant) -> OrderKey {
        let fairness_class = value_model.fairness_class(job, self.priorities.keys());
        OrderKey { fairness_class, value_density: value_model.value_density(job, now) }
    }

    /// Looks at waiting requests in order; some may have left since it was worked out.
    fn with_order<T>(
        &self,
        value_model: &ValueModel,
        now: Instant,
        look: impl FnOnce(&[(OrderKey, WaiterId)]) -> T,
    ) -> T {
        let mut order = self.order.borrow_mut();
        let is_fresh = |at| now.saturating_duration_since(at) < ORDER_AGE;
        if !order.at.is_some_and(is_fresh) {
            let keyed = |(id, job): (&WaiterId, &Job)| (self.order_key(job, value_model, now), *id);
            order.waiters.clear();
            order.waiters.extend(self.waiting.iter().map(keyed));
            order.waiters.sort_unstable_by(|a, b| a.0.compare(&b.0).then(a.1.cmp(&b.1)));
            order.at = Some(now);
        }
        look(&order.waiters)
    }

    fn ahead_of(&self, job: &Job, value_model: &ValueModel, now: Instant) -> usize {
        if self.waiting.is_empty() {
            return 0;
        }
        let own = self.order_key(job, value_model, now);
        self.with_order(value_model, now, |order| {
            order.partition_point(|(order_key, _)| order_key.compare(&own).is_le())
        })
    }
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.service_of.len()
    }

    pub(super) fn push(&mut self, job: Job, value_model: &ValueModel, now: Instant) -> WaiterId {
        self.next += 1;
        let id = self.next;
        self.service_of.insert(id, job.service);
        self.services.entry(job.service).or_default().push(id, job, value_model, now);
        id
    }

    pub(super) fn remove(&mut self, waiter: WaiterId) -> Option<Job> {
        let service = self.service_of.remove(&waiter)?;
        self.services.get_mut(&service)?.remove(waiter)
    }

    pub(super) fn job(&self, waiter: WaiterId) -> Option<&Job> {
        self.services.get(self.service_of.get(&waiter)?)?.waiting.get(&waiter)
    }

    /// Services that requests wait for.
    pub(super) fn services(&self) -> Vec<ServiceId> {
        let waited =
            self.services.iter().filter(|(_, service_queue)| !service_queue.waiting.is_empty());
        waited.map(|(service, _)| *service).collect()
    }

    /// How many requests of the same service wait that go first.
    pub(super) fn ahead_of(&self, job: &Job, value_model: &ValueModel, now: Instant) -> usize {
        let service_queue = self.services.get(&job.service);
        service_queue.map_or(0, |service_queue| service_queue.ahead_of(job, value_model, now))
    }

    /// How long a request with so many ahead of it would wait.
    pub(super) fn wait_behind(&self, service: ServiceId, ahead: usize, now: Instant) -> Duration {
        let service_queue = self.services.get(&service);
        service_queue.map_or(Duration::ZERO, |service_queue| service_queue.wait_at(ahead, now))
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
        let waiting = self.services.values().flat_map(|service_queue| &service_queue.waiting);
        let overdue = waiting.filter(|(_, job)| now >= job.queue_deadline);
        overdue.map(|(id, _)| *id).collect()
    }

    /// Requests that cannot find a place in time. They are better told at once than after a wait.
    pub(super) fn unplaceable(
        &self,
        service: ServiceId,
        value_model: &ValueModel,
        now: Instant,
    ) -> Vec<WaiterId> {
        let Some(service_queue) = self.services.get(&service) else { return Vec::new() };
        let is_unplaceable = |position: usize, waiter: &WaiterId| {
            let job = service_queue.waiting.get(waiter);
            let wait = service_queue.wait_at(position, now);
            job.is_some_and(|job| now + wait > job.queue_deadline)
        };
        let order =
            self.ordered(service, value_model, now).into_iter().enumerate().skip(LEAST_QUEUE);
        let unplaceable = order.filter(|(position, waiter)| is_unplaceable(*position, waiter));
        unplaceable.map(|(_, waiter)| waiter).collect()
    }

    /// Waiting requests of a service, the first to be served first.
    pub(super) fn ordered(
        &self,
        service: ServiceId,
        value_model: &ValueModel,
        now: Instant,
    ) -> Vec<WaiterId> {
        let Some(service_queue) = self.services.get(&service) else { return Vec::new() };
        let waits = |waiter: &WaiterId| service_queue.waiting.contains_key(waiter);
        service_queue.with_order(value_model, now, |order| {
            order.iter().map(|(_, waiter)| *waiter).filter(waits).collect()
        })
    }

    /// Whether `takes` accepts any of the first `count` waiting requests of a service.
    pub(super) fn any_ahead(
        &self,
        service: ServiceId,
        count: usize,
        value_model: &ValueModel,
        now: Instant,
        takes: impl Fn(&Job) -> bool,
    ) -> bool {
        let Some(service_queue) = self.services.get(&service).filter(|_| count > 0) else {
            return false;
        };
        let takes = |waiter: &WaiterId| service_queue.waiting.get(waiter).is_some_and(&takes);
        service_queue.with_order(value_model, now, |order| {
            order.iter().take(count).any(|(_, waiter)| takes(waiter))
        })
    }

    /// The first waiting request of a service that `takes` accepts.
    pub(super) fn first_matching(
        &self,
        service: ServiceId,
        value_model: &ValueModel,
        now: Instant,
        takes: impl Fn(&Job) -> bool,
    ) -> Option<WaiterId> {
        let service_queue = self.services.get(&service)?;
        let is_match = |waiter: &WaiterId| service_queue.waiting.get(waiter).is_some_and(&takes);
        service_queue.with_order(value_model, now, |order| {
            order.iter().map(|(_, waiter)| *waiter).find(is_match)
        })
    }
}
