//! Leaves places to more important requests that wait at other entries.
//!
//! Every entry has a queue of its own. Without this, an entry would give each place that it frees to
//! whatever waits there, while something more important waits elsewhere.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Rank;

/// Requests that wait at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// The short id of their service.
    pub service: u32,
    /// Their rank.
    pub rank: Rank,
    /// How many there are.
    pub count: u32,
}

/// Names a service between entries, in four bytes.
pub(super) fn service_id(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Places that are still owed to what waits at each peer.
#[derive(Debug, Default)]
pub(super) struct Owed {
    peers: HashMap<u64, Vec<(Waiting, f64)>>,
}

impl Owed {
    /// Takes in what waits at a peer. All other entries hear the same, so each leaves it a part.
    pub(super) fn hear(&mut self, peer: u64, waiting: &[Waiting], entries: usize) {
        if waiting.is_empty() {
            self.peers.remove(&peer);
            return;
        }
        let others = entries.saturating_sub(1).max(1) as f64;
        let owed = waiting.iter().map(|waiting| (*waiting, f64::from(waiting.count) / others));
        self.peers.insert(peer, owed.collect());
    }

    pub(super) fn keep_peers(&mut self, is_member: impl Fn(u64) -> bool) {
        self.peers.retain(|peer, _| is_member(*peer));
    }

    /// Whether anything waits at a peer.
    pub(super) fn is_any(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Takes one place for something more important than `rank`, if one is owed; `draw` in 0..1
    /// decides on fractions.
    pub(super) fn take(&mut self, service: &str, rank: Rank, draw: f64) -> bool {
        let service = service_id(service);
        for (waiting, owed) in self.peers.values_mut().flatten() {
            if waiting.service == service && waiting.rank < rank && *owed > draw {
                *owed -= 1.0;
                return true;
            }
        }
        false
    }
}
