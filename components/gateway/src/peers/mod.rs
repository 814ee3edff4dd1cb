//! The other entries: who is a member, and whose digests are believed.

mod digest;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use digest::Digest;

use crate::model::PeerId;

/// Silence after which a member counts as not reachable; two digests to all zones.
const REACHABLE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Silence after which a member does not count for the part of an allowance that is granted here; a
/// digest to all zones, with time to arrive.
const SHARE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a member counts after its entry in the store is gone: it may still serve callers until
/// it notices that the store no longer confirms its configuration.
const DEPARTED_RETENTION: Duration = Duration::from_secs(6);

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
    unlisted_at: Option<Instant>,
    first_listed_at: Instant,
    last_contact_at: Option<Instant>,
    leaving: bool,
    sequence: u32,
    /// When the store confirmed what it knows, as uptime of this host.
    confirmed_at: Option<Duration>,
}

impl PeerState {
    /// Whether it serves callers. A process whose entry in the store is gone but that is reachable does;
    /// it only can't reach the store.
    fn is_serving(&self, now: Instant) -> bool {
        self.unlisted_at.is_none() || self.is_reachable(now)
    }

    fn is_reachable(&self, now: Instant) -> bool {
        self.is_reachable_within(REACHABLE_TIMEOUT, now)
    }

    fn is_reachable_within(&self, span: Duration, now: Instant) -> bool {
        self.last_contact_at.is_some_and(|at| now.saturating_duration_since(at) < span)
    }

    /// Whether it may do something for all: it is reachable, or has had no time to be.
    fn is_candidate(&self, now: Instant) -> bool {
        let is_new = now.saturating_duration_since(self.first_listed_at) < REACHABLE_TIMEOUT;
        let awaits_first_contact =
            self.unlisted_at.is_none() && self.last_contact_at.is_none() && is_new;
        !self.leaving && (awaits_first_contact || self.is_reachable(now))
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
            peer.unlisted_at = if listed { None } else { peer.unlisted_at.or(Some(now)) };
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
                unlisted_at: None,
                first_listed_at: now,
                last_contact_at: None,
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
                peer.last_contact_at = Some(now);
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

    /// When the store last confirmed what any member knows that is still reachable.
    pub fn last_confirmed(&self, now: Instant) -> Option<Duration> {
        let reachable = self.peers.values().filter(|peer| peer.is_reachable(now));
        reachable.filter_map(|peer| peer.confirmed_at).max()
    }

    /// Forgets members whose entry in the store is gone and that were not reachable for long.
    pub fn expire_departed(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            peer.unlisted_at.is_none_or(|unlisted_at| {
                let last = peer
                    .last_contact_at
                    .map_or(unlisted_at, |last_contact_at| last_contact_at.max(unlisted_at));
                now.saturating_duration_since(last) < DEPARTED_RETENTION
            })
        });
    }

    /// Whether a process still counts as a member.
    pub fn is_member(&self, id: PeerId) -> bool {
        self.peers.contains_key(&id)
    }

    /// Members that may broker, this process left out.
    pub fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let eligible = self.peers.iter().filter(|(_, peer)| peer.is_candidate(now));
        eligible.map(|(id, peer)| Candidate { id: *id, cores: peer.cores }).collect()
    }

    /// A member's address and availability zone.
    pub fn locate(&self, id: PeerId) -> Option<(SocketAddr, Rc<str>)> {
        self.peers.get(&id).map(|peer| (peer.address, peer.zone.clone()))
    }

    /// The newest digest of each entry of a zone.
    pub fn latest_digests_in(&self, zone: &str) -> Vec<(PeerId, u32)> {
        let in_zone = self.peers.iter().filter(|(_, peer)| &*peer.zone == zone);
        let contacted = in_zone.filter(|(_, peer)| peer.last_contact_at.is_some());
        contacted.map(|(id, peer)| (*id, peer.sequence)).collect()
    }

    /// Where digests go: to all, or to those of one availability zone.
    pub fn addresses(&self, zone: Option<&str>, now: Instant) -> Vec<SocketAddr> {
        let serving = self.peers.values().filter(|peer| peer.is_serving(now));
        let recipients = serving.filter(|peer| zone.is_none_or(|zone| &*peer.zone == zone));
        recipients.map(|peer| peer.address).collect()
    }

    /// Whether a member has been reachable within some time.
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
            peer.last_contact_at = Some(now);
        }
    }

    /// Part of all entries that was reachable lately, this one included.
    pub fn reachable_share(&self, now: Instant) -> f64 {
        let is_counted = |peer: &&PeerState| peer.is_reachable_within(SHARE_TIMEOUT, now);
        let reachable = self.peers.values().filter(is_counted).count();
        (reachable + 1) as f64 / self.gateway_count() as f64
    }

    /// Entries, this one included.
    pub fn gateway_count(&self) -> usize {
        self.peers.len() + 1
    }
}
