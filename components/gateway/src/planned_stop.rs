//! Decides what a gateway still takes and answers while it is being stopped.
//!
//! Load pattern: the balancer goes on sending requests for two checks after the signal, callers send
//! others on the connections that they have, some with time limits beyond the end of the stop, and
//! some of them may not be repeated. Each one that is passed on gets an answer before the process
//! exits.

use std::time::{Duration, Instant};

/// Time before the end of the grace period at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time before the exit at which every request that is still open is answered.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// A limit of `longest`, or of this share of a short grace period.
#[derive(Debug, Clone, Copy)]
struct Period {
    longest: Duration,
    grace_share: f64,
}

/// Time for which requests are admitted although they may not end in time, if they may be repeated:
/// the balancer stops sending requests after two failed checks, a second apart.
const ADMISSION: Period = Period { longest: Duration::from_millis(2_800), grace_share: 0.35 };

/// Time for which callers' idle connections stay open.
const IDLE_LINGER: Period = Period { longest: Duration::from_millis(2_200), grace_share: 0.275 };

/// Shortest duration of a stop: the balancer may send requests until shortly before.
const MIN_DURATION: Period = Period { longest: Duration::from_millis(3_200), grace_share: 0.4 };

/// A request that arrives during a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct StopRequest {
    /// Whether it may be sent to a second upstream although the first may have run it.
    pub may_repeat: bool,
    /// End of its time limit.
    pub deadline: Instant,
    /// Longest recent time of its route's requests.
    pub longest_time: Option<Duration>,
}

/// A planned stop that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStop {
    began_at: Instant,
    grace_period: Duration,
}

/// What a planned stop does now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopStep {
    /// It waits for open requests, and keeps idle connections open.
    Wait,
    /// It also closes idle connections.
    CloseIdle,
    /// It also answers all requests that are still open.
    AnswerAll,
    /// It is over.
    Exit,
}

impl PlannedStop {
    /// A stop that begins now.
    pub fn begin(grace_period: Duration, now: Instant) -> PlannedStop {
        PlannedStop { began_at: now, grace_period }
    }

    fn limit(&self, period: Period) -> Duration {
        period.longest.min(self.grace_period.mul_f64(period.grace_share))
    }

    fn exits_after(&self) -> Duration {
        self.grace_period.saturating_sub(EXIT_MARGIN)
    }

    fn answers_within(&self) -> Duration {
        self.exits_after().saturating_sub(LAST_ANSWER_MARGIN)
    }

    /// Whether a request is taken: if its deadline lies within the stop, or while the balancer still
    /// sends some, if it may be repeated or requests like it have ended within the time left.
    pub fn admits(&self, request: &StopRequest, now: Instant) -> bool {
        let answers_by = self.began_at + self.answers_within();
        let is_early = now.saturating_duration_since(self.began_at) <= self.limit(ADMISSION);
        let ends_in_time = request.longest_time.is_some_and(|time| now + time <= answers_by);
        request.deadline <= answers_by || (is_early && (request.may_repeat || ends_in_time))
    }

    /// What to do with this many open requests.
    pub fn next_step(&self, open_requests: usize, now: Instant) -> StopStep {
        let elapsed = now.saturating_duration_since(self.began_at);
        let is_done = open_requests == 0 && elapsed >= self.limit(MIN_DURATION);
        if is_done || elapsed >= self.exits_after() {
            StopStep::Exit
        } else if elapsed >= self.answers_within() {
            StopStep::AnswerAll
        } else if elapsed >= self.limit(IDLE_LINGER) {
            StopStep::CloseIdle
        } else {
            StopStep::Wait
        }
    }
}
