//! Lists open claims whose outcome could not be determined, and lets operators settle them.

use std::time::{Duration, SystemTime};

use clock::unix_ms;
use errors::{Outcome, Refusal, ResultCode};
use identity::CustomerId;
use serde::{Deserialize, Serialize};
use store::{KeyValueStore, Revision, StoreError, SwapResult};

use super::{Claim, ClaimState, SettledBy, Writer, shard_prefix, store_key};

/// Age from which an open claim is listed as unsettled.
const MIN_LISTED_AGE: Duration = Duration::from_secs(60);

/// An open claim in the list for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UnsettledClaim {
    /// Revision of the claim in the store.
    pub revision: Revision,
    /// Time since the claim was created.
    pub age_ms: u64,
    /// The claim.
    pub claim: Claim,
}

/// Request of an operator to settle a claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettlement {
    /// Customer of the claim.
    pub customer: CustomerId,
    /// Idempotency key of the claim.
    pub idempotency_key: String,
    /// Revision of the claim that the operator has seen.
    pub revision: Revision,
    /// Outcome of the call: `ran` or `not_run`.
    pub outcome: Outcome,
    /// Name of the operator.
    pub author: String,
    /// How the operator determined the outcome.
    pub reason: String,
}

/// Lists the claims that have been open for a minute or longer, shard by shard.
pub async fn list_unsettled(
    store: &dyn KeyValueStore,
    wall: SystemTime,
) -> Result<Vec<UnsettledClaim>, StoreError> {
    let now_ms = unix_ms(wall);
    let mut rows = Vec::new();
    for shard in 0..=u8::MAX {
        for found in store.list(&shard_prefix(shard)).await? {
            let claim = Claim::from_text(&found.value)?;
            let age_ms = now_ms.saturating_sub(claim.claimed_at_ms);
            if claim.state == ClaimState::Claimed
                && u128::from(age_ms) >= MIN_LISTED_AGE.as_millis()
            {
                rows.push(UnsettledClaim { revision: found.revision, age_ms, claim });
            }
        }
    }
    Ok(rows)
}

/// Settles an open claim as an operator decided. The audit record is stored in the claim.
pub async fn settle_claim(
    store: &dyn KeyValueStore,
    settlement: &OperatorSettlement,
    writer: Writer,
    wall: SystemTime,
) -> Result<Claim, Refusal> {
    let state = ClaimState::from_outcome(settlement.outcome).ok_or_else(|| {
        let refusal = Refusal::not_run(ResultCode::FieldOutOfRange);
        refusal.with_message("outcome: allowed are ran and not_run")
    })?;
    let key = store_key(&settlement.customer, &settlement.idempotency_key);
    let found = read_claim(store, &key).await.map_err(|error| store_unavailable(&error))?;
    let Some((revision, claim)) = found else {
        return Err(Refusal::not_run(ResultCode::NotFound));
    };
    if revision != settlement.revision || claim.state != ClaimState::Claimed {
        return Err(version_conflict(revision));
    }
    let settled = Claim {
        settled_by: Some(SettledBy {
            author: settlement.author.clone(),
            reason: settlement.reason.clone(),
            at_ms: unix_ms(wall),
        }),
        ..claim.with_state(state, writer)
    };
    let text = settled.to_text().map_err(|error| store_unavailable(&error))?;
    match store.swap(&key, Some(revision), &text, None).await {
        Ok(SwapResult::Written(_)) => Ok(settled),
        Ok(SwapResult::Conflict(found)) => Err(version_conflict(found.unwrap_or_default())),
        Err(StoreError::Unknown(_)) => confirm_settlement(store, &key, settled).await,
        Err(error) => Err(store_unavailable(&error)),
    }
}

/// Reads a claim and its revision from the store.
pub async fn read_claim(
    store: &dyn KeyValueStore,
    key: &str,
) -> Result<Option<(Revision, Claim)>, StoreError> {
    match store.get(key).await? {
        Some(found) => Ok(Some((found.revision, Claim::from_text(&found.value)?))),
        None => Ok(None),
    }
}

/// Reads the claim back after a write without a reply, to find out whether the write took effect.
async fn confirm_settlement(
    store: &dyn KeyValueStore,
    key: &str,
    settled: Claim,
) -> Result<Claim, Refusal> {
    match read_claim(store, key).await {
        Ok(Some((_, claim))) if claim.writer == settled.writer => Ok(settled),
        Ok(found) => Err(version_conflict(found.map(|(revision, _)| revision).unwrap_or_default())),
        Err(error) => {
            let refusal = Refusal::new(ResultCode::WriteUnknown, Outcome::Unknown);
            Err(refusal.with_message(error.to_string()))
        }
    }
}

fn version_conflict(revision: Revision) -> Refusal {
    let refusal = Refusal::not_run(ResultCode::VersionConflict);
    refusal.with_message(format!("The claim is at revision {} or is already settled.", revision.0))
}

fn store_unavailable(error: &StoreError) -> Refusal {
    Refusal::not_run(ResultCode::StoreUnavailable).with_message(error.to_string())
}
