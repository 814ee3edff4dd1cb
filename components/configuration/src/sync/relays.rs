//! Selection of relays by rendezvous hashing. Processes with the same list of agents select the
//! same relays.

use std::net::SocketAddr;

use identity::ZoneId;
use sha2::{Digest, Sha256};

use crate::Document;

/// Maximum number of relays of a zone.
const MAX_RELAYS_PER_ZONE: usize = 16;

/// Selects the relays of a zone. Their number is the square root of the number of agents, rounded
/// up and limited to `MAX_RELAYS_PER_ZONE`.
pub fn choose_relays(document: &Document, zone: &ZoneId) -> Vec<SocketAddr> {
    let in_zone = document.upstreams.values().filter(|upstream| upstream.zone == *zone);
    let mut agents: Vec<SocketAddr> = in_zone.map(|upstream| upstream.agent).collect();
    agents.sort_by_key(|agent| relay_rank(zone, *agent));
    let count = (agents.len() as f64).sqrt().ceil() as usize;
    agents.truncate(count.min(MAX_RELAYS_PER_ZONE));
    agents
}

/// Returns the rank of an address in a zone. The agents with the lowest ranks are the relays.
pub fn relay_rank(zone: &ZoneId, address: SocketAddr) -> [u8; 32] {
    Sha256::digest(format!("{zone}/{address}").as_bytes()).into()
}
