//! Serves one admitted request: acquires slots, sends attempts to upstreams, and retries where that
//! is safe.

use std::cell::Cell;
use std::iter;
use std::rc::Rc;
use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use log::info;

use super::admission::{AdmittedRequest, clamp_retry_after, max_retry_after};
use super::attempt::{SendResult, StartedResponse, is_framed, read_body};
use super::crash_checks::{AnswerEnd, check_for_crash};
use super::quarantine::QuarantineCheck;
use super::relay::{Relay, RelayStart};
use super::response::{CallerResponse, HeldBody};
use super::slot_guard::SlotGuard;
use super::slots;
use super::state::{Shared, SharedRef};
use crate::crash_quarantine::Cause;
use crate::model::UpstreamId;
use crate::retry::{AttemptResult, Fallback, NextStep, RetryState, decide_next_step};
use crate::scheduler::{AttemptOutcome, Job, RejectionReason};

/// Maximum number of attempts for one request, including those that did not reach their upstream or
/// were declined: an attempt at a second slot that is free at once is likely to succeed, one at a
/// fourth is not.
const MAX_ATTEMPTS: u32 = 4;

/// The request of a stream waits for a slot for at most this share of the time after which callers
/// abandon a silent stream.
const STREAM_QUEUE_SHARE: f64 = 0.75;

/// Longest time that a request to a plain service waits for a slot: its callers give up after about
/// a second.
const MAX_PLAIN_QUEUE_TIME: Duration = Duration::from_millis(800);

/// Share of a request's time that it may wait for a slot; the rest is for the upstream to run it.
const QUEUE_TIME_SHARE: f64 = 0.6;

/// Shortest remaining time with which another attempt is started.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);

/// Attempts made for a request so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    pub(super) excluded: Vec<UpstreamId>,
    pub(super) count: u32,
    /// Upstreams that may have run the request.
    pub(super) upstreams_used: u32,
}

/// How far a request has got, for those who give up on it.
#[derive(Debug, Default)]
pub(super) struct DispatchProgress {
    may_have_run: Cell<bool>,
}

impl DispatchProgress {
    /// Whether an upstream may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run.get()
    }
}

/// Result of one attempt for the retry loop, once a stream has started, the complete response has
/// been read, or the attempt has failed.
enum AttemptEnd {
    /// A stream has started; its relay handles later failures.
    StreamStarted(CallerResponse),
    /// The attempt has a result, and the upstream's response if there is a complete one.
    Ended(AttemptResult, Option<CallerResponse>),
    /// The request's deadline has passed.
    DeadlinePassed,
}

