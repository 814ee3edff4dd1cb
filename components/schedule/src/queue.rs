//! The order in which an agent hands over what waits: tiers first, then the least slack.

use std::collections::BTreeMap;
use std::time::Instant;

use identity::Tier;

/// Where an entry of the queue stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    tier: Tier,
    latest_start: Instant,
    arrival: u64,
}

/// Requests that wait, in order.
#[derive(Debug)]
pub struct Queue<K> {
    waiting: BTreeMap<Rank, K>,
    arrivals: u64,
}

impl<K: PartialEq> Queue<K> {
    /// An empty queue.
    pub fn new() -> Queue<K> {
        Queue { waiting: BTreeMap::new(), arrivals: 0 }
    }

    /// Adds a request.
    pub fn push(&mut self, key: K, tier: Tier, latest_start: Instant) {
        let rank = Rank { tier, latest_start, arrival: self.arrivals };
        self.arrivals += 1;
        self.waiting.insert(rank, key);
    }

    /// Takes the request that is next.
    pub fn pop(&mut self) -> Option<K> {
        self.waiting.pop_first().map(|(_, key)| key)
    }

    /// Takes the first request that fits.
    pub fn pop_first_matching(&mut self, fits: impl Fn(&K) -> bool) -> Option<K> {
        let rank = self.waiting.iter().find(|(_, key)| fits(key)).map(|(rank, _)| *rank)?;
        self.waiting.remove(&rank)
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: &K) -> bool {
        let rank = self.waiting.iter().find(|(_, held)| *held == key).map(|(rank, _)| *rank);
        rank.is_some_and(|rank| self.waiting.remove(&rank).is_some())
    }

    /// Takes out every request whose latest start has passed.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<K> {
        let overdue = self.waiting.extract_if(.., |rank, _| rank.latest_start <= now);
        overdue.map(|(_, key)| key).collect()
    }

    /// Takes out everything.
    pub fn drain(&mut self) -> Vec<K> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// The tier of the request that is next.
    pub fn next_tier(&self) -> Option<Tier> {
        self.waiting.first_key_value().map(|(rank, _)| rank.tier)
    }

    /// Everything that waits, in order.
    pub fn iter(&self) -> impl Iterator<Item = &K> {
        self.waiting.values()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl<K: PartialEq> Default for Queue<K> {
    fn default() -> Self {
        Queue::new()
    }
}
