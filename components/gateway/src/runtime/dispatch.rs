//! Serves one request: finds places for it, hands it over, and decides what follows.

use std::rc::Rc;
use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use log::info;

use super::admission::{AdmittedRequest, clamp_retry_after, max_retry_after};
use super::answer::Delivery;
use super::attempt::{SendResult, SharedRef, StartedResponse, read_body};
use super::relay::{Relay, RelayStart};
use super::slot_guard::SlotGuard;
use super::slots;
use super::state::Shared;
use crate::model::UpstreamId;
use crate::retry::{AttemptResult, Fallback, NextStep, RetryState, decide_next_step};
use crate::scheduler::{AttemptOutcome, Job, RejectionReason};

/// Most hand-overs of one request that did not arrive or were declined: a second place found free
/// at once is likely to be good, a fourth is not.
const MAX_ATTEMPTS: u32 = 4;

/// Part of the time after which callers give up a stream without an event for which it may wait for
/// a place.
const STREAM_WAIT_SHARE: f64 = 0.75;

/// Longest that a request to a plain service waits for a place: its callers give up after a second or
/// so.
const LONGEST_PLAIN_WAIT: Duration = Duration::from_millis(800);

/// Part of a request's time that it may spend waiting; the rest is for its run.
const WAIT_SHARE: f64 = 0.6;

/// Least time left for which a hand-over is worth its while.
const LEAST_TIME: Duration = Duration::from_millis(10);

/// What was done for a request so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    pub(super) excluded: Vec<UpstreamId>,
    pub(super) count: u32,
    /// Upstreams that may have run it.
    pub(super) upstreams_used: u32,
}

enum Step {
    Deliver(Delivery),
    Ended(AttemptResult, Option<Delivery>),
    OutOfTime,
}

/// Serves a request that was let in.
pub(super) async fn serve(
    shared: &SharedRef,
    admitted: AdmittedRequest,
) -> Result<Delivery, Refusal> {
    let admitted = Rc::new(admitted);
    let mut attempts = Attempts::default();
    loop {
        let mut slot = match acquire_slot(shared, &admitted, &attempts).await {
            Ok(slot) => slot,
            Err(refusal) => {
                if attempts.upstreams_used == 0 {
                    shared.refund(&admitted);
                    return Err(refusal);
                }
                return Err(may_have_run());
            }
        };
        shared.record_attempt(&admitted, &mut attempts);
        let step = run_attempt(shared, &admitted, &mut slot, &attempts).await;
        let (result, spare) = match step {
            Step::Deliver(delivery) => return Ok(delivery),
            Step::OutOfTime => {
                return Err(Refusal::new(ResultCode::DeadlinePassed, Outcome::Unknown));
            }
            Step::Ended(result, spare) => (result, spare),
        };
        if !matches!(result, AttemptResult::NotSent | AttemptResult::Declined) {
            attempts.upstreams_used += 1;
        }
        let upstream = slot.upstream().id();
        let next = decide_next_step(result, retry_state(&admitted, &attempts));
        shared.log_next(&admitted, &attempts, &slot, result, next);
        let fallback = match next {
            NextStep::Relay => Fallback::Relay,
            NextStep::End(fallback) => fallback,
            NextStep::Again { counts, if_refused } => {
                attempts.excluded.push(upstream);
                if shared.may_retry(&admitted, &attempts, counts) {
                    continue;
                }
                if_refused
            }
        };
        return shared.fall_back(&admitted, &attempts, fallback, spare);
    }
}

fn retry_state(admitted: &AdmittedRequest, attempts: &Attempts) -> RetryState {
    RetryState {
        kind: admitted.route.kind,
        upstreams_used: attempts.upstreams_used,
        max_upstreams: admitted.route.max_upstreams,
    }
}

fn may_have_run() -> Refusal {
    Refusal::new(ResultCode::UpstreamFailed, Outcome::Unknown)
}

async fn acquire_slot(
    shared: &SharedRef,
    admitted: &AdmittedRequest,
    attempts: &Attempts,
) -> Result<SlotGuard, Refusal> {
    let rejection = match slots::acquire(shared, job(admitted, attempts)).await {
        Ok(slot) => return Ok(slot),
        Err(rejection) => rejection,
    };
    let now = shared.clock.now();
    let left = admitted.time_left(now);
    info!(
        "place.refused id={} route={} tier={} route_tier={} reason={:?} expected_wait_ms={} waited_ms={}",
        admitted.metadata.attempt_id,
        admitted.route.name,
        admitted.priority.tier,
        admitted.priority.route_tier,
        rejection.reason,
        rejection.retry_after.as_millis(),
        now.saturating_duration_since(admitted.arrived).as_millis(),
    );
    let wait = match rejection.reason {
        RejectionReason::NoUpstream => clamp_retry_after(rejection.retry_after, left),
        RejectionReason::Full => max_retry_after(left),
    };
    Err(shared.not_run(slots::result_code(rejection.reason), wait))
}

