//! Which running request gives way to one of the highest tier.

use identity::Tier;

/// The tier for which others give way.
pub const TOP_TIER: Tier = Tier(0);

/// A request that runs.
#[derive(Debug, Clone, Copy)]
pub struct RunningRequest<'a, K> {
    /// Which.
    pub key: &'a K,
    /// Its tier.
    pub tier: Tier,
    /// It may be cancelled without harm.
    pub cancellable: bool,
    /// Prompt tokens computed so far.
    pub prefill_tokens: u64,
    /// Pieces generated so far.
    pub pieces: u64,
}

/// The one of a lower tier that loses the least prefill, then the least generation.
pub fn choose_victim<'a, K: Ord>(
    running: impl Iterator<Item = RunningRequest<'a, K>>,
    tier: Tier,
) -> Option<&'a K> {
    running
        .filter(|request| request.cancellable && request.tier > tier)
        .min_by_key(|request| {
            let lowest_first = std::cmp::Reverse(request.tier);
            (request.prefill_tokens, request.pieces, lowest_first, request.key)
        })
        .map(|request| request.key)
}
