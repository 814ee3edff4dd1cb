//! Removes settled claims after their retention period, one shard at a time.

use std::time::{Duration, SystemTime};

use clock::unix_ms;
use store::{KeyValueStore, StoreError};

use super::{Claim, ClaimState, shard_prefix};

/// Retention period of a claim whose call ran, from the creation of the claim. Until it ends, a
/// repeated call is recognised and gets the stored response.
pub const RAN_CLAIM_RETENTION: Duration = Duration::from_secs(30 * 24 * 3600);

/// Retention period of a claim whose call did not run, from the creation of the claim.
const NOT_RUN_CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Most claims that one sweep removes, so that it leaves room in the store for other writes.
const SWEEP_REMOVAL_LIMIT: usize = 50;

/// Whether the retention period of a claim has ended. An open claim never expires.
pub fn is_expired(claim: &Claim, now_ms: u64) -> bool {
    let retention = match claim.state {
        ClaimState::Claimed => return false,
        ClaimState::Ran { .. } => RAN_CLAIM_RETENTION,
        ClaimState::NotRun => NOT_RUN_CLAIM_RETENTION,
    };
    u128::from(now_ms.saturating_sub(claim.claimed_at_ms)) > retention.as_millis()
}

/// Removes the expired claims of one shard and returns their number. A claim is removed only at the
/// revision that was read, so one that has changed since stays.
pub async fn sweep_shard(
    store: &dyn KeyValueStore,
    shard: u8,
    wall: SystemTime,
) -> Result<usize, StoreError> {
    let now_ms = unix_ms(wall);
    let mut removed = 0;
    for found in store.list(&shard_prefix(shard)).await? {
        if removed == SWEEP_REMOVAL_LIMIT {
            break;
        }
        if is_expired(&Claim::from_text(&found.value)?, now_ms) {
            store.delete(&found.key, found.revision).await?;
            removed += 1;
        }
    }
    Ok(removed)
}
