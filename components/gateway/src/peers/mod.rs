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
struct PeerState {
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

impl PeerState {
    /// Whether it serves callers. A process whose entry in the store is gone but that is heard does;
    /// it only can't reach the store.
    fn is_here(&self, now: Instant) -> bool {
        self.left_at.is_none() || self.is_reachable(now)
    }

    fn is_reachable(&self, now: Instant) -> bool {
        self.is_reachable_within(HEARD_MEMORY, now)
    }

    fn is_reachable_within(&self, span: Duration, now: Instant) -> bool {
        self.heard_at.is_some_and(|at| now.saturating_duration_since(at) < span)
    }

    /// Whether it may do something for all: it is heard, or has had no time to be.
    fn is_candidate(&self, now: Instant) -> bool {
        let is_new = now.saturating_duration_since(self.known_at) < HEARD_MEMORY;
        let unheard = self.left_at.is_none() && self.heard_at.is_none() && is_new;
        !self.leaving && (unheard || self.is_reachable(now))
    }
}

/// The other entries.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<PeerId, PeerState>,
}

impl Peers {
    /// Takes in who stands in the store now, this process left out.
    pub fn set_members(&mut self, members: &[Member], now: Instant) {
        for (id, peer) in &mut self.peers {
            let listed = members.iter().any(|member| member.id == *id);
            peer.left_at = if listed { None } else { peer.left_at.or(Some(now)) };
        }
        // A process at a known address has taken the place of the one that was there.
        self.peers.retain(|id, peer| {
            !members.iter().any(|member| member.id != *id && member.address == peer.address)
        });
        for member in members {
            let peer = self.peers.entry(member.id).or_insert(PeerState {
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
            peer.address = member.address;
        }
    }

    /// Whether a digest is newer than the last one of its sender, and from a member.
    pub fn accept_digest(&mut self, from: PeerId, sequence: u32, now: Instant) -> bool {
        match self.peers.get_mut(&from) {
            Some(peer) if peer.sequence < sequence => {
                peer.sequence = sequence;
                peer.heard_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Takes in when the store, by this host's uptime, confirmed what a member knows.
    pub fn record_confirmation(&mut self, id: PeerId, confirmed_at: Duration) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.confirmed_at = peer.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// When the store last confirmed what any member knows that is still heard.
    pub fn last_confirmed(&self, now: Instant) -> Option<Duration> {
        let heard = self.peers.values().filter(|peer| peer.is_reachable(now));
        heard.filter_map(|peer| peer.confirmed_at).max()
    }

    /// Forgets members whose entry in the store is gone and that were not heard for long.
    pub fn expire_departed(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            peer.left_at.is_none_or(|left_at| {
                let last = peer.heard_at.map_or(left_at, |heard_at| heard_at.max(left_at));
                now.saturating_duration_since(last) < LEAVING_MEMORY
            })
        });
    }

    /// Whether a process still counts as a member.
    pub fn is_member(&self, id: PeerId) -> bool {
        self.peers.contains_key(&id)
    }

    /// Members that may broker, this process left out.
    pub fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let here = self.peers.iter().filter(|(_, peer)| peer.is_candidate(now));
        here.map(|(id, peer)| Candidate { id: *id, cores: peer.cores }).collect()
    }

    /// A member's address and availability zone.
    pub fn locate(&self, id: PeerId) -> Option<(SocketAddr, Rc<str>)> {
        self.peers.get(&id).map(|peer| (peer.address, peer.zone.clone()))
    }

    /// The newest digest of each entry of a zone.
    pub fn latest_digests_in(&self, zone: &str) -> Vec<(PeerId, u32)> {
        let here = self.peers.iter().filter(|(_, peer)| &*peer.zone == zone);
        let heard = here.filter(|(_, peer)| peer.heard_at.is_some());
        heard.map(|(id, peer)| (*id, peer.sequence)).collect()
    }

    /// Where digests go: to all, or to those of one availability zone.
    pub fn addresses(&self, zone: Option<&str>, now: Instant) -> Vec<SocketAddr> {
        let here = self.peers.values().filter(|peer| peer.is_here(now));
        let prefetch = here.filter(|peer| zone.is_none_or(|zone| &*peer.zone == zone));
        prefetch.map(|peer| peer.address).collect()
    }

    /// Whether a member has been heard within some time.
    pub fn is_reachable_within(&self, id: PeerId, span: Duration, now: Instant) -> bool {
        self.peers.get(&id).is_some_and(|peer| peer.is_reachable_within(span, now))
    }

    /// Takes in whether a member leaves to others what one entry does for all; gives back whether it
    /// did before.
    pub fn set_leaving(&mut self, id: PeerId, leaving: bool) -> bool {
        let peer = self.peers.get_mut(&id);
        peer.is_some_and(|peer| std::mem::replace(&mut peer.leaving, leaving))
    }

    /// Takes in that a member has sent something.
    pub fn record_contact(&mut self, id: PeerId, now: Instant) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.heard_at = Some(now);
        }
    }

    /// Part of all entries that was heard lately, this one included.
    pub fn reachable_share(&self, now: Instant) -> f64 {
        let is_counted = |peer: &&PeerState| peer.is_reachable_within(COUNTED_MEMORY, now);
        let heard = self.peers.values().filter(is_counted).count();
        (heard + 1) as f64 / self.gateway_count() as f64
    }

    /// Entries, this one included.
    pub fn gateway_count(&self) -> usize {
        self.peers.len() + 1
    }
}
