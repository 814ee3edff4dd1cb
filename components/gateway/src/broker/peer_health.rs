//! Availability of other gateways as brokers and bucket owners.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::model::PeerId;

/// Time for which a peer that did not reply once is not asked; its process may have been suspended
/// for a moment.
const INITIAL_BACKOFF: Duration = Duration::from_millis(1_000);

/// Maximum of that time for a peer that keeps failing to reply. The backoff grows because each
/// attempt to ask the peer makes a request wait.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct Suspect {
    until: Instant,
    failures: u32,
}

/// Peers that recently failed to reply.
#[derive(Debug, Default)]
pub struct PeerHealth {
    suspects: HashMap<PeerId, Suspect>,
}

impl PeerHealth {
    /// Records that a peer did not reply. Timeouts during the backoff are ignored: their requests
    /// were sent before it and tell nothing new.
    pub fn record_timeout(&mut self, peer: PeerId, now: Instant) {
        if !self.is_available(peer, now) {
            return;
        }
        let suspect = self.suspects.entry(peer).or_insert(Suspect { until: now, failures: 0 });
        let backoff = INITIAL_BACKOFF * 2_u32.pow(suspect.failures.min(2));
        suspect.failures += 1;
        suspect.until = now + backoff.min(MAX_BACKOFF);
    }

    /// Records that a peer replied.
    pub fn record_reply(&mut self, peer: PeerId) {
        self.suspects.remove(&peer);
    }

    /// Whether a peer may be asked now.
    pub fn is_available(&self, peer: PeerId, now: Instant) -> bool {
        self.suspects.get(&peer).is_none_or(|suspect| now >= suspect.until)
    }

    /// Removes peers that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(PeerId) -> bool) {
        self.suspects.retain(|peer, _| is_member(*peer));
    }
}
