//! Events that the core receives, and the results and actions that it returns.

use errors::Refusal;
use wire::{Dispatch, RequestKey};

/// Event of the upstream for one request.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamEvent {
    /// The response has begun.
    Started {
        /// HTTP status of the response.
        status: u16,
        /// Content type of the response.
        content_type: String,
    },
    /// A chunk of the response body.
    Data(bytes::Bytes),
    /// The response is complete.
    Finished,
    /// The upstream could not be reached; the request was not sent. Contains the reason.
    NotReached(String),
    /// The request may have been sent, but no complete response was received. Contains the reason.
    Failed(String),
}

/// Action for the runtime to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to the upstream.
    Start(Box<Dispatch>),
    /// Tell the upstream to stop processing the request.
    Abort(RequestKey),
    /// Wake the readers of the request's response.
    WakeReaders(RequestKey),
}

/// Outcome of admitting a request that an entry process dispatched.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// The request is queued, running or finished; its transcript can be read.
    Accepted,
    /// The request is refused and was not run under this dispatch.
    Refused(Refusal),
}

/// Status of a request at this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// The dispatch had not arrived when its status was first queried; it is refused from then on.
    Withdrawn,
    /// The request waits in the agent's queue.
    Queued,
    /// The request has been sent to the upstream and is in progress.
    Running,
    /// The request ended after it had been sent to the upstream.
    Finished,
    /// The request ended without having been sent to the upstream.
    NotRun,
}
