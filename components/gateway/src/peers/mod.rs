//! The other gateways: membership and acceptance of their digests.
//!
//! Load pattern: a gateway that is cut off from the store alone serves on after its registration has
//! lapsed, and another one that starts meanwhile does not find it in the member list. What they may
//! grant together is shared out by the largest number of gateways that a reachable one counts.

mod digest;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use digest::{Digest, DigestExtension};

use crate::model::PeerId;

/// Silence after which a member counts as unreachable; covers two digests to all zones.
const REACHABLE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Silence after which a member no longer counts towards the share of an allowance that is granted
/// here; covers one digest to all zones and its time in transit.
const ALLOWANCE_SHARE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which a member counts after its store entry is gone: it may still serve callers until
/// it notices that the store no longer confirms its configuration.
const DEPARTED_RETENTION: Duration = Duration::from_secs(6);

/// Another gateway, as listed in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Id of the gateway process.
    pub id: PeerId,
    /// Address for messages.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// CPU capacity, in cores.
    pub cores: f64,
}

/// Gateway that may be elected as broker or bucket owner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Id of the gateway process.
    pub id: PeerId,
    /// CPU capacity, in cores: a gateway with more is elected more often.
    pub cores: f64,
}

/// State of one other gateway.
#[derive(Debug)]
struct PeerState {
    address: SocketAddr,
    zone: Rc<str>,
    cores: f64,
    /// When its store entry disappeared; `None` while it is listed.
    unlisted_at: Option<Instant>,
    first_listed_at: Instant,
    last_contact_at: Option<Instant>,
    leaving: bool,
    sequence: u32,
    /// Fingerprint of the store's state as known to the peer, and when its digest arrived.
    told_state: Option<(u64, Instant)>,
    /// When the store confirmed the peer's state, as uptime of this host.
    confirmed_at: Option<Duration>,
    /// Gateways that the peer counts, itself included.
    counted: usize,
}

impl PeerState {
    /// Whether the peer serves callers. A reachable process whose store entry is gone still does;
    /// it only cannot reach the store.
    fn is_serving(&self, now: Instant) -> bool {
        self.unlisted_at.is_none() || self.is_reachable(now)
    }

    fn is_reachable(&self, now: Instant) -> bool {
        self.is_reachable_within(REACHABLE_TIMEOUT, now)
    }

    fn is_reachable_within(&self, span: Duration, now: Instant) -> bool {
        self.last_contact_at.is_some_and(|at| now.saturating_duration_since(at) < span)
    }

    /// Whether the peer may be elected: it is reachable, or listed too recently to have sent
    /// anything.
    fn is_candidate(&self, now: Instant) -> bool {
        let is_new = now.saturating_duration_since(self.first_listed_at) < REACHABLE_TIMEOUT;
        let awaits_first_contact =
            self.unlisted_at.is_none() && self.last_contact_at.is_none() && is_new;
        !self.leaving && (awaits_first_contact || self.is_reachable(now))
    }
}

/// Availability zones that a message is for.
#[derive(Debug, Clone, Copy)]
pub enum Recipients<'a> {
    /// Gateways of one availability zone.
    Zone(&'a str),
    /// Gateways of all availability zones but one.
    OtherZones(&'a str),
}

impl Recipients<'_> {
    fn include(&self, zone: &str) -> bool {
        match self {
            Recipients::Zone(only) => *only == zone,
            Recipients::OtherZones(excluded) => *excluded != zone,
        }
    }
}

/// All other gateways.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<PeerId, PeerState>,
    /// Largest number of gateways that a reachable peer counts.
    counted_by_peers: usize,
}

