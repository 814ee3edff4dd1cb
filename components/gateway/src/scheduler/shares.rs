//! Which entry owns which places, where entries are many.
//!
//! A few entries tell each other of every change and share all places. Many cannot: between two
//! digests each sees the same places free, and all take them. So each place is owned by one of the
//! entries of its availability zone, by rendezvous hashing. The owner may always use it, others only
//! while the upstream seems well below its limit.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Most entries that share all places.
pub const SMALL_GROUP: usize = 10;

/// Part of an upstream's places that entries of other zones keep clear of, even if they seem free: as
/// many as others may take between two digests.
const KEPT_CLEAR_SHARE: f64 = 0.25;

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
    pub(super) fn factor(&self) -> f64 {
        (f64::from(self.running) / self.lagging.max(1.0)).clamp(1.0, MOST_GROWTH)
    }
}

/// How many of an upstream's places an entry owns, beside its zone's other entries.
pub(super) fn own_share(upstream: u32, slots: u32, own: u64, others: &[u64]) -> u32 {
    let is_own = |slot: &u32| {
        let weight_of_own = weight(upstream, *slot, own);
        others.iter().all(|other| weight(upstream, *slot, *other) < weight_of_own)
    };
    (0..slots).filter(is_own).count() as u32
}

/// How many of an upstream's places entries of other zones keep clear of.
pub(super) fn kept_clear(slots: u32) -> u32 {
    (f64::from(slots) * KEPT_CLEAR_SHARE).round() as u32
}

fn weight(upstream: u32, slot: u32, entry: u64) -> u64 {
    let mut key = [0; 16];
    key[..4].copy_from_slice(&upstream.to_le_bytes());
    key[4..8].copy_from_slice(&slot.to_le_bytes());
    key[8..].copy_from_slice(&entry.to_le_bytes());
    xxh3_64(&key)
}
