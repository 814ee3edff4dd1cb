//! Operators' view of claims that nobody could settle, and their word on one.

use std::time::{Duration, SystemTime};

use clock::unix_ms;
use errors::{Outcome, Refusal, ResultCode};
use identity::CustomerId;
use serde::{Deserialize, Serialize};
use store::{KeyValueStore, Revision, StoreError, SwapResult};

use super::{Claim, ClaimState, SettledBy, Writer, shard_prefix, store_key};

/// How long a claim stands open before it is listed.
const LISTED_AFTER: Duration = Duration::from_secs(60);

/// An open claim, as an operator sees it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UnsettledClaim {
    /// Where it stands in the store.
    pub revision: Revision,
    /// How long it has been open.
    pub age_ms: u64,
    /// The claim.
    pub claim: Claim,
}

/// An operator's settlement of a claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettlement {
    /// The customer of the claim.
    pub customer: CustomerId,
    /// The key of the claim.
    pub idempotency_key: String,
    /// The revision that the operator saw.
    pub revision: Revision,
    /// `ran` or `not_run`.
    pub outcome: Outcome,
    /// Who settles.
    pub author: String,
    /// Where the operator has it from.
    pub reason: String,
}

/// Lists claims that have been open for a minute or longer, shard by shard.
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
            if claim.state == ClaimState::Claimed && u128::from(age_ms) >= LISTED_AFTER.as_millis()
            {
                rows.push(UnsettledClaim { revision: found.revision, age_ms, claim });
            }
        }
    }
    Ok(rows)
}

/// Writes an operator's word on an open claim; the claim itself keeps the record of it.
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
    let found = read_claim(store, &key).await.map_err(|error| unavailable(&error))?;
    let Some((revision, claim)) = found else {
        return Err(Refusal::not_run(ResultCode::NotFound));
    };
    if revision != settlement.revision || claim.state != ClaimState::Claimed {
        return Err(conflict(revision));
    }
    let settled = Claim {
        settled_by: Some(SettledBy {
            author: settlement.author.clone(),
            reason: settlement.reason.clone(),
            at_ms: unix_ms(wall),
        }),
        ..claim.with_state(state, writer)
    };
    let text = settled.to_text().map_err(|error| unavailable(&error))?;
    match store.swap(&key, Some(revision), &text, None).await {
        Ok(SwapResult::Written(_)) => Ok(settled),
        Ok(SwapResult::Conflict(found)) => Err(conflict(found.unwrap_or_default())),
        Err(StoreError::Unknown(_)) => read_back(store, &key, settled).await,
        Err(error) => Err(unavailable(&error)),
    }
}

/// Reads one claim.
pub async fn read_claim(
    store: &dyn KeyValueStore,
    key: &str,
) -> Result<Option<(Revision, Claim)>, StoreError> {
    match store.get(key).await? {
        Some(found) => Ok(Some((found.revision, Claim::from_text(&found.value)?))),
        None => Ok(None),
    }
}

async fn read_back(store: &dyn KeyValueStore, key: &str, settled: Claim) -> Result<Claim, Refusal> {
    match read_claim(store, key).await {
        Ok(Some((_, claim))) if claim.writer == settled.writer => Ok(settled),
        Ok(found) => Err(conflict(found.map(|(revision, _)| revision).unwrap_or_default())),
        Err(error) => {
            let refusal = Refusal::new(ResultCode::WriteUnknown, Outcome::Unknown);
            Err(refusal.with_message(error.to_string()))
        }
    }
}

fn conflict(revision: Revision) -> Refusal {
    let refusal = Refusal::not_run(ResultCode::VersionConflict);
    refusal.with_message(format!("The claim stands at revision {} or is settled.", revision.0))
}

fn unavailable(error: &StoreError) -> Refusal {
    Refusal::not_run(ResultCode::StoreUnavailable).with_message(error.to_string())
}
