//! Elects the broker of a service, the owner of a customer's token bucket and the tester of a
//! quarantined cause.

use xxhash_rust::xxh3::xxh3_64;

use crate::allowance::CustomerId;
use crate::crash_quarantine::Cause;
use crate::model::{PeerId, ServiceId};
use crate::peers::Candidate;

/// A candidate with less than this share of the largest candidate's CPU capacity is ranked as a
/// standby only: a broker's work grows with the requests of all gateways.
const MIN_SHARE_OF_LARGEST_CORES: f64 = 0.5;

/// Task that one gateway performs for all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ElectionKey {
    /// Brokering the slots of a service.
    Service(ServiceId),
    /// Owning the token bucket of a customer.
    Customer(CustomerId),
    /// Testing a quarantined request or prompt part.
    Cause(Cause),
}

/// Ranks all candidates by weighted rendezvous hashing: the first is elected, the next ones are its
/// standbys. Gateways with the same candidate list compute the same ranking, and a candidate that
/// joins or leaves does not move tasks between the others.
pub fn rank_candidates(election_key: ElectionKey, candidates: &[Candidate]) -> Vec<PeerId> {
    let largest = candidates.iter().map(|candidate| candidate.cores).fold(0.0, f64::max);
    let is_small = |candidate: &Candidate| candidate.cores < largest * MIN_SHARE_OF_LARGEST_CORES;
    let key =
        |candidate: &Candidate| (is_small(candidate), score(election_key, candidate), candidate.id);
    let mut ranked: Vec<(bool, f64, PeerId)> = candidates.iter().map(key).collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
    ranked.into_iter().map(|(_, _, id)| id).collect()
}

fn score(election_key: ElectionKey, candidate: &Candidate) -> f64 {
    let (kind, number) = match election_key {
        ElectionKey::Service(service) => (0_u8, service.number()),
        ElectionKey::Customer(customer) => (1, customer.number()),
        ElectionKey::Cause(Cause::PromptPart(part)) => (2, xxh3_64(&part.to_le_bytes()) as u32),
        ElectionKey::Cause(Cause::Request(hash)) => (3, xxh3_64(&hash.0.to_le_bytes()) as u32),
    };
    let mut key = [0; 13];
    key[0] = kind;
    key[1..5].copy_from_slice(&number.to_le_bytes());
    key[5..].copy_from_slice(&candidate.id.to_le_bytes());
    // The sample is in (0, 1]; its negative logarithm divided by the weight is exponentially
    // distributed.
    let sample = (xxh3_64(&key) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    candidate.cores.max(f64::MIN_POSITIVE) / -sample.ln().min(-f64::MIN_POSITIVE)
}
