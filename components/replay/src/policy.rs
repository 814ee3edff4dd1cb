//! Placement policies: the production scheduler and the baselines it is compared with.

use crate::trace::RequestSpec;

/// A placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The production scheduler.
    Scheduler,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the fewest requests in flight from the same entry.
    LeastOutstanding,
    /// The upstream with the fewest requests, queued or running, in its last load report.
    LeastReported,
    /// The upstream given by the hash of the session; requests without a session go in turn.
    PrefixHash,
}

impl Policy {
    /// All policies, the production scheduler first.
    pub const ALL: [Policy; 5] = [
        Policy::Scheduler,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::LeastReported,
        Policy::PrefixHash,
    ];

    /// Returns the policy's name in tables.
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

/// An upstream as a baseline policy sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BaselineCandidate {
    pub(crate) upstream: usize,
    pub(crate) own_outstanding: u32,
    pub(crate) reported_requests: u32,
}

/// Chooses an upstream by a baseline policy; `round_robin_counter` grows with each placement.
///
/// The simulation does not call this for [`Policy::Scheduler`].
pub(crate) fn choose_baseline(
    policy: Policy,
    candidates: &[BaselineCandidate],
    round_robin_counter: u64,
    request: &RequestSpec,
) -> Option<usize> {
    let pick_modulo =
        |number: u64| candidates.get((number % candidates.len().max(1) as u64) as usize);
    let chosen = match policy {
        Policy::RoundRobin => pick_modulo(round_robin_counter),
        Policy::PrefixHash if request.session == 0 => pick_modulo(round_robin_counter),
        Policy::PrefixHash => pick_modulo(u64::from(request.session).wrapping_mul(0x9E37_79B9)),
        Policy::LeastOutstanding => {
            candidates.iter().min_by_key(|candidate| candidate.own_outstanding)
        }
        Policy::Scheduler | Policy::LeastReported => {
            candidates.iter().min_by_key(|candidate| candidate.reported_requests)
        }
    };
    chosen.map(|candidate| candidate.upstream)
}
