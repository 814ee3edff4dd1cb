//! Relays by rendezvous hashing: every process that holds the same agents finds the same ones.

use std::net::SocketAddr;

use identity::ZoneId;
use sha2::{Digest, Sha256};

use crate::Document;

/// Most relays of a zone, however many agents it has.
const RELAY_LIMIT: usize = 16;

/// The relays of a zone: as many agents as the square root of their number.
pub fn choose_relays(document: &Document, zone: &ZoneId) -> Vec<SocketAddr> {
    let in_zone = document.upstreams.values().filter(|upstream| upstream.zone == *zone);
    let mut agents: Vec<SocketAddr> = in_zone.map(|upstream| upstream.agent).collect();
    agents.sort_by_key(|agent| relay_rank(zone, *agent));
    let count = (agents.len() as f64).sqrt().ceil() as usize;
    agents.truncate(count.min(RELAY_LIMIT));
    agents
}

/// The place of an address in a zone's order.
pub fn relay_rank(zone: &ZoneId, address: SocketAddr) -> [u8; 32] {
    Sha256::digest(format!("{zone}/{address}").as_bytes()).into()
}
