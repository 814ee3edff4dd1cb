//! Queues of requests that wait for a slot, one for each service.
//!
//! Load pattern: a burst longer than the latency objectives, with more than a thousand requests
//! waiting for the upstreams of one service. A decision then looks at the first requests of each
//! route only, and the order is computed less often, so that the broker's work for each request
//! does not grow with its queue.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::placement::Suitability;
use super::value::{FairnessClass, FairnessGroup, ValueModel};
use super::{Job, Priority, RouteId, WaiterId};
use crate::model::{ServiceId, VersionId};

/// Time constant of the moving average of the placement rate, from which waits are estimated.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// Assumed placement rate of a service, in requests per second, before the first placement.
const INITIAL_RATE_PER_SECOND: f64 = 20.0;

/// Lower bound of the placement rate, in requests per second, in estimates of waits.
const MIN_RATE_PER_SECOND: f64 = 0.5;

/// Upper bound of expected waits; no request waits as long.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(3_600);

/// Number of requests at the head of a queue that are never rejected as unplaceable.
const PROTECTED_HEAD_LENGTH: usize = 3;

/// Age after which the order of a short queue is computed again, since values change over time.
const MIN_ORDER_AGE: Duration = Duration::from_millis(20);

/// The order of a longer queue is kept for `MIN_ORDER_AGE` more for each time that the queue holds
/// this many requests, so that computing it takes the same share of the time.
const WAITING_PER_ORDER_AGE: u32 = 100;

/// Number of waiting requests of each route and version that a decision looks at, from the head of
/// the order. Requests of one route are alike, so an upstream that suits none of the first ones
/// hardly suits the next.
const CONSIDERED_PER_ROUTE: usize = 8;

#[derive(Debug, Default)]
pub(super) struct Queue {
    last_id: WaiterId,
    services: HashMap<ServiceId, ServiceQueue>,
    service_by_waiter: HashMap<WaiterId, ServiceId>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    waiting: HashMap<WaiterId, Waiter>,
    priorities: BTreeMap<Priority, usize>,
    order: RefCell<CachedOrder>,
    placement_rate: Option<PlacementRate>,
    /// Requests per second that all upstreams together take at most, if they name limits.
    rate_bound: Option<f64>,
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) job: Job,
    /// Suitability of the most suitable upstream, and when it was computed.
    pub(super) best_suitability: Cell<Option<(Suitability, Instant)>>,
}

/// Order of the waiting requests, cached for a time that depends on their number.
#[derive(Debug, Default)]
struct CachedOrder {
    computed_at: Option<Instant>,
    waiters: Vec<OrderedWaiter>,
}

/// Position of a waiting request in the order.
#[derive(Debug, Clone, Copy)]
struct OrderedWaiter {
    key: OrderKey,
    route: RouteId,
    /// Software version that the request needs.
    version: Option<VersionId>,
    id: WaiterId,
}

/// The first `CONSIDERED_PER_ROUTE` requests of each route and version, in their order.
fn head_of_each_route(
    order: &[OrderedWaiter],
    waiting: &HashMap<WaiterId, Waiter>,
) -> Vec<WaiterId> {
    let mut considered: Vec<((RouteId, Option<VersionId>), usize)> = Vec::new();
    let mut head = Vec::new();
    for OrderedWaiter { route, version, id, .. } in order {
        let group = (*route, *version);
        let position = match considered.iter().position(|(other, _)| *other == group) {
            Some(position) => position,
            None => {
                considered.push((group, 0));
                considered.len() - 1
            }
        };
        if considered[position].1 < CONSIDERED_PER_ROUTE && waiting.contains_key(id) {
            considered[position].1 += 1;
            head.push(*id);
        }
    }
    head
}

/// Sort key of a waiting request; the lowest is served first.
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

/// Exponentially decaying average of the requests placed per second.
#[derive(Debug)]
struct PlacementRate {
    per_second: f64,
    updated_at: Instant,
}

impl PlacementRate {
    fn decayed(&self, now: Instant) -> f64 {
        let time_constants = now.saturating_duration_since(self.updated_at).as_secs_f64()
            / RATE_TIME_CONSTANT.as_secs_f64();
        self.per_second * (-time_constants).exp()
    }
}

impl ServiceQueue {
    fn push(&mut self, id: WaiterId, job: Job, value_model: &ValueModel, now: Instant) {
        *self.priorities.entry(job.priority).or_default() += 1;
        let key = self.order_key(&job, value_model, now);
        let order = self.order.get_mut();
        let position = order.waiters.partition_point(|other| other.key.compare(&key).is_le());
        let (route, version) = (job.route, job.version);
        order.waiters.insert(position, OrderedWaiter { key, route, version, id });
        self.waiting.insert(id, Waiter { job, best_suitability: Cell::new(None) });
    }

