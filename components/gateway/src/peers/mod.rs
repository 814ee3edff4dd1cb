//! The other entries: who is a member, and whose digests are believed.

mod digest;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use digest::Digest;

use crate::model::PeerId;

/// Silence after which a member counts as not heard; two digests to all zones.
const HEARD_MEMORY: Duration = Duration::from_millis(1_700);

/// Silence after which a member does not count for the part of an allowance that is granted here; a
/// digest to all zones, with time to arrive.
const COUNTED_MEMORY: Duration = Duration::from_millis(1_000);

/// How long a member counts after its entry in the store is gone: it may still serve callers until
/// it notices that the store no longer confirms its configuration.
const LEAVING_MEMORY: Duration = Duration::from_secs(6);

/// Another entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Names its process.
    pub id: PeerId,
    /// Where it takes digests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// The processor that it has, in cores.
    pub cores: f64,
}

/// An entry that may broker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Names its process.
    pub id: PeerId,
    /// The processor that it has, in cores: a larger one brokers more often.
    pub cores: f64,
}

#[derive(Debug)]
struct Known {
    address: SocketAddr,
    zone: Rc<str>,
    cores: f64,
    left_at: Option<Instant>,
    known_at: Instant,
    heard_at: Option<Instant>,
    leaving: bool,
    sequence: u32,
    /// When the store confirmed what it knows, as uptime of this host.
    confirmed_at: Option<Duration>,
}

impl Known {
    /// Whether it serves callers. A process whose entry in the store is gone but that is heard does;
    /// it only can't reach the store.
    fn is_here(&self, now: Instant) -> bool {
        self.left_at.is_none() || self.is_heard(now)
    }

    fn is_heard(&self, now: Instant) -> bool {
        self.is_heard_within(HEARD_MEMORY, now)
    }

    fn is_heard_within(&self, span: Duration, now: Instant) -> bool {
        self.heard_at.is_some_and(|at| now.saturating_duration_since(at) < span)
    }

    /// Whether it may do something for all: it is heard, or has had no time to be.
    fn is_candidate(&self, now: Instant) -> bool {
        let is_new = now.saturating_duration_since(self.known_at) < HEARD_MEMORY;
        let unheard = self.left_at.is_none() && self.heard_at.is_none() && is_new;
        !self.leaving && (unheard || self.is_heard(now))
    }
}

/// The other entries.
#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<PeerId, Known>,
}

impl Peers {
    /// Takes in who stands in the store now, this process left out.
    pub fn set_members(&mut self, members: &[Member], now: Instant) {
        for (id, known) in &mut self.known {
            let listed = members.iter().any(|member| member.id == *id);
            known.left_at = if listed { None } else { known.left_at.or(Some(now)) };
        }
        // A process at a known address has taken the place of the one that was there.
        self.known.retain(|id, known| {
            !members.iter().any(|member| member.id != *id && member.address == known.address)
        });
        for member in members {
            let known = self.known.entry(member.id).or_insert(Known {
                address: member.address,
                zone: member.zone.as_str().into(),
                cores: member.cores,
                left_at: None,
                known_at: now,
                heard_at: None,
                leaving: false,
                sequence: 0,
                confirmed_at: None,
            });
            known.address = member.address;
        }
    }

    /// Whether a digest is newer than the last one of its sender, and from a member.
    pub fn accept(&mut self, from: PeerId, sequence: u32, now: Instant) -> bool {
        match self.known.get_mut(&from) {
            Some(known) if known.sequence < sequence => {
                known.sequence = sequence;
                known.heard_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Takes in when the store, by this host's uptime, confirmed what a member knows.
    pub fn note_confirmed(&mut self, id: PeerId, confirmed_at: Duration) {
        if let Some(known) = self.known.get_mut(&id) {
            known.confirmed_at = known.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// When the store last confirmed what any member knows that is still heard.
    pub fn last_confirmed(&self, now: Instant) -> Option<Duration> {
        let heard = self.known.values().filter(|known| known.is_heard(now));
        heard.filter_map(|known| known.confirmed_at).max()
    }

    /// Forgets members whose entry in the store is gone and that were not heard for long.
    pub fn settle(&mut self, now: Instant) {
        self.known.retain(|_, known| {
            known.left_at.is_none_or(|left_at| {
                let last = known.heard_at.map_or(left_at, |heard_at| heard_at.max(left_at));
                now.saturating_duration_since(last) < LEAVING_MEMORY
            })
        });
    }

    /// Whether a process still counts as a member.
    pub fn is_member(&self, id: PeerId) -> bool {
        self.known.contains_key(&id)
    }

    /// Members that may broker, this process left out.
    pub fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let here = self.known.iter().filter(|(_, known)| known.is_candidate(now));
        here.map(|(id, known)| Candidate { id: *id, cores: known.cores }).collect()
    }

    /// A member's address and availability zone.
    pub fn locate(&self, id: PeerId) -> Option<(SocketAddr, Rc<str>)> {
        self.known.get(&id).map(|known| (known.address, known.zone.clone()))
    }

    /// The newest digest of each entry of a zone.
    pub fn heard_in(&self, zone: &str) -> Vec<(PeerId, u32)> {
        let here = self.known.iter().filter(|(_, known)| &*known.zone == zone);
        let heard = here.filter(|(_, known)| known.heard_at.is_some());
        heard.map(|(id, known)| (*id, known.sequence)).collect()
    }

    /// Where digests go: to all, or to those of one availability zone.
    pub fn addresses(&self, zone: Option<&str>, now: Instant) -> Vec<SocketAddr> {
        let here = self.known.values().filter(|known| known.is_here(now));
        let wanted = here.filter(|known| zone.is_none_or(|zone| &*known.zone == zone));
        wanted.map(|known| known.address).collect()
    }

    /// Whether a member has been heard within some time.
    pub fn is_heard_within(&self, id: PeerId, span: Duration, now: Instant) -> bool {
        self.known.get(&id).is_some_and(|known| known.is_heard_within(span, now))
    }

    /// Takes in whether a member leaves to others what one entry does for all; gives back whether it
    /// did before.
    pub fn note_leaving(&mut self, id: PeerId, leaving: bool) -> bool {
        let known = self.known.get_mut(&id);
        known.is_some_and(|known| std::mem::replace(&mut known.leaving, leaving))
    }

    /// Takes in that a member has sent something.
    pub fn hear(&mut self, id: PeerId, now: Instant) {
        if let Some(known) = self.known.get_mut(&id) {
            known.heard_at = Some(now);
        }
    }

    /// Part of all entries that was heard lately, this one included.
    pub fn heard_share(&self, now: Instant) -> f64 {
        let is_counted = |known: &&Known| known.is_heard_within(COUNTED_MEMORY, now);
        let heard = self.known.values().filter(is_counted).count();
        (heard + 1) as f64 / self.entries() as f64
    }

    /// Entries, this one included.
    pub fn entries(&self) -> usize {
        self.known.len() + 1
    }
}
