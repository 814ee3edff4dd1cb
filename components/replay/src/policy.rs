//! Placement policies: the product's own and the baselines it is measured against.

use crate::trace::RequestSpec;

/// A placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The product's.
    Scheduler,
    /// One after the other.
    RoundRobin,
    /// The fewest requests of the entry itself in flight.
    LeastOutstanding,
    /// The fewest requests in the last report.
    LeastReported,
    /// By the hash of the session alone.
    PrefixHash,
}

impl Policy {
    /// Every policy, the product's first.
    pub const ALL: [Policy; 5] = [
        Policy::Scheduler,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::LeastReported,
        Policy::PrefixHash,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Scheduler => "scheduler",
            Policy::RoundRobin => "round-robin",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::LeastReported => "least-reported",
            Policy::PrefixHash => "prefix-hash",
        }
    }
}

/// What a baseline reads of an upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Seen {
    pub(crate) upstream: usize,
    pub(crate) own_outstanding: u32,
    pub(crate) reported: u32,
}

/// The choice of a baseline.
pub(crate) fn choose_baseline(
    policy: Policy,
    seen: &[Seen],
    turn: u64,
    request: &RequestSpec,
) -> Option<usize> {
    let by_number = |number: u64| seen.get((number % seen.len().max(1) as u64) as usize);
    let chosen = match policy {
        Policy::RoundRobin => by_number(turn),
        Policy::PrefixHash if request.session == 0 => by_number(turn),
        Policy::PrefixHash => by_number(u64::from(request.session).wrapping_mul(0x9E37_79B9)),
        Policy::LeastOutstanding => seen.iter().min_by_key(|seen| seen.own_outstanding),
        Policy::Scheduler | Policy::LeastReported => seen.iter().min_by_key(|seen| seen.reported),
    };
    chosen.map(|seen| seen.upstream)
}