    fn remove(&mut self, id: WaiterId) -> Option<Job> {
        let job = self.waiting.remove(&id)?.job;
        if let Some(count) = self.priorities.get_mut(&job.priority) {
            *count -= 1;
            if *count == 0 {
                self.priorities.remove(&job.priority);
            }
        }
        Some(job)
    }

    fn rate(&self, now: Instant) -> f64 {
        self.placement_rate
            .as_ref()
            .map_or(INITIAL_RATE_PER_SECOND, |rate| rate.decayed(now))
            .max(MIN_RATE_PER_SECOND)
            .min(self.rate_bound.unwrap_or(f64::INFINITY))
    }

    /// Expected wait of the request at a position of the order.
    fn expected_wait_at(&self, position: usize, now: Instant) -> Duration {
        let wait_s = (position as f64 + 1.0) / self.rate(now);
        Duration::try_from_secs_f64(wait_s).unwrap_or(MAX_EXPECTED_WAIT).min(MAX_EXPECTED_WAIT)
    }

    fn order_key(&self, job: &Job, value_model: &ValueModel, now: Instant) -> OrderKey {
        let fairness_class = value_model.fairness_class(job, self.priorities.keys());
        OrderKey { fairness_class, value_density: value_model.value_density(job, now) }
    }

    /// Calls `visit` with the order. Some of its requests may have been removed since it was
    /// computed.
    fn with_order<T>(
        &self,
        value_model: &ValueModel,
        now: Instant,
        visit: impl FnOnce(&[OrderedWaiter]) -> T,
    ) -> T {
        let mut order = self.order.borrow_mut();
        let max_age = MIN_ORDER_AGE * (1 + self.waiting.len() as u32 / WAITING_PER_ORDER_AGE);
        let is_fresh = |at| now.saturating_duration_since(at) < max_age;
        if !order.computed_at.is_some_and(is_fresh) {
            let mut fairness_classes: HashMap<FairnessGroup, FairnessClass> = HashMap::new();
            let ordered = |(id, waiter): (&WaiterId, &Waiter)| {
                let job = &waiter.job;
                let fairness_class = *fairness_classes
                    .entry(value_model.fairness_group(job))
                    .or_insert_with(|| value_model.fairness_class(job, self.priorities.keys()));
                let value_density = value_model.value_density(job, now);
                let key = OrderKey { fairness_class, value_density };
                OrderedWaiter { key, route: job.route, version: job.version, id: *id }
            };
            order.waiters.clear();
            order.waiters.extend(self.waiting.iter().map(ordered));
            order.waiters.sort_unstable_by(|a, b| a.key.compare(&b.key).then(a.id.cmp(&b.id)));
            order.computed_at = Some(now);
        }
        visit(&order.waiters)
    }

