//! Which brokers an entry can reach.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::model::PeerId;

/// How long a peer that did not answer is passed over; it may have been suspended for a moment.
const INITIAL_BACKOFF: Duration = Duration::from_millis(1_000);

/// Longest such time, for one that goes on not answering: each try costs a request the wait.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct Suspect {
    until: Instant,
    failures: u32,
}

/// Brokers that did not answer lately.
#[derive(Debug, Default)]
pub struct PeerHealth {
    suspects: HashMap<PeerId, Suspect>,
}

impl PeerHealth {
    /// Takes in that a peer did not answer. What was asked before it became suspect tells nothing
    /// new.
    pub fn record_timeout(&mut self, peer: PeerId, now: Instant) {
        if !self.is_available(peer, now) {
            return;
        }
        let suspect = self.suspects.entry(peer).or_insert(Suspect { until: now, failures: 0 });
        let backoff = INITIAL_BACKOFF * 2_u32.pow(suspect.failures.min(2));
        suspect.failures += 1;
        suspect.until = now + backoff.min(MAX_BACKOFF);
    }

    /// Takes in that a peer answered.
    pub fn record_reply(&mut self, peer: PeerId) {
        self.suspects.remove(&peer);
    }

    /// Whether a peer should be asked.
    pub fn is_available(&self, peer: PeerId, now: Instant) -> bool {
        self.suspects.get(&peer).is_none_or(|suspect| now >= suspect.until)
    }

    /// Forgets processes that are gone.
    pub fn retain(&mut self, is_member: impl Fn(PeerId) -> bool) {
        self.suspects.retain(|peer, _| is_member(*peer));
    }
}
