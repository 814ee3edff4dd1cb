//! Which entry brokers a service.

use xxhash_rust::xxh3::xxh3_64;

use crate::model::{PeerId, ServiceId};
use crate::peers::Candidate;

/// Part of the largest candidate's processor below which an entry only stands in: a broker's work
/// grows with the requests of all entries.
const LEAST_SHARE_OF_LARGEST: f64 = 0.5;

/// All candidates, the broker first and then those that stand in for it, by weighted rendezvous
/// hashing: entries with the same list agree, and a candidate that comes or goes moves no other
/// service.
pub fn rank_brokers(service: ServiceId, candidates: &[Candidate]) -> Vec<PeerId> {
    let largest = candidates.iter().map(|candidate| candidate.cores).fold(0.0, f64::max);
    let is_small = |candidate: &Candidate| candidate.cores < largest * LEAST_SHARE_OF_LARGEST;
    let key =
        |candidate: &Candidate| (is_small(candidate), score(service, candidate), candidate.id);
    let mut ranked: Vec<(bool, f64, PeerId)> = candidates.iter().map(key).collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
    ranked.into_iter().map(|(_, _, id)| id).collect()
}

fn score(service: ServiceId, candidate: &Candidate) -> f64 {
    let mut key = [0; 12];
    key[..4].copy_from_slice(&service.number().to_le_bytes());
    key[4..].copy_from_slice(&candidate.id.to_le_bytes());
    // In (0, 1]; the negative logarithm divided by the weight is exponentially distributed.
    let draw = (xxh3_64(&key) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    candidate.cores.max(f64::MIN_POSITIVE) / -draw.ln().min(-f64::MIN_POSITIVE)
}
