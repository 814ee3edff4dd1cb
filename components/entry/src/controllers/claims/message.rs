//! What a request on its way to a claim is told, and what it answers.

use std::time::{Duration, Instant};

use errors::Refusal;
use identity::{CustomerId, ProcessId, UpstreamId};
use store::{Revision, StoreError, SwapResult};

use super::{Claim, StoredResponse};

/// The request that a claim is acquired for.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// The customer who asks.
    pub customer: CustomerId,
    /// The customer's key for the call.
    pub idempotency_key: String,
    /// SHA-256 of the call, in hexadecimal.
    pub call_sha256: String,
    /// The process that claims.
    pub process: ProcessId,
    /// When the answer is worthless.
    pub deadline: Instant,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// An upstream was chosen, and its agent runs as this process. Begins each attempt.
    Placed {
        /// The upstream.
        upstream: UpstreamId,
        /// The agent process beside it.
        agent_process: ProcessId,
        /// Drawn for the write that may follow.
        nonce: u64,
        /// Time of day, in milliseconds since 1970.
        wall_ms: u64,
    },
    /// No upstream can take the call; it ends with this unless an earlier request with its key says
    /// otherwise.
    NoUpstream(Refusal),
    /// The store answered a write.
    Wrote(Result<SwapResult, StoreError>),
    /// The store answered a read.
    Read(Result<Option<(Revision, Box<Claim>)>, StoreError>),
    /// A pause is over.
    PauseEnded,
    /// The agent named in the claim was asked.
    StatusReceived(ClaimStatus),
}

/// Status of a claimed dispatch, as the claim's agent reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStatus {
    /// It holds the call or its answer.
    Held(ProcessId),
    /// It did not run it and refuses it from now on.
    NotRun(ProcessId),
    /// It ran, and the answer is no longer held.
    Ran(ProcessId),
    /// It cannot say.
    Unknown(ProcessId),
    /// It does not answer.
    Unreachable,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum NextStep {
    /// Write this claim if the key stands at `expected`.
    Write {
        /// The claim.
        claim: Box<Claim>,
        /// The revision to replace; `None` where the key must be absent.
        expected: Option<Revision>,
    },
    /// Read the claim.
    Read,
    /// Wait this long.
    Pause(Duration),
    /// Ask the agent named in this claim, on a new connection.
    QueryAgent {
        /// The claim.
        claim: Box<Claim>,
        /// Where it stands.
        revision: Revision,
    },
    /// Hand the call over under this claim.
    Dispatch {
        /// The claim.
        claim: Box<Claim>,
        /// Where it stands.
        revision: Revision,
    },
    /// Read the answer from the agent named in this claim.
    Attach {
        /// The claim.
        claim: Box<Claim>,
        /// Where it stands.
        revision: Revision,
    },
    /// Write that the call ran, then tell the caller so.
    RecordRan {
        /// The claim.
        claim: Box<Claim>,
        /// Where it stands.
        revision: Revision,
    },
    /// Give the kept answer.
    Replay(StoredResponse),
    /// End with this.
    Reject(Refusal),
}
