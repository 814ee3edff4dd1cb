//! Prefix cache: blocks of a prompt in bounded memory, and events that come late and with gaps.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BYTES_PER_TOKEN, EngineSettings};

/// Tokens of one block.
pub(super) const BLOCK_TOKENS: u32 = 64;

/// Events that are kept for readers.
const EVENT_LIMIT: usize = 4096;

/// The hash of a block and all before it.
pub(super) type BlockHash = u64;

/// A change of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct CacheEvent {
    /// Number of the event; gaps are lost events.
    pub(super) sequence: u64,
    /// `stored` or `removed`.
    pub(super) kind: &'static str,
    /// The block.
    pub(super) block: String,
}

/// The cache.
#[derive(Debug)]
pub(super) struct Cache {
    capacity_blocks: usize,
    used_at: BTreeMap<BlockHash, u64>,
    uses: u64,
    events: Vec<(Instant, CacheEvent)>,
    sequence: u64,
    lag: Duration,
    gap_one_in: u32,
    rng: ChaCha8Rng,
}

/// The hashes of a prompt's whole blocks, each over all that came before.
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

impl Cache {
    pub(super) fn new(settings: &EngineSettings) -> Cache {
        Cache {
            capacity_blocks: (settings.cache_tokens / BLOCK_TOKENS) as usize,
            used_at: BTreeMap::new(),
            uses: 0,
            events: Vec::new(),
            sequence: 0,
            lag: settings.report_lag,
            gap_one_in: settings.event_gap_one_in,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        }
    }

    /// Prompt tokens at the start of the prompt that need not be computed.
    pub(super) fn cached_tokens(&mut self, blocks: &[BlockHash]) -> u32 {
        let mut found = 0;
        for block in blocks {
            let Some(used_at) = self.used_at.get_mut(block) else { break };
            self.uses += 1;
            *used_at = self.uses;
            found += BLOCK_TOKENS;
        }
        found
    }

    /// Whether every one of the blocks is held.
    pub(super) fn holds(&self, block: BlockHash) -> bool {
        self.used_at.contains_key(&block)
    }

    /// Stores blocks; the least recently used go where memory is short.
    pub(super) fn store(&mut self, blocks: &[BlockHash], now: Instant) {
        for block in blocks {
            self.uses += 1;
            if self.used_at.insert(*block, self.uses).is_none() {
                self.record("stored", *block, now);
            }
            self.evict(now);
        }
    }

    /// Events after a number that readers can see by now.
    pub(super) fn events_after(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let seen = self.events.iter().filter(|(at, event)| event.sequence > after && *at <= now);
        seen.map(|(_, event)| event.clone()).collect()
    }

    fn evict(&mut self, now: Instant) {
        while self.used_at.len() > self.capacity_blocks {
            let oldest = self.used_at.iter().min_by_key(|(_, used_at)| **used_at);
            let Some(block) = oldest.map(|(block, _)| *block) else { return };
            self.used_at.remove(&block);
            self.record("removed", block, now);
        }
    }

    fn record(&mut self, kind: &'static str, block: BlockHash, now: Instant) {
        self.sequence += 1;
        if self.gap_one_in > 0 && self.rng.random_ratio(1, self.gap_one_in) {
            return;
        }
        let event = CacheEvent { sequence: self.sequence, kind, block: format!("{block:016x}") };
        self.events.push((now + self.lag, event));
        if self.events.len() > EVENT_LIMIT {
            self.events.remove(0);
        }
    }
}
