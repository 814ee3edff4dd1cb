//! Preemption of running requests by requests of the highest tier.

use identity::Tier;

/// Highest tier; its requests may preempt running requests of lower tiers.
pub const TOP_TIER: Tier = Tier(0);

/// A running request, as a candidate for preemption.
#[derive(Debug, Clone, Copy)]
pub struct RunningRequest<'a, K> {
    /// Key of the request.
    pub key: &'a K,
    /// Tier of the request.
    pub tier: Tier,
    /// Whether the request may be cancelled without harm, as only model calls may.
    pub cancellable: bool,
    /// Estimated number of prompt tokens processed so far.
    pub prefill_tokens: u64,
    /// Chunks of the response received from the upstream so far.
    pub response_chunks: u64,
}

/// Chooses the running request that a request of `tier` preempts: of the cancellable requests of
/// lower tiers, the one that loses the least prefill, then the least generated output, then the one
/// of the lowest tier.
pub fn choose_victim<'a, K: Ord>(
    running: impl Iterator<Item = RunningRequest<'a, K>>,
    tier: Tier,
) -> Option<&'a K> {
    running
        .filter(|request| request.cancellable && request.tier > tier)
        .min_by_key(|request| {
            let lowest_first = std::cmp::Reverse(request.tier);
            (request.prefill_tokens, request.response_chunks, lowest_first, request.key)
        })
        .map(|request| request.key)
}