    fn count_ahead(&self, job: &Job, value_model: &ValueModel, now: Instant) -> usize {
        if self.waiting.is_empty() {
            return 0;
        }
        let key = self.order_key(job, value_model, now);
        self.with_order(value_model, now, |order| {
            order.partition_point(|other| other.key.compare(&key).is_le())
        })
    }
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.service_by_waiter.len()
    }

    pub(super) fn push(&mut self, job: Job, value_model: &ValueModel, now: Instant) -> WaiterId {
        self.last_id += 1;
        let id = self.last_id;
        self.service_by_waiter.insert(id, job.service);
        self.services.entry(job.service).or_default().push(id, job, value_model, now);
        id
    }

    pub(super) fn remove(&mut self, waiter: WaiterId) -> Option<Job> {
        let service = self.service_by_waiter.remove(&waiter)?;
        self.services.get_mut(&service)?.remove(waiter)
    }

    pub(super) fn job(&self, waiter: WaiterId) -> Option<&Job> {
        let service_queue = self.services.get(self.service_by_waiter.get(&waiter)?)?;
        service_queue.waiting.get(&waiter).map(|waiter| &waiter.job)
    }

    /// Services with waiting requests.
    pub(super) fn services(&self) -> Vec<ServiceId> {
        let non_empty =
            self.services.iter().filter(|(_, service_queue)| !service_queue.waiting.is_empty());
        non_empty.map(|(service, _)| *service).collect()
    }

    /// Number of waiting requests of the same service that are served before `job`.
    pub(super) fn count_ahead(&self, job: &Job, value_model: &ValueModel, now: Instant) -> usize {
        let service_queue = self.services.get(&job.service);
        service_queue.map_or(0, |service_queue| service_queue.count_ahead(job, value_model, now))
    }

    /// Expected wait of a request with `ahead` requests before it.
    pub(super) fn expected_wait(&self, service: ServiceId, ahead: usize, now: Instant) -> Duration {
        let service_queue = self.services.get(&service);
        service_queue
            .map_or(Duration::ZERO, |service_queue| service_queue.expected_wait_at(ahead, now))
    }

    /// Sets the requests per second that the upstreams of a service take at most.
    pub(super) fn set_rate_bound(&mut self, service: ServiceId, per_second: Option<f64>) {
        match self.services.get_mut(&service) {
            Some(service_queue) => service_queue.rate_bound = per_second,
            None if per_second.is_some() => {
                self.services.entry(service).or_default().rate_bound = per_second;
            }
            None => {}
        }
    }

    /// Updates the placement rate with a request that was assigned a slot.
    pub(super) fn record_placement(&mut self, service: ServiceId, now: Instant) {
        let increment = 1.0 / RATE_TIME_CONSTANT.as_secs_f64();
        let placement_rate = &mut self.services.entry(service).or_default().placement_rate;
        let per_second =
            placement_rate.as_ref().map_or(INITIAL_RATE_PER_SECOND, |rate| rate.decayed(now))
                + increment;
        *placement_rate = Some(PlacementRate { per_second, updated_at: now });
    }

    /// Requests whose queue deadline has passed.
    pub(super) fn overdue(&self, now: Instant) -> Vec<WaiterId> {
        let waiting = self.services.values().flat_map(|service_queue| &service_queue.waiting);
        let overdue = waiting.filter(|(_, waiter)| now >= waiter.job.queue_deadline);
        overdue.map(|(id, _)| *id).collect()
    }

    /// Requests whose expected wait ends after their queue deadline. Rejecting them at once spares
    /// their callers a wait without result.
    pub(super) fn unplaceable(
        &self,
        service: ServiceId,
        value_model: &ValueModel,
        now: Instant,
    ) -> Vec<WaiterId> {
        let Some(service_queue) = self.services.get(&service) else { return Vec::new() };
        let is_unplaceable = |position: usize, waiter: &WaiterId| {
            let waiter = service_queue.waiting.get(waiter);
            let wait = service_queue.expected_wait_at(position, now);
            waiter.is_some_and(|waiter| now + wait > waiter.job.queue_deadline)
        };
        let order = self
            .ordered(service, value_model, now)
            .into_iter()
            .enumerate()
            .skip(PROTECTED_HEAD_LENGTH);
        let unplaceable = order.filter(|(position, waiter)| is_unplaceable(*position, waiter));
        unplaceable.map(|(_, waiter)| waiter).collect()
    }

    /// Waiting requests of a service, in the order in which they are to be served.
    pub(super) fn ordered(
        &self,
        service: ServiceId,
        value_model: &ValueModel,
        now: Instant,
    ) -> Vec<WaiterId> {
        let Some(service_queue) = self.services.get(&service) else { return Vec::new() };
        let waits = |waiter: &WaiterId| service_queue.waiting.contains_key(waiter);
        service_queue.with_order(value_model, now, |order| {
            order.iter().map(|waiter| waiter.id).filter(waits).collect()
        })
    }

    /// The waiting requests of a service that a decision looks at, in the order in which they are
    /// to be served.
    pub(super) fn head(
        &self,
        service: ServiceId,
        value_model: &ValueModel,
        now: Instant,
    ) -> Vec<WaiterId> {
        let Some(service_queue) = self.services.get(&service) else { return Vec::new() };
        service_queue
            .with_order(value_model, now, |order| head_of_each_route(order, &service_queue.waiting))
    }

    /// Whether any of the first `count` waiting requests of a service satisfies `is_match`, among
    /// those that a decision looks at.
    pub(super) fn any_ahead(
        &self,
        service: ServiceId,
        count: usize,
        value_model: &ValueModel,
        now: Instant,
        is_match: impl Fn(&Waiter) -> bool,
    ) -> bool {
        let Some(service_queue) = self.services.get(&service).filter(|_| count > 0) else {
            return false;
        };
        let waiting = &service_queue.waiting;
        service_queue.with_order(value_model, now, |order| {
            let ahead = head_of_each_route(&order[..count.min(order.len())], waiting);
            ahead.iter().filter_map(|id| waiting.get(id)).any(is_match)
        })
    }

    /// First waiting request of a service that satisfies `is_match`, among those that a decision
    /// looks at.
    pub(super) fn first_matching(
        &self,
        service: ServiceId,
        value_model: &ValueModel,
        now: Instant,
        is_match: impl Fn(&Waiter) -> bool,
    ) -> Option<WaiterId> {
        let service_queue = self.services.get(&service)?;
        let is_match = |id: &WaiterId| service_queue.waiting.get(id).is_some_and(&is_match);
        self.head(service, value_model, now).into_iter().find(is_match)
    }
}
