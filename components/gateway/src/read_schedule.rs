//! When an entry reads the store itself, and when it goes by what an entry of its zone has read.
//!
//! Each call of the store is paid for, and its rates grow more slowly than the fleet. Entries of a
//! zone tell each other how old their last reading is and what they know, as a fingerprint: an entry
//! that knows the same need not read. An entry that knows something else reads at once.

use std::collections::VecDeque;
use std::time::Duration;

/// Age of the last confirmation at which an entry reads. A change is known to the first entry of a
/// zone within this time and to the others a digest later, well inside the seconds that changes may
/// take to be in force.
const DUE_AGE: Duration = Duration::from_millis(1_200);

/// Least time between two readings, also where a peer knows something else.
const LEAST_PERIOD: Duration = Duration::from_millis(250);

/// Least time between two readings because of peers that have read no later than this entry: what
/// they know may differ for good, by an entry that only one can decode.
const LEAST_PERIOD_OF_DISPUTE: Duration = Duration::from_millis(800);

/// Longest time between two readings, well inside the history that the store keeps.
const LONGEST_PERIOD: Duration = Duration::from_secs(6);

/// Digests whose time of sending is remembered, some seconds' worth.
const REMEMBERED: usize = 64;

/// What a digest says of its sender's last reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerRead {
    /// The newest digest of this entry that the sender had got.
    pub acknowledged: Option<u32>,
    /// How long before it sent the digest the store had confirmed what it knows.
    pub age: Option<Duration>,
    /// Whether it knows the same as this entry.
    pub same_fingerprint: bool,
}

/// The readings of this entry and its peers. Times are uptimes.
#[derive(Debug, Default)]
pub struct ReadSchedule {
    sent: VecDeque<(u32, Duration)>,
    read_at: Option<Duration>,
    disputed: Option<bool>,
}

impl ReadSchedule {
    /// Takes in that a digest is sent.
    pub fn record_digest_sent(&mut self, sequence: u32, uptime: Duration) {
        if self.sent.len() == REMEMBERED {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, uptime));
    }

    /// Takes in that this entry has read the store; `asked_at` is when it asked.
    pub fn record_read(&mut self, asked_at: Duration) {
        self.read_at = Some(asked_at);
        self.disputed = None;
    }

    /// Takes in a peer's digest; gives back when, at the latest, the store confirmed what this entry
    /// knows too. The sender had got the echoed digest before it sent its own, so its age counts from
    /// before that one was sent: a digest that was under way for long, or lay unread while either
    /// process was suspended, can't pass for a fresh one.
    pub fn apply_peer_read(&mut self, peer_read: PeerRead) -> Option<Duration> {
        let acknowledged = peer_read.acknowledged?;
        let sent_at = self.sent.iter().find(|(sequence, _)| *sequence == acknowledged)?.1;
        let confirmed_at = sent_at.checked_sub(peer_read.age?)?;
        if peer_read.same_fingerprint {
            return Some(confirmed_at);
        }
        let newer = self.read_at.is_none_or(|read_at| confirmed_at > read_at);
        self.disputed = Some(newer || self.disputed == Some(true));
        None
    }

    /// Takes in that an entry is heard that the store did not name yet.
    pub fn record_unknown_peer(&mut self) {
        self.disputed = Some(true);
    }

    /// Whether this entry should read now; `age` is the age of the last confirmation.
    pub fn is_due(&self, age: Option<Duration>, uptime: Duration) -> bool {
        let (Some(read_at), Some(age)) = (self.read_at, age) else { return true };
        let since = uptime.saturating_sub(read_at);
        let dispute = match self.disputed {
            Some(true) => since >= LEAST_PERIOD,
            Some(false) => since >= LEAST_PERIOD_OF_DISPUTE,
            None => false,
        };
        dispute || since >= LONGEST_PERIOD || (age >= DUE_AGE && since >= LEAST_PERIOD)
    }
}
