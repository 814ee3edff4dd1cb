//! Prefix cache: prompt blocks in bounded memory, and a log of cache events that readers see late
//! and with gaps.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BYTES_PER_TOKEN, EngineSettings};

/// Number of tokens in a block.
pub(super) const BLOCK_TOKENS: u32 = 64;

/// Events that are retained for readers.
const RETAINED_EVENTS: usize = 4096;

/// Hash of a block and all blocks before it.
pub(super) type BlockHash = u64;

/// A change of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub(super) sequence: u64,
    /// `stored` or `removed`.
    pub(super) kind: &'static str,
    /// Hash of the block, in hexadecimal.
    pub(super) block: String,
}

/// Prefix cache with eviction of the least recently used block.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    /// Value of `use_count` at the last use of each cached block.
    last_used: BTreeMap<BlockHash, u64>,
    use_count: u64,
    /// Events, each with the time from which readers see it.
    events: Vec<(Instant, CacheEvent)>,
    last_sequence: u64,
    report_lag: Duration,
    lost_event_one_in: u32,
    rng: ChaCha8Rng,
}

/// Returns the hashes of a prompt's full blocks; each hash covers all blocks before it too.
pub(super) fn hash_blocks(prompt: &str) -> Vec<BlockHash> {
    let block_bytes = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let mut previous = 0;
    let blocks = prompt.as_bytes().chunks_exact(block_bytes);
    blocks
        .map(|block| {
            previous = xxh3_64_with_seed(block, previous);
            previous
        })
        .collect()
}

impl PrefixCache {
    pub(super) fn new(settings: &EngineSettings) -> PrefixCache {
        PrefixCache {
            capacity_blocks: (settings.cache_tokens / BLOCK_TOKENS) as usize,
            last_used: BTreeMap::new(),
            use_count: 0,
            events: Vec::new(),
            last_sequence: 0,
            report_lag: settings.report_lag,
            lost_event_one_in: settings.event_gap_one_in,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        }
    }

    /// Returns the number of tokens in the longest cached prefix and marks its blocks as used.
    pub(super) fn look_up_prefix(&mut self, blocks: &[BlockHash]) -> u32 {
        let mut cached_tokens = 0;
        for block in blocks {
            let Some(last_used) = self.last_used.get_mut(block) else { break };
            self.use_count += 1;
            *last_used = self.use_count;
            cached_tokens += BLOCK_TOKENS;
        }
        cached_tokens
    }

    pub(super) fn contains(&self, block: BlockHash) -> bool {
        self.last_used.contains_key(&block)
    }

    /// Stores blocks and evicts the least recently used ones beyond the capacity.
    pub(super) fn insert(&mut self, blocks: &[BlockHash], now: Instant) {
        for block in blocks {
            self.use_count += 1;
            if self.last_used.insert(*block, self.use_count).is_none() {
                self.record_event("stored", *block, now);
            }
            self.evict_over_capacity(now);
        }
    }

    /// Returns the events after a sequence number that have become visible by `now`.
    pub(super) fn events_after(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, event)| event.sequence > after && *at <= now);
        visible.map(|(_, event)| event.clone()).collect()
    }

    fn evict_over_capacity(&mut self, now: Instant) {
        while self.last_used.len() > self.capacity_blocks {
            let oldest = self.last_used.iter().min_by_key(|(_, last_used)| **last_used);
            let Some(block) = oldest.map(|(block, _)| *block) else { return };
            self.last_used.remove(&block);
            self.record_event("removed", block, now);
        }
    }

    fn record_event(&mut self, kind: &'static str, block: BlockHash, now: Instant) {
        self.last_sequence += 1;
        if self.lost_event_one_in > 0 && self.rng.random_ratio(1, self.lost_event_one_in) {
            return;
        }
        let event =
            CacheEvent { sequence: self.last_sequence, kind, block: format!("{block:016x}") };
        self.events.push((now + self.report_lag, event));
        if self.events.len() > RETAINED_EVENTS {
            self.events.remove(0);
        }
    }
}
