//! What the events of one run at an upstream say of its request's causes.
//!
//! Load pattern: upstreams that write the first events of an answer before they end, and streams
//! that are resumed, so that one answer holds the events of several upstreams.

use std::time::{Duration, Instant};

/// Time after its first event for which an upstream has to go on writing before it counts as having
/// survived the beginning of the answer.
const ANSWER_PERIOD: Duration = Duration::from_secs(2);

/// What is known of a cause from a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunResult {
    /// Nothing yet, or nothing more.
    Undecided,
    /// The upstream has survived the beginning of its answer.
    Answered,
}

/// Progress of one run of a request at one upstream.
#[derive(Debug, Default)]
pub struct Run {
    /// Whether an earlier run of the request broke off within its answer, so that this one writes
    /// only the rest.
    writes_rest: bool,
    first_event_at: Option<Instant>,
    is_decided: bool,
}

impl Run {
    /// A run that goes on where this one broke off.
    pub fn resume(&self) -> Run {
        Run { writes_rest: self.writes_rest || self.has_begun(), ..Run::default() }
    }

    /// Whether the upstream has sent an event.
    pub fn has_begun(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Records events of the upstream.
    pub fn record_events(&mut self, now: Instant) -> RunResult {
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if now.saturating_duration_since(first_event_at) < ANSWER_PERIOD {
            return RunResult::Undecided;
        }
        self.decide()
    }

    /// Records the end of a complete answer. The rest of an answer may be too short to end an
    /// upstream that writes it.
    pub fn record_completion(&mut self) -> RunResult {
        if self.writes_rest || !self.has_begun() { RunResult::Undecided } else { self.decide() }
    }

    fn decide(&mut self) -> RunResult {
        if std::mem::replace(&mut self.is_decided, true) {
            RunResult::Undecided
        } else {
            RunResult::Answered
        }
    }
}