/// Serves an admitted request, with retries.
pub(super) async fn serve_request(
    shared: &SharedRef,
    admitted: AdmittedRequest,
    progress: &DispatchProgress,
) -> Result<CallerResponse, Refusal> {
    let admitted = Rc::new(admitted);
    let mut attempts = Attempts::default();
    loop {
        let mut slot = match acquire_slot(shared, &admitted, &attempts).await {
            Ok(slot) => slot,
            Err(refusal) => {
                if attempts.upstreams_used == 0 {
                    shared.refund_customer(&admitted);
                    return Err(refusal);
                }
                return Err(unknown_outcome_refusal());
            }
        };
        shared.record_attempt(&admitted, &mut attempts);
        progress.may_have_run.set(true);
        let end = run_attempt(shared, &admitted, &mut slot, &attempts).await;
        let (result, response) = match end {
            AttemptEnd::StreamStarted(response) => return Ok(response),
            AttemptEnd::DeadlinePassed => {
                return Err(Refusal::new(ResultCode::DeadlinePassed, Outcome::Unknown));
            }
            AttemptEnd::Ended(result, response) => (result, response),
        };
        if !matches!(result, AttemptResult::NotSent | AttemptResult::Declined) {
            attempts.upstreams_used += 1;
        }
        progress.may_have_run.set(attempts.upstreams_used > 0);
        let upstream = slot.upstream().id();
        let next_step = decide_next_step(result, retry_state(&admitted, &attempts));
        shared.log_next_step(&admitted, &attempts, &slot, result, next_step);
        let fallback = match next_step {
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
        return shared.apply_fallback(&admitted, &attempts, fallback, response);
    }
}

fn retry_state(admitted: &AdmittedRequest, attempts: &Attempts) -> RetryState {
    RetryState {
        kind: admitted.route.kind,
        upstreams_used: attempts.upstreams_used,
        max_upstreams: admitted.route.max_upstreams,
    }
}

fn unknown_outcome_refusal() -> Refusal {
    Refusal::new(ResultCode::UpstreamFailed, Outcome::Unknown)
}

async fn acquire_slot(
    shared: &SharedRef,
    admitted: &AdmittedRequest,
    attempts: &Attempts,
) -> Result<SlotGuard, Refusal> {
    let check = shared.check_quarantine(admitted)?;
    let rejection = match slots::acquire(shared, attempt_job(shared, admitted, attempts)).await {
        Ok(slot) => {
            // It may have been quarantined while it waited.
            if check != QuarantineCheck::Tests {
                shared.check_quarantine(admitted)?;
            }
            return Ok(slot);
        }
        Err(rejection) => rejection,
    };
    let now = shared.clock.now();
    let left = admitted.time_left(now);
    info!(
        "slot.rejected id={} route={} tier={} route_tier={} reason={:?} expected_wait_ms={} waited_ms={}",
        admitted.metadata.attempt_id,
        admitted.route.name,
        admitted.priority.tier,
        admitted.priority.route_tier,
        rejection.reason,
        rejection.retry_after.as_millis(),
        now.saturating_duration_since(admitted.arrived).as_millis(),
    );
    let retry_after = match rejection.reason {
        RejectionReason::NoUpstream => clamp_retry_after(rejection.retry_after, left),
        RejectionReason::Full => max_retry_after(left),
    };
    Err(shared.not_run_refusal(slots::result_code(rejection.reason), retry_after))
}

/// Describes the request for the scheduler, with its time in the queue limited and the upstreams of
/// earlier attempts excluded.
fn attempt_job(shared: &Shared, admitted: &AdmittedRequest, attempts: &Attempts) -> Job {
    let time_limit = admitted.deadline.saturating_duration_since(admitted.arrived);
    let max_queue_time = if admitted.route.kind.is_stream() {
        admitted.stream_silence_limit().mul_f64(STREAM_QUEUE_SHARE)
    } else {
        MAX_PLAIN_QUEUE_TIME
    };
    let job = admitted.to_job();
    let preferred = admitted.stream.and_then(|_| shared.preferred_version(job.service));
    Job {
        version: job.version.or(preferred),
        queue_deadline: admitted.arrived + max_queue_time.min(time_limit.mul_f64(QUEUE_TIME_SHARE)),
        excluded: attempts.excluded.clone(),
        ..job
    }
}

async fn run_attempt(
    shared: &SharedRef,
    admitted: &Rc<AdmittedRequest>,
    slot: &mut SlotGuard,
    attempts: &Attempts,
) -> AttemptEnd {
    let started = match shared.send_request(admitted, slot, None).await {
        SendResult::Started(started) => *started,
        SendResult::Ended(result) => return AttemptEnd::Ended(result, None),
        SendResult::DeadlinePassed => {
            slot.release(AttemptOutcome::Abandoned);
            return AttemptEnd::DeadlinePassed;
        }
    };
    if admitted.route.kind.is_stream() && started.status.is_success() {
        if !started.is_event_stream() {
            shared.record_failure(admitted, slot, "a success that is no event stream");
            return AttemptEnd::Ended(AttemptResult::Unknown, None);
        }
        start_stream(shared, admitted, slot, started, attempts).await
    } else {
        read_response(shared, admitted, slot, started).await
    }
}

async fn read_response(
    shared: &SharedRef,
    admitted: &AdmittedRequest,
    slot: &mut SlotGuard,
    started: StartedResponse,
) -> AttemptEnd {
    slot.record_first_event();
    let StartedResponse { status, headers, metadata, body, connection } = started;
    let mut held = shared.byte_budget.begin_response(slot.upstream().id());
    match read_body(admitted, body, &mut held).await {
        Ok(body) => {
            let failed = status.is_server_error();
            shared.keep_connection(slot, connection, &metadata);
            slot.release(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Served });
            if is_framed(&headers) || failed {
                shared.record_response(admitted, status);
            } else {
                let causes = iter::once(Cause::Request(admitted.hash()));
                check_for_crash(shared, causes, slot.upstream(), AnswerEnd::Unframed);
            }
            if !failed {
                shared.record_served(admitted);
            }
            let result = AttemptResult::Answered { status: status.as_u16() };
            let body = HeldBody::new(body, held);
            AttemptEnd::Ended(result, Some(CallerResponse::Complete { status, headers, body }))
        }
        Err(error) => {
            shared.record_failure(admitted, slot, &error.to_string());
            if admitted.time_left(shared.clock.now()).is_zero() {
                AttemptEnd::DeadlinePassed
            } else {
                let causes = admitted.causes();
                check_for_crash(shared, causes, slot.upstream(), AnswerEnd::Broken);
                AttemptEnd::Ended(AttemptResult::Unknown, None)
            }
        }
    }
}

