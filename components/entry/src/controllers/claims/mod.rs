//! Claims: a non-idempotent call is handed over only under a claim in the platform's store.
//!
//! A claim names the agent process that may run the call. Its identity at that agent is the store
//! revision of the write that made it, so that no two dispatches of a key are ever alike and a
//! later one can be told from an earlier one. The ways that were weighed: `docs/design/claims.md`.

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

/// The epoch of each dispatch under a claim: its key is made of the claim's revision, so that no
/// two dispatches share one.
pub const CLAIMED_EPOCH: DispatchEpoch = DispatchEpoch(1);

/// Largest answer that is kept in a claim.
pub const STORED_RESPONSE_LIMIT_BYTES: usize = 16 * 1024;

/// Start of the store keys of all claims.
pub const PREFIX: &str = "claims/";

/// Hexadecimal digits of a shard's name.
const SHARD_DIGITS: usize = 2;

/// The claim of one idempotency key of one customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The customer who asked.
    pub customer: CustomerId,
    /// The customer's key for the call.
    pub idempotency_key: String,
    /// SHA-256 of the call, in hexadecimal.
    pub call_sha256: String,
    /// Adds one with each claim on the key.
    pub epoch: DispatchEpoch,
    /// Who wrote this state of the claim.
    pub writer: Writer,
    /// The upstream that may run the call.
    pub upstream: UpstreamId,
    /// The agent process that may hand it over.
    pub agent_process: ProcessId,
    /// When the claim was made, in milliseconds since 1970.
    pub claimed_at_ms: u64,
    /// How far it has come.
    pub state: ClaimState,
    /// The operator who settled it, if one did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub settled_by: Option<SettledBy>,
}

/// One write of one process; told apart from every other write.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Writer {
    /// The process that wrote.
    pub process: ProcessId,
    /// Drawn for the write.
    pub nonce: u64,
}

/// How far a claim has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimState {
    /// The named agent process may hold the call; it is asked what became of it.
    Claimed,
    /// The call ran.
    Ran {
        /// Its answer, where it was small text.
        answer: Option<StoredResponse>,
    },
    /// The call did not run and will not under this claim.
    NotRun,
}

/// An answer kept for a caller who asks again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body.
    pub body: String,
}

/// An operator's word on a claim, kept with it as its audit record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettledBy {
    /// Who.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
}

impl Claim {
    /// The key of this claim in the store.
    pub fn store_key(&self) -> String {
        store_key(&self.customer, &self.idempotency_key)
    }

    /// The identity at the agent of the dispatch that the write at `revision` allows.
    pub fn request_key(&self, revision: Revision) -> RequestKey {
        // Callers cannot choose a request id that holds a slash.
        let id = format!("once/{}/{}", self.idempotency_key, revision.0);
        RequestKey { customer: self.customer.clone(), request_id: RequestId::new(id) }
    }

    /// The part of the claim that goes with the dispatch.
    pub fn to_agent_claim(&self, revision: Revision) -> wire::Claim {
        wire::Claim { revision: revision.0, agent_process: self.agent_process.clone() }
    }

    /// The claim in another state, as `writer` writes it.
    pub fn with_state(&self, state: ClaimState, writer: Writer) -> Claim {
        Claim { state, writer, ..self.clone() }
    }

    /// The stored form.
    pub fn to_text(&self) -> Result<String, StoreError> {
        serde_json::to_string(self).map_err(|error| StoreError::Unavailable(error.to_string()))
    }

    /// Reads the stored form.
    pub fn from_text(text: &str) -> Result<Claim, StoreError> {
        serde_json::from_str(text)
            .map_err(|error| StoreError::Unknown(format!("claim not understood: {error}")))
    }
}

impl ClaimState {
    /// The state of a call that ran with this answer.
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

    /// The state to write where a dispatch ended with this outcome; none while it is open.
    pub fn from_outcome(outcome: Outcome) -> Option<ClaimState> {
        match outcome {
            Outcome::NotRun => Some(ClaimState::NotRun),
            Outcome::Ran => Some(ClaimState::Ran { answer: None }),
            Outcome::Unknown => None,
        }
    }
}

/// The store key of the claim on an idempotency key.
pub fn store_key(customer: &CustomerId, idempotency_key: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(customer.as_str());
    hash.update([0]);
    hash.update(idempotency_key);
    let name = hex::encode(hash.finalize());
    format!("{PREFIX}{}/{name}", &name[..SHARD_DIGITS])
}

/// Start of the store keys of the claims of one shard.
fn shard_prefix(shard: u8) -> String {
    format!("{PREFIX}{shard:02x}/")
}

/// SHA-256 of everything that makes two calls the same.
pub fn call_digest(call: &ServiceCall) -> String {
    let mut hash = Sha256::new();
    for part in [call.service.as_str(), &call.method, &call.target, &call.content_type] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(&call.body);
    hex::encode(hash.finalize())
}
