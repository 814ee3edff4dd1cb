//! What follows from how an upstream dealt with a request.

use crate::model::RouteKind;

/// How a hand-over to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// Nothing reached the upstream.
    NotSent,
    /// The upstream says that it did not run the request.
    Declined,
    /// A whole, signed answer to this very request.
    Answered {
        /// Its status.
        status: u16,
    },
    /// An answer that is broken, unsigned or to another request, or none: the request may have run.
    Unknown,
    /// The upstream is still silent after a time in which another could have answered.
    Silent,
}

/// What may still be done for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryState {
    /// What may be repeated.
    pub kind: RouteKind,
    /// Upstreams that may have run the request so far, this one included.
    pub upstreams_used: u32,
    /// The most that may.
    pub max_upstreams: u32,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the answer on as it is.
    Relay,
    /// Hand the request to another upstream. `if_refused` is what to do where no repeat is left.
    Again {
        /// Whether it counts as a repeat at the service.
        counts: bool,
        /// What to do if it may not be repeated after all.
        if_refused: Fallback,
    },
    /// End the request.
    End(Fallback),
}

/// How a request ends without an answer that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fallback {
    /// Pass on the answer that is there.
    Relay,
    /// Refuse: it has not run.
    NotRun,
    /// Fail: it may have run.
    MayHaveRun,
}

const SERVER_ERRORS: std::ops::RangeInclusive<u16> = 500..=599;

/// Statuses by which callers take a request as not run.
const PROMISES_NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Decides from one hand-over what follows.
pub fn decide_next_step(result: AttemptResult, retry_state: RetryState) -> NextStep {
    let again =
        retry_state.kind.may_retry() && retry_state.upstreams_used < retry_state.max_upstreams;
    match result {
        AttemptResult::NotSent => NextStep::Again { counts: false, if_refused: Fallback::NotRun },
        AttemptResult::Declined => NextStep::Again { counts: true, if_refused: Fallback::NotRun },
        AttemptResult::Answered { status } if SERVER_ERRORS.contains(&status) && again => {
            let if_refused = relay_unless_promise(status);
            NextStep::Again { counts: true, if_refused }
        }
        AttemptResult::Answered { status } => match relay_unless_promise(status) {
            Fallback::Relay => NextStep::Relay,
            other => NextStep::End(other),
        },
        AttemptResult::Unknown | AttemptResult::Silent if again => {
            NextStep::Again { counts: true, if_refused: Fallback::MayHaveRun }
        }
        AttemptResult::Unknown | AttemptResult::Silent => NextStep::End(Fallback::MayHaveRun),
    }
}

/// A status that means "not run" is only passed on where the upstream has said so, which is
/// `AttemptResult::Declined`; here the request may have run.
fn relay_unless_promise(status: u16) -> Fallback {
    if PROMISES_NOT_RUN.contains(&status) { Fallback::MayHaveRun } else { Fallback::Relay }
}
