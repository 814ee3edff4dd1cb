//! Which brokers an entry can reach.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::model::PeerId;

/// How long a broker that did not answer is passed over; it may have been suspended for a moment.
const SUSPECTED_FOR: Duration = Duration::from_millis(1_000);

/// Longest such time, for one that goes on not answering: each try costs a request the wait.
const LONGEST_SUSPECTED_FOR: Duration = Duration::from_secs(4);

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
    /// Takes in that a broker did not answer. What was asked before it became suspect tells nothing
    /// new.
    pub fn record_timeout(&mut self, broker: PeerId, now: Instant) {
        if !self.is_available(broker, now) {
            return;
        }
        let suspect = self.suspects.entry(broker).or_insert(Suspect { until: now, failures: 0 });
        let pause = SUSPECTED_FOR * 2_u32.pow(suspect.failures.min(2));
        suspect.failures += 1;
        suspect.until = now + pause.min(LONGEST_SUSPECTED_FOR);
    }

    /// Takes in that a broker answered.
    pub fn record_reply(&mut self, broker: PeerId) {
        self.suspects.remove(&broker);
    }

    /// Whether a broker should be asked.
    pub fn is_available(&self, broker: PeerId, now: Instant) -> bool {
        self.suspects.get(&broker).is_none_or(|suspect| now >= suspect.until)
    }

    /// Forgets processes that are gone.
    pub fn retain(&mut self, is_member: impl Fn(PeerId) -> bool) {
        self.suspects.retain(|broker, _| is_member(*broker));
    }
}
