//! Claims: a non-idempotent call is dispatched only under a claim in the platform's store.
//!
//! A claim names the agent process that may run the call. The agent identifies the dispatch by the
//! store revision at which the claim was written. No two dispatches of a key therefore share an
//! identity, and a later dispatch can be distinguished from an earlier one. The alternatives are
//! compared in `docs/design/claims.md`.

mod acquisition;
mod message;
mod settle;
mod sweep;

use errors::Outcome;
use identity::{CustomerId, DispatchEpoch, ProcessId, RequestId, UpstreamId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use store::{Revision, StoreError};
use wire::{RequestKey, ServiceCall};

pub use acquisition::ClaimAcquisition;
pub use message::{ClaimRequest, ClaimStatus, Event, NextStep};
pub use settle::{OperatorSettlement, UnsettledClaim, list_unsettled, read_claim, settle_claim};
pub use sweep::{RAN_CLAIM_RETENTION, is_expired, sweep_shard};

/// Epoch of every dispatch under a claim. It can be constant: the request key contains the revision
/// of the claim, so no two dispatches share a key.
pub const CLAIMED_EPOCH: DispatchEpoch = DispatchEpoch(1);

/// Largest response body that is stored in a claim.
pub const STORED_RESPONSE_LIMIT_BYTES: usize = 16 * 1024;

/// Prefix of the store keys of all claims.
pub const CLAIM_KEY_PREFIX: &str = "claims/";

/// Number of hexadecimal digits in the name of a shard.
const SHARD_DIGITS: usize = 2;

/// Claim on one idempotency key of one customer, as stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The customer who sent the call.
    pub customer: CustomerId,
    /// Idempotency key that the customer chose for the call.
    pub idempotency_key: String,
    /// SHA-256 of the call, in hexadecimal.
    pub call_sha256: String,
    /// Number of this claim among all claims on the key; each new claim adds one.
    pub epoch: DispatchEpoch,
    /// Identifies the write that stored this state of the claim.
    pub writer: Writer,
    /// The upstream that may run the call.
    pub upstream: UpstreamId,
    /// The agent process that may send the call to the upstream.
    pub agent_process: ProcessId,
    /// Time at which the claim was created, in milliseconds since 1970.
    pub claimed_at_ms: u64,
    /// Known outcome of the call.
    pub state: ClaimState,
    /// Audit record of the operator's settlement, if an operator settled the claim.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub settled_by: Option<SettledBy>,
}

/// Identifies one write of a claim. A process that lost the reply to its write recognises its own
/// claim in the store by it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Writer {
    /// The process that wrote.
    pub process: ProcessId,
    /// Random number generated for the write.
    pub nonce: u64,
}

/// State of a claim: the known outcome of its call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimState {
    /// The outcome is open: the named agent process may hold the call and is queried for its
    /// status.
    Claimed,
    /// The call ran.
    Ran {
        /// Its response, if it was text of at most [`STORED_RESPONSE_LIMIT_BYTES`].
        answer: Option<StoredResponse>,
    },
    /// The call did not run and will not run under this claim.
    NotRun,
}

/// Response that is stored in the claim and replayed to a caller who repeats the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Response body.
    pub body: String,
}

/// Audit record of an operator's settlement, stored with the claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettledBy {
    /// Name of the operator.
    pub author: String,
    /// Reason that the operator gave.
    pub reason: String,
    /// Time of the settlement, in milliseconds since 1970.
    pub at_ms: u64,
}

impl Claim {
    /// Key of this claim in the store.
    pub fn store_key(&self) -> String {
        store_key(&self.customer, &self.idempotency_key)
    }

    /// Key by which the agent identifies the dispatch under this claim, as written at `revision`.
    pub fn request_key(&self, revision: Revision) -> RequestKey {
        // The slashes keep it apart from the ids that callers choose, which cannot contain one.
        let id = format!("once/{}/{}", self.idempotency_key, revision.0);
        RequestKey { customer: self.customer.clone(), request_id: RequestId::new(id) }
    }

    /// Part of the claim that is sent to the agent with the dispatch.
    pub fn to_agent_claim(&self, revision: Revision) -> wire::Claim {
        wire::Claim { revision: revision.0, agent_process: self.agent_process.clone() }
    }

    /// Copy of the claim in another state, to be written by `writer`.
    pub fn with_state(&self, state: ClaimState, writer: Writer) -> Claim {
        Claim { state, writer, ..self.clone() }
    }

    /// Serializes the claim for the store.
    pub fn to_text(&self) -> Result<String, StoreError> {
        serde_json::to_string(self).map_err(|error| StoreError::Unavailable(error.to_string()))
    }

    /// Parses a claim read from the store.
    pub fn from_text(text: &str) -> Result<Claim, StoreError> {
        serde_json::from_str(text)
            .map_err(|error| StoreError::Unknown(format!("cannot parse claim: {error}")))
    }
}

impl ClaimState {
    /// State of a call that ran and returned this response.
    pub fn from_response(status: u16, content_type: &str, body: &[u8]) -> ClaimState {
        let body =
            std::str::from_utf8(body).ok().filter(|body| body.len() <= STORED_RESPONSE_LIMIT_BYTES);
        let answer = body.map(|body| StoredResponse {
            status,
            content_type: content_type.to_owned(),
            body: body.to_owned(),
        });
        ClaimState::Ran { answer }
    }

    /// State to write after a dispatch ended with this outcome; `None` if the outcome is unknown
    /// and the claim stays open.
    pub fn from_outcome(outcome: Outcome) -> Option<ClaimState> {
        match outcome {
            Outcome::NotRun => Some(ClaimState::NotRun),
            Outcome::Ran => Some(ClaimState::Ran { answer: None }),
            Outcome::Unknown => None,
        }
    }
}

/// Store key of the claim on an idempotency key.
pub fn store_key(customer: &CustomerId, idempotency_key: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(customer.as_str());
    hash.update([0]);
    hash.update(idempotency_key);
    let name = hex::encode(hash.finalize());
    format!("{CLAIM_KEY_PREFIX}{}/{name}", &name[..SHARD_DIGITS])
}

/// Prefix of the store keys of the claims in one shard.
fn shard_prefix(shard: u8) -> String {
    format!("{CLAIM_KEY_PREFIX}{shard:02x}/")
}

/// SHA-256 of the parts that must be equal for two calls to count as the same, in hexadecimal.
pub fn call_digest(call: &ServiceCall) -> String {
    let mut hash = Sha256::new();
    for part in [call.service.as_str(), &call.method, &call.target, &call.content_type] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(&call.body);
    hex::encode(hash.finalize())
}
