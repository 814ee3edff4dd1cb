//! Which entry brokers a service.

use xxhash_rust::xxh3::xxh3_64;

use crate::model::{PeerId, ServiceId};
use crate::peers::Candidate;

/// All candidates, the broker first and then those that stand in for it, by weighted rendezvous
/// hashing: entries with the same list agree, and a candidate that comes or goes moves no other
/// service.
pub fn rank_brokers(service: ServiceId, candidates: &[Candidate]) -> Vec<PeerId> {
    let mut ranked: Vec<(f64, PeerId)> =
        candidates.iter().map(|candidate| (score(service, candidate), candidate.id)).collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    ranked.into_iter().map(|(_, id)| id).collect()
}

fn score(service: ServiceId, candidate: &Candidate) -> f64 {
    let mut key = [0; 12];
    key[..4].copy_from_slice(&service.number().to_le_bytes());
    key[4..].copy_from_slice(&candidate.id.to_le_bytes());
    // In (0, 1]; the negative logarithm divided by the weight is exponentially distributed.
    let draw = (xxh3_64(&key) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    candidate.cores.max(f64::MIN_POSITIVE) / -draw.ln().min(-f64::MIN_POSITIVE)
}
