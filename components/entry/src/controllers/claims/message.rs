//! Inputs and outputs of the state machine that acquires a claim.

use std::time::{Duration, Instant};

use errors::Refusal;
use identity::{CustomerId, ProcessId, UpstreamId};
use store::{Revision, StoreError, SwapResult};

use super::{Claim, StoredResponse};

/// The request that a claim is acquired for.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// The customer who sent the request.
    pub customer: CustomerId,
    /// Idempotency key that the customer chose for the call.
    pub idempotency_key: String,
    /// SHA-256 of the call, in hexadecimal.
    pub call_sha256: String,
    /// The entry process that acquires the claim.
    pub process: ProcessId,
    /// Time after which the caller has no use for the response.
    pub deadline: Instant,
}

/// Input of the state machine: a placement, or the result of the [`NextStep`] returned last.
#[derive(Debug, Clone)]
pub enum Event {
    /// An upstream was chosen and the process of its agent is known. Starts each attempt.
    Placed {
        /// The chosen upstream.
        upstream: UpstreamId,
        /// The agent process of that upstream.
        agent_process: ProcessId,
        /// Random number that identifies the write of the claim that may follow.
        nonce: u64,
        /// Wall-clock time, in milliseconds since 1970.
        wall_ms: u64,
    },
    /// No upstream can take the call. The request ends with this refusal unless the claim of an
    /// earlier request with the same key determines its result.
    NoUpstream(Refusal),
    /// Result of writing a claim to the store.
    Wrote(Result<SwapResult, StoreError>),
    /// Result of reading the claim of the key from the store.
    Read(Result<Option<(Revision, Box<Claim>)>, StoreError>),
    /// The requested pause has ended.
    PauseEnded,
    /// Result of querying the agent named in the claim.
    StatusReceived(ClaimStatus),
}

/// Status of a dispatch under a claim, as reported by the agent process that answered the query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The agent process holds the call or its response.
    Held(ProcessId),
    /// The call did not run, and the agent process will refuse its dispatch from now on.
    NotRun(ProcessId),
    /// The call ran, and the agent process no longer holds its response.
    Ran(ProcessId),
    /// The agent process cannot tell whether the call ran.
    Unknown(ProcessId),
    /// The agent could not be reached or did not reply in time.
    Unreachable,
}

/// Output of the state machine: the step to carry out next.
#[derive(Debug, Clone, PartialEq)]
pub enum NextStep {
    /// Write this claim if the revision of its store key is `expected`.
    Write {
        /// The claim to write.
        claim: Box<Claim>,
        /// Revision to replace; `None` if the key must be absent.
        expected: Option<Revision>,
    },
    /// Read the claim of the key.
    Read,
    /// Wait for this duration.
    Pause(Duration),
    /// Query the agent named in this claim, on a new connection.
    QueryAgent {
        /// The claim.
        claim: Box<Claim>,
        /// Its revision in the store.
        revision: Revision,
    },
    /// Dispatch the call under this claim.
    Dispatch {
        /// The claim.
        claim: Box<Claim>,
        /// Its revision in the store.
        revision: Revision,
    },
    /// Read the response from the agent named in this claim.
    Attach {
        /// The claim.
        claim: Box<Claim>,
        /// Its revision in the store.
        revision: Revision,
    },
    /// Record in the claim that the call ran, then end the request as already run.
    RecordRan {
        /// The claim.
        claim: Box<Claim>,
        /// Its revision in the store.
        revision: Revision,
    },
    /// Return the stored response of the earlier run to the caller.
    Replay(StoredResponse),
    /// End the request with this refusal.
    Reject(Refusal),
}