async fn start_stream(
    shared: &SharedRef,
    admitted: &Rc<AdmittedRequest>,
    slot: &mut SlotGuard,
    started: StartedResponse,
    attempts: &Attempts,
) -> AttemptEnd {
    let (status, headers) = (started.status, started.headers.clone());
    let slot = slot.transfer();
    match Relay::start(shared.clone(), admitted.clone(), slot, started, attempts).await {
        RelayStart::Events(relay) => {
            AttemptEnd::StreamStarted(CallerResponse::Stream { status, headers, relay })
        }
        RelayStart::Broken => AttemptEnd::Ended(AttemptResult::Unknown, None),
        RelayStart::DeadlinePassed => AttemptEnd::DeadlinePassed,
    }
}

impl Shared {
    /// Records how long a served request has taken.
    pub(super) fn record_served(&self, admitted: &AdmittedRequest) {
        let elapsed = self.clock.now().saturating_duration_since(admitted.arrived);
        self.served_times.borrow_mut().record(&admitted.route.name, elapsed);
    }

    /// Logs the result of an attempt and the next step.
    fn log_next_step(
        &self,
        admitted: &AdmittedRequest,
        attempts: &Attempts,
        slot: &SlotGuard,
        result: AttemptResult,
        next_step: NextStep,
    ) {
        let now = self.clock.now();
        let ms_since_arrival =
            |at: Instant| at.saturating_duration_since(admitted.arrived).as_millis();
        info!(
            "request.next id={} route={} instance={} broker={} ended={result:?} next={next_step:?} attempts={} assigned_ms={} ended_ms={}",
            admitted.metadata.attempt_id,
            admitted.route.name,
            slot.upstream().instance,
            slot.broker(),
            attempts.count,
            ms_since_arrival(slot.assigned_at()),
            ms_since_arrival(now),
        );
    }

    fn record_attempt(&self, admitted: &AdmittedRequest, attempts: &mut Attempts) {
        if attempts.count == 0 {
            self.retry_budget.borrow_mut().record_request(&admitted.service, self.clock.now());
        }
        attempts.count += 1;
    }

    /// Whether there is time for another attempt, and retry budget if the attempt uses it.
    pub(super) fn may_retry(
        &self,
        admitted: &AdmittedRequest,
        attempts: &Attempts,
        uses_budget: bool,
    ) -> bool {
        let now = self.clock.now();
        if attempts.count >= MAX_ATTEMPTS || admitted.time_left(now) < MIN_ATTEMPT_TIME {
            return false;
        }
        let gateway_count = self.peers.borrow().gateway_count();
        !uses_budget
            || self.retry_budget.borrow_mut().try_acquire_retry(
                &admitted.service,
                gateway_count,
                now,
            )
    }

    fn apply_fallback(
        &self,
        admitted: &AdmittedRequest,
        attempts: &Attempts,
        fallback: Fallback,
        response: Option<CallerResponse>,
    ) -> Result<CallerResponse, Refusal> {
        match (fallback, response) {
            (Fallback::Relay, Some(response)) => Ok(response),
            (Fallback::NotRun, _) if attempts.upstreams_used == 0 => {
                self.refund_customer(admitted);
                let left = admitted.time_left(self.clock.now());
                Err(self.not_run_refusal(
                    ResultCode::Overloaded,
                    clamp_retry_after(admitted.route.latency_objective, left),
                ))
            }
            _ => Err(unknown_outcome_refusal()),
        }
    }
}
