//! Queue of an agent's waiting requests. The highest tier is dispatched first and, within a tier,
//! the request with the least slack.

use std::collections::BTreeMap;
use std::time::Instant;

use identity::Tier;

/// Sort key of a request: tier, then latest start, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    tier: Tier,
    latest_start: Instant,
    arrival: u64,
}

/// Queue of waiting requests.
#[derive(Debug)]
pub struct Queue<K> {
    waiting: BTreeMap<OrderKey, K>,
    arrivals: u64,
}

impl<K: PartialEq> Queue<K> {
    /// Creates an empty queue.
    pub fn new() -> Queue<K> {
        Queue { waiting: BTreeMap::new(), arrivals: 0 }
    }

    /// Adds a request. `latest_start` is the latest time at which it can still start and meet its
    /// deadline.
    pub fn push(&mut self, key: K, tier: Tier, latest_start: Instant) {
        let order_key = OrderKey { tier, latest_start, arrival: self.arrivals };
        self.arrivals += 1;
        self.waiting.insert(order_key, key);
    }

    /// Removes and returns the first request.
    pub fn pop(&mut self) -> Option<K> {
        self.waiting.pop_first().map(|(_, key)| key)
    }

    /// Removes and returns the first request that matches.
    pub fn pop_first_matching(&mut self, matches: impl Fn(&K) -> bool) -> Option<K> {
        let order_key =
            self.waiting.iter().find(|(_, key)| matches(key)).map(|(order_key, _)| *order_key)?;
        self.waiting.remove(&order_key)
    }

    /// Removes a request; returns whether it was in the queue.
    pub fn remove(&mut self, key: &K) -> bool {
        let order_key = self
            .waiting
            .iter()
            .find(|(_, waiting)| *waiting == key)
            .map(|(order_key, _)| *order_key);
        order_key.is_some_and(|order_key| self.waiting.remove(&order_key).is_some())
    }

    /// Removes and returns all requests whose latest start has passed.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<K> {
        let overdue = self.waiting.extract_if(.., |order_key, _| order_key.latest_start <= now);
        overdue.map(|(_, key)| key).collect()
    }

    /// Removes and returns all requests, in order.
    pub fn drain(&mut self) -> Vec<K> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Returns the tier of the first request.
    pub fn next_tier(&self) -> Option<Tier> {
        self.waiting.first_key_value().map(|(order_key, _)| order_key.tier)
    }

    /// Iterates over all requests, in order.
    pub fn iter(&self) -> impl Iterator<Item = &K> {
        self.waiting.values()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no requests are waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl<K: PartialEq> Default for Queue<K> {
    fn default() -> Self {
        Queue::new()
    }
}
