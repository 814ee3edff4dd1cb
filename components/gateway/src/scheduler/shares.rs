//! Which entry owns which places, where entries are many.
//!
//! A few entries tell each other of every change and share all places. Many cannot: between two
//! digests each sees the same places free, and all take them. So each place has an owner, by
//! rendezvous hashing, who may always use it; others use it only while the upstream seems well below
//! its limit.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Most entries that share all places.
pub const SMALL_GROUP: usize = 10;

/// Part of an upstream's places that the entries beyond a small group keep clear of, for each entry:
/// as many as others may take between two digests.
const CLEAR_SHARE_PER_ENTRY: f64 = 0.01;

/// Most of the places that are kept clear.
const MOST_CLEAR_SHARE: f64 = 0.9;

/// Age of what is known of other entries' work in a large group, from their digests' period.
const KNOWLEDGE_AGE: Duration = Duration::from_millis(500);

/// Most that other entries' work is taken to have grown within that age.
const MOST_GROWTH: f64 = 3.0;

/// How the work of this entry grows. Callers are spread over entries, so a burst comes to all at once:
/// what the others have in flight has grown alike since they last told.
#[derive(Debug, Default)]
pub(super) struct Growth {
    running: u32,
    lagging: f64,
    at: Option<Instant>,
}

impl Growth {
    /// Takes in how many requests this entry has in flight.
    pub(super) fn observe(&mut self, running: u32, now: Instant) {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let gain = 1.0 - (-elapsed.as_secs_f64() / KNOWLEDGE_AGE.as_secs_f64()).exp();
        self.lagging += gain * (f64::from(self.running) - self.lagging);
        self.running = running;
        self.at = Some(now);
    }

    /// By how much others' work is taken to have grown.
    pub(super) fn factor(&self, entries: usize) -> f64 {
        if entries <= SMALL_GROUP {
            return 1.0;
        }
        (f64::from(self.running) / self.lagging.max(1.0)).clamp(1.0, MOST_GROWTH)
    }
}

/// How many of an upstream's places an entry owns.
pub(super) fn own_share(upstream: u32, slots: u32, own: u64, entries: &[u64]) -> u32 {
    if entries.len() <= SMALL_GROUP {
        return 0;
    }
    let owner = |slot: u32| entries.iter().max_by_key(|entry| weight(upstream, slot, **entry));
    (0..slots).filter(|slot| owner(*slot) == Some(&own)).count() as u32
}

/// How many of an upstream's places are left to their owners even if they seem free.
pub(super) fn kept_clear(slots: u32, entries: usize) -> u32 {
    if entries <= SMALL_GROUP {
        return 0;
    }
    let share = (CLEAR_SHARE_PER_ENTRY * entries as f64).min(MOST_CLEAR_SHARE);
    (f64::from(slots) * share).round() as u32
}

fn weight(upstream: u32, slot: u32, entry: u64) -> u64 {
    let mut key = [0; 16];
    key[..4].copy_from_slice(&upstream.to_le_bytes());
    key[4..8].copy_from_slice(&slot.to_le_bytes());
    key[8..].copy_from_slice(&entry.to_le_bytes());
    xxh3_64(&key)
}