impl Peers {
    /// Updates the members to those listed in the store, without this process.
    pub fn set_members(&mut self, members: &[Member], now: Instant) {
        for (id, peer) in &mut self.peers {
            let listed = members.iter().any(|member| member.id == *id);
            peer.unlisted_at = if listed { None } else { peer.unlisted_at.or(Some(now)) };
        }
        // A process at a known address replaces the previous process there.
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
                told_state: None,
                confirmed_at: None,
                counted: 0,
            });
            peer.address = member.address;
        }
    }

    /// Accepts a digest if it comes from a member and is newer than the last one of its sender.
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

    /// Records the fingerprint of the store's state in a member's digest.
    pub fn record_state(&mut self, id: PeerId, fingerprint: u64, now: Instant) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.told_state = Some((fingerprint, now));
        }
    }

    /// Whether all members have told since `since` that they know the state with this fingerprint.
    /// Members whose store entry is gone and that are silent count as gone.
    pub fn agree_since(&self, fingerprint: u64, since: Instant, now: Instant) -> bool {
        let mut serving = self.peers.values().filter(|peer| peer.is_serving(now));
        serving.all(|peer| {
            peer.told_state.is_some_and(|(told, told_at)| told == fingerprint && told_at >= since)
        })
    }

    /// Records when the store confirmed a member's state, as uptime of this host.
    pub fn record_confirmation(&mut self, id: PeerId, confirmed_at: Duration) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.confirmed_at = peer.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// Latest store confirmation of any reachable member.
    pub fn last_confirmed(&self, now: Instant) -> Option<Duration> {
        let reachable = self.peers.values().filter(|peer| peer.is_reachable(now));
        reachable.filter_map(|peer| peer.confirmed_at).max()
    }

    /// Records how many gateways a member counts, itself included.
    pub fn record_count(&mut self, id: PeerId, counted: usize) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.counted = counted;
            self.counted_by_peers = self.counted_by_peers.max(counted);
        }
    }

    /// Removes members whose store entry is gone and that have been silent for long.
    pub fn expire_departed(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            peer.unlisted_at.is_none_or(|unlisted_at| {
                let last = peer
                    .last_contact_at
                    .map_or(unlisted_at, |last_contact_at| last_contact_at.max(unlisted_at));
                now.saturating_duration_since(last) < DEPARTED_RETENTION
            })
        });
        let reachable = self.peers.values().filter(|peer| peer.is_reachable(now));
        self.counted_by_peers = reachable.map(|peer| peer.counted).max().unwrap_or(0);
    }

    /// Whether a process counts as a member.
    pub fn is_member(&self, id: PeerId) -> bool {
        self.peers.contains_key(&id)
    }

    /// Members that may be elected, without this process.
    pub fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let eligible = self.peers.iter().filter(|(_, peer)| peer.is_candidate(now));
        eligible.map(|(id, peer)| Candidate { id: *id, cores: peer.cores }).collect()
    }

    /// Members of an availability zone that may be elected.
    pub fn candidates_in<'a>(
        &'a self,
        zone: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = Candidate> + 'a {
        let in_zone = self.peers.iter().filter(move |(_, peer)| &*peer.zone == zone);
        let eligible = in_zone.filter(move |(_, peer)| peer.is_candidate(now));
        eligible.map(|(id, peer)| Candidate { id: *id, cores: peer.cores })
    }

    /// Address and availability zone of a member.
    pub fn locate(&self, id: PeerId) -> Option<(SocketAddr, Rc<str>)> {
        self.peers.get(&id).map(|peer| (peer.address, peer.zone.clone()))
    }

    /// Sequence number of the newest digest from each gateway of a zone.
    pub fn latest_digests_in(&self, zone: &str) -> Vec<(PeerId, u32)> {
        let in_zone = self.peers.iter().filter(|(_, peer)| &*peer.zone == zone);
        let contacted = in_zone.filter(|(_, peer)| peer.last_contact_at.is_some());
        contacted.map(|(id, peer)| (*id, peer.sequence)).collect()
    }

    /// Recipients of a digest: the serving members in some availability zones.
    pub fn addresses(&self, recipients: Recipients<'_>, now: Instant) -> Vec<SocketAddr> {
        let serving = self.peers.values().filter(|peer| peer.is_serving(now));
        let selected = serving.filter(|peer| recipients.include(&peer.zone));
        selected.map(|peer| peer.address).collect()
    }

    /// Whether a member has sent anything within `span`.
    pub fn is_reachable_within(&self, id: PeerId, span: Duration, now: Instant) -> bool {
        self.peers.get(&id).is_some_and(|peer| peer.is_reachable_within(span, now))
    }

    /// Sets whether a member leaves brokering and bucket ownership to others; returns the previous
    /// value.
    pub fn set_leaving(&mut self, id: PeerId, leaving: bool) -> bool {
        let peer = self.peers.get_mut(&id);
        peer.is_some_and(|peer| std::mem::replace(&mut peer.leaving, leaving))
    }

    /// Records that a member has sent something.
    pub fn record_contact(&mut self, id: PeerId, now: Instant) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.last_contact_at = Some(now);
        }
    }

    /// Share of all gateways, including this one, that are counted as reachable.
    pub fn reachable_share(&self, now: Instant) -> f64 {
        let is_counted = |peer: &&PeerState| peer.is_reachable_within(ALLOWANCE_SHARE_TIMEOUT, now);
        let reachable = self.peers.values().filter(is_counted).count();
        (reachable + 1) as f64 / self.gateway_count() as f64
    }

    /// Number of members, including this process.
    pub fn member_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Number of gateways, including this one: as many as the members, or as a reachable peer
    /// counts. A gateway that is cut off from the store serves on, and one that started since does
    /// not find it in the member list.
    pub fn gateway_count(&self) -> usize {
        self.member_count().max(self.counted_by_peers)
    }
}