fn job(admitted: &AdmittedRequest, attempts: &Attempts) -> Job {
    let time_limit = admitted.deadline.saturating_duration_since(admitted.arrived);
    let longest = if admitted.route.kind.is_stream() {
        admitted.longest_pause().mul_f64(STREAM_WAIT_SHARE)
    } else {
        LONGEST_PLAIN_WAIT
    };
    Job {
        queue_deadline: admitted.arrived + longest.min(time_limit.mul_f64(WAIT_SHARE)),
        excluded: attempts.excluded.clone(),
        ..admitted.job()
    }
}

async fn run_attempt(
    shared: &SharedRef,
    admitted: &Rc<AdmittedRequest>,
    slot: &mut SlotGuard,
    attempts: &Attempts,
) -> Step {
    let started = match shared.send(admitted, slot, None).await {
        SendResult::Started(started) => *started,
        SendResult::Ended(result) => return Step::Ended(result, None),
        SendResult::OutOfTime => {
            slot.release(AttemptOutcome::Abandoned);
            return Step::OutOfTime;
        }
    };
    if admitted.route.kind.is_stream() && started.status.is_success() {
        begin_stream(shared, admitted, slot, started, attempts).await
    } else {
        read_response(shared, admitted, slot, started).await
    }
}

async fn read_response(
    shared: &SharedRef,
    admitted: &AdmittedRequest,
    slot: &mut SlotGuard,
    started: StartedResponse,
) -> Step {
    slot.record_first_event();
    let StartedResponse { status, headers, metadata, body, connection } = started;
    match read_body(admitted, body).await {
        Ok(body) => {
            let failed = status.is_server_error();
            shared.keep_connection(slot, connection, &metadata);
            slot.release(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Served });
            let answered = AttemptResult::Answered { status: status.as_u16() };
            Step::Ended(answered, Some(Delivery::Whole { status, headers, body }))
        }
        Err(error) => {
            shared.record_failure(admitted, slot, &error.to_string());
            if admitted.time_left(shared.clock.now()).is_zero() {
                Step::OutOfTime
            } else {
                Step::Ended(AttemptResult::Unknown, None)
            }
        }
    }
}

async fn begin_stream(
    shared: &SharedRef,
    admitted: &Rc<AdmittedRequest>,
    slot: &mut SlotGuard,
    started: StartedResponse,
    attempts: &Attempts,
) -> Step {
    let (status, headers) = (started.status, started.headers.clone());
    let slot = slot.take();
    match Relay::begin(shared.clone(), admitted.clone(), slot, started, attempts).await {
        RelayStart::Events(relay) => Step::Deliver(Delivery::Stream { status, headers, relay }),
        RelayStart::Broken => Step::Ended(AttemptResult::Unknown, None),
        RelayStart::OutOfTime => Step::OutOfTime,
    }
}

impl Shared {
    /// Logs how a hand-over ended and what follows.
    fn log_next(
        &self,
        admitted: &AdmittedRequest,
        attempts: &Attempts,
        slot: &SlotGuard,
        result: AttemptResult,
        next: NextStep,
    ) {
        let now = self.clock.now();
        let since = |at: Instant| at.saturating_duration_since(admitted.arrived).as_millis();
        info!(
            "request.next id={} route={} instance={} ended={result:?} next={next:?} hand_overs={} placed_ms={} ended_ms={}",
            admitted.metadata.attempt_id,
            admitted.route.name,
            slot.upstream().instance,
            attempts.count,
            since(slot.assigned_at()),
            since(now),
        );
    }

    fn record_attempt(&self, admitted: &AdmittedRequest, attempts: &mut Attempts) {
        if attempts.count == 0 {
            self.retry_budget.borrow_mut().record_request(&admitted.service, self.clock.now());
        }
        attempts.count += 1;
    }

    /// Whether there is time and budget for another hand-over.
    pub(super) fn may_retry(
        &self,
        admitted: &AdmittedRequest,
        attempts: &Attempts,
        counts: bool,
    ) -> bool {
        let now = self.clock.now();
        if attempts.count >= MAX_ATTEMPTS || admitted.time_left(now) < LEAST_TIME {
            return false;
        }
        let gateway_count = self.peers.borrow().gateway_count();
        !counts
            || self.retry_budget.borrow_mut().try_acquire_retry(
                &admitted.service,
                gateway_count,
                now,
            )
    }

    fn fall_back(
        &self,
        admitted: &AdmittedRequest,
        attempts: &Attempts,
        fallback: Fallback,
        spare: Option<Delivery>,
    ) -> Result<Delivery, Refusal> {
        match (fallback, spare) {
            (Fallback::Relay, Some(delivery)) => Ok(delivery),
            (Fallback::NotRun, _) if attempts.upstreams_used == 0 => {
                self.refund(admitted);
                let left = admitted.time_left(self.clock.now());
                Err(self.not_run(
                    ResultCode::Overloaded,
                    clamp_retry_after(admitted.route.latency_objective, left),
                ))
            }
            _ => Err(may_have_run()),
        }
    }
}
