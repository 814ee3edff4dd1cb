//! Decides how to proceed after an attempt at an upstream.

use crate::model::RouteKind;

/// Result of an attempt for the retry decision: whether the upstream ran the request, and the
/// status of a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The request did not reach the upstream.
    NotSent,
    /// The upstream states that it did not run the request.
    Declined,
    /// A complete, signed response to this request.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// A broken, unsigned or mismatched response, or none: the request may have run.
    Unknown,
    /// The upstream has sent nothing for longer than another upstream would need to respond.
    Silent,
}

/// State of a request that limits further attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryState {
    /// Kind of the route; decides whether a request may run more than once.
    pub kind: RouteKind,
    /// Number of upstreams that may have run the request so far, including the current one.
    pub upstreams_used: u32,
    /// Maximum number of upstreams that may run the request.
    pub max_upstreams: u32,
}

/// Next step for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Forward the response as it is.
    Relay,
    /// Send the request to another upstream, or use `if_refused` if no retry is left.
    Again {
        /// Whether it counts against the service's retry budget.
        counts: bool,
        /// Fallback if the retry is refused.
        if_refused: Fallback,
    },
    /// End the request.
    End(Fallback),
}

/// Result for the caller if no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fallback {
    /// Forward the response of the last attempt.
    Relay,
    /// Reject the request as not run.
    NotRun,
    /// Fail the request as one that may have run.
    MayHaveRun,
}

const SERVER_ERRORS: std::ops::RangeInclusive<u16> = 500..=599;

/// Statuses that tell callers that the request was not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Decides the next step after one attempt.
pub fn decide_next_step(result: AttemptResult, retry_state: RetryState) -> NextStep {
    let can_retry =
        retry_state.kind.may_retry() && retry_state.upstreams_used < retry_state.max_upstreams;
    match result {
        AttemptResult::NotSent => NextStep::Again { counts: false, if_refused: Fallback::NotRun },
        AttemptResult::Declined => NextStep::Again { counts: true, if_refused: Fallback::NotRun },
        AttemptResult::Answered { status } if SERVER_ERRORS.contains(&status) && can_retry => {
            let if_refused = relay_unless_not_run_status(status);
            NextStep::Again { counts: true, if_refused }
        }
        AttemptResult::Answered { status } => match relay_unless_not_run_status(status) {
            Fallback::Relay => NextStep::Relay,
            other => NextStep::End(other),
        },
        AttemptResult::Unknown | AttemptResult::Silent if can_retry => {
            NextStep::Again { counts: true, if_refused: Fallback::MayHaveRun }
        }
        AttemptResult::Unknown | AttemptResult::Silent => NextStep::End(Fallback::MayHaveRun),
    }
}

/// Forwards a response unless its status means "not run". Such a status is only forwarded if the
/// upstream has stated it, which is `AttemptResult::Declined`; here the request may have run.
fn relay_unless_not_run_status(status: u16) -> Fallback {
    if NOT_RUN_STATUSES.contains(&status) { Fallback::MayHaveRun } else { Fallback::Relay }
}
