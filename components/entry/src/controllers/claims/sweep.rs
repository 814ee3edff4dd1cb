//! Removes claims that are settled and old, a shard at a time.

use std::time::{Duration, SystemTime};

use clock::unix_ms;
use store::{KeyValueStore, StoreError};

use super::{Claim, ClaimState, shard_prefix};

/// How long a key is known to have run, and its answer kept.
pub const RAN_CLAIM_RETENTION: Duration = Duration::from_secs(30 * 24 * 3600);

/// How long a claim that did not run is kept.
const KEEP_NOT_RUN: Duration = Duration::from_secs(24 * 3600);

/// Most claims removed at once, so that a sweep leaves room for other writes.
const REMOVE_LIMIT: usize = 50;

/// Whether a claim is to be removed. An open one never is.
pub fn is_expired(claim: &Claim, now_ms: u64) -> bool {
    let keep = match claim.state {
        ClaimState::Claimed => return false,
        ClaimState::Ran { .. } => RAN_CLAIM_RETENTION,
        ClaimState::NotRun => KEEP_NOT_RUN,
    };
    u128::from(now_ms.saturating_sub(claim.claimed_at_ms)) > keep.as_millis()
}

/// Removes what has expired in one shard, as it stood when it was read; says how many.
pub async fn sweep_shard(
    store: &dyn KeyValueStore,
    shard: u8,
    wall: SystemTime,
) -> Result<usize, StoreError> {
    let now_ms = unix_ms(wall);
    let mut removed = 0;
    for found in store.list(&shard_prefix(shard)).await? {
        if removed == REMOVE_LIMIT {
            break;
        }
        if is_expired(&Claim::from_text(&found.value)?, now_ms) {
            store.delete(&found.key, found.revision).await?;
            removed += 1;
        }
    }
    Ok(removed)
}
