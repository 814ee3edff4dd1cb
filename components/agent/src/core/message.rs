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

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Hand the request to the upstream.
    Start(Box<Dispatch>),
    /// Tell the upstream to stop working on the request.
    Abort(RequestKey),
    /// Wake the readers of the request.
    Wake(RequestKey),
}

/// What came of a request that an entry process handed over.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// It waits or runs; read its transcript.
    Held,
    /// It is refused; nothing ran.
    Refused(Refusal),
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
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
