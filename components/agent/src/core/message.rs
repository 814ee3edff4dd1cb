//! What the core is told and what it answers.

use errors::Refusal;
use wire::{Dispatch, RequestKey};

/// What the upstream said of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamEvent {
    /// It has begun to answer.
    Started {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// A piece of the answer.
    Data(bytes::Bytes),
    /// The answer is whole.
    Finished,
    /// It could not be reached; nothing was handed over.
    NotReached(String),
    /// It broke off.
    Failed(String),
}

/// Action for the runtime to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Hand the request to the upstream.
    Start(Box<Dispatch>),
    /// Tell the upstream to stop working on the request.
    Abort(RequestKey),
    /// Wake the readers of the request.
    WakeReaders(RequestKey),
}

/// Outcome of admitting a request that an entry process dispatched.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// It is queued or running; its transcript can be read.
    Accepted,
    /// It is refused; nothing ran.
    Refused(Refusal),
}

/// Status of a request at this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// Never seen; refused from now on.
    Withdrawn,
    /// Waits here.
    Queued,
    /// The upstream works on it.
    Running,
    /// Its answer is held.
    Finished,
    /// It was refused before it was handed to the upstream.
    NotRun,
}
