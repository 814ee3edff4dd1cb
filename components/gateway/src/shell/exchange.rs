//! Serves one request: finds places for it, hands it over, and decides what follows.

use std::rc::Rc;
use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use log::info;

use super::admission::{Call, honoured, longest_honoured};
use super::answer::Delivery;
use super::hand_over::{Began, SharedRef, Started, read_body};
use super::places;
use super::relay::{Relay, RelayStart};
use super::seat::Seat;
use super::state::Shared;
use crate::model::UpstreamId;
use crate::outcome::{Chances, Fallback, HandOver, Next, decide};
use crate::scheduler::{Ending, Job, RefusedBecause};

/// Most hand-overs of one request that did not arrive or were declined: a second place found free
/// at once is likely to be good, a fourth is not.
const MOST_HAND_OVERS: u32 = 4;

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
pub(super) struct Tried {
    pub(super) excluded: Vec<UpstreamId>,
    pub(super) hand_overs: u32,
    /// Upstreams that may have run it.
    pub(super) used: u32,
}

enum Step {
    Deliver(Delivery),
    Ended(HandOver, Option<Delivery>),
    OutOfTime,
}

/// Serves a request that was let in.
pub(super) async fn serve(shared: &SharedRef, call: Call) -> Result<Delivery, Refusal> {
    let call = Rc::new(call);
    let mut tried = Tried::default();
    loop {
        let mut seat = match find_place(shared, &call, &tried).await {
            Ok(seat) => seat,
            Err(refusal) => {
                if tried.used == 0 {
                    shared.give_back(&call);
                    return Err(refusal);
                }
                return Err(may_have_run());
            }
        };
        shared.count_hand_over(&call, &mut tried);
        let step = hand_over(shared, &call, &mut seat, &tried).await;
        let (ended, spare) = match step {
            Step::Deliver(delivery) => return Ok(delivery),
            Step::OutOfTime => {
                return Err(Refusal::new(ResultCode::DeadlinePassed, Outcome::Unknown));
            }
            Step::Ended(ended, spare) => (ended, spare),
        };
        if !matches!(ended, HandOver::NotSent | HandOver::Declined) {
            tried.used += 1;
        }
        let upstream = seat.upstream().id();
        let next = decide(ended, chances(&call, &tried));
        shared.log_next(&call, &tried, &seat, ended, next);
        let fallback = match next {
            Next::Relay => Fallback::Relay,
            Next::End(fallback) => fallback,
            Next::Again { counts, if_refused } => {
                tried.excluded.push(upstream);
                if shared.may_go_again(&call, &tried, counts) {
                    continue;
                }
                if_refused
            }
        };
        return shared.fall_back(&call, &tried, fallback, spare);
    }
}

fn chances(call: &Call, tried: &Tried) -> Chances {
    Chances {
        kind: call.route.kind,
        upstreams_used: tried.used,
        max_upstreams: call.route.max_upstreams,
    }
}

fn may_have_run() -> Refusal {
    Refusal::new(ResultCode::UpstreamFailed, Outcome::Unknown)
}

async fn find_place(shared: &SharedRef, call: &Call, tried: &Tried) -> Result<Seat, Refusal> {
    let refused = match places::find(shared, job(call, tried)).await {
        Ok(seat) => return Ok(seat),
        Err(refused) => refused,
    };
    let now = shared.clock.now();
    let left = call.time_left(now);
    info!(
        "place.refused id={} route={} tier={} route_tier={} reason={:?} expected_wait_ms={} waited_ms={}",
        call.facts.attempt_id,
        call.route.name,
        call.rank.tier,
        call.rank.route_tier,
        refused.reason,
        refused.retry_after.as_millis(),
        now.saturating_duration_since(call.arrived).as_millis(),
    );
    let wait = match refused.reason {
        RefusedBecause::NoUpstream => honoured(refused.retry_after, left),
        RefusedBecause::Full => longest_honoured(left),
    };
    Err(shared.not_run(places::code_of(refused.reason), wait))
}

fn job(call: &Call, tried: &Tried) -> Job {
    let patience = call.limit_at.saturating_duration_since(call.arrived);
    let longest = if call.route.kind.is_stream() {
        call.longest_pause().mul_f64(STREAM_WAIT_SHARE)
    } else {
        LONGEST_PLAIN_WAIT
    };
    Job {
        wait_until: call.arrived + longest.min(patience.mul_f64(WAIT_SHARE)),
        excluded: tried.excluded.clone(),
        ..call.job()
    }
}

async fn hand_over(shared: &SharedRef, call: &Rc<Call>, seat: &mut Seat, tried: &Tried) -> Step {
    let started = match shared.send(call, seat, None).await {
        Began::Started(started) => *started,
        Began::Ended(ended) => return Step::Ended(ended, None),
        Began::OutOfTime => {
            seat.end(Ending::Abandoned);
            return Step::OutOfTime;
        }
    };
    if call.route.kind.is_stream() && started.status.is_success() {
        begin_stream(shared, call, seat, started, tried).await
    } else {
        read_answer(shared, call, seat, started).await
    }
}

async fn read_answer(shared: &SharedRef, call: &Call, seat: &mut Seat, started: Started) -> Step {
    seat.first_event();
    let Started { status, headers, facts, body, connection } = started;
    match read_body(call, body).await {
        Ok(body) => {
            let failed = status.is_server_error();
            shared.keep(seat, connection, &facts);
            seat.end(if failed { Ending::Failed } else { Ending::Served });
            let answered = HandOver::Answered { status: status.as_u16() };
            Step::Ended(answered, Some(Delivery::Whole { status, headers, body }))
        }
        Err(error) => {
            shared.note_failure(call, seat, &error.to_string());
            if call.time_left(shared.clock.now()).is_zero() {
                Step::OutOfTime
            } else {
                Step::Ended(HandOver::Unknown, None)
            }
        }
    }
}

async fn begin_stream(
    shared: &SharedRef,
    call: &Rc<Call>,
    seat: &mut Seat,
    started: Started,
    tried: &Tried,
) -> Step {
    let (status, headers) = (started.status, started.headers.clone());
    let seat = seat.take();
    match Relay::begin(shared.clone(), call.clone(), seat, started, tried).await {
        RelayStart::Events(relay) => Step::Deliver(Delivery::Stream { status, headers, relay }),
        RelayStart::Broken => Step::Ended(HandOver::Unknown, None),
        RelayStart::OutOfTime => Step::OutOfTime,
    }
}

impl Shared {
    /// Logs how a hand-over ended and what follows.
    fn log_next(&self, call: &Call, tried: &Tried, seat: &Seat, ended: HandOver, next: Next) {
        let now = self.clock.now();
        let since = |at: Instant| at.saturating_duration_since(call.arrived).as_millis();
        info!(
            "request.next id={} route={} instance={} ended={ended:?} next={next:?} hand_overs={} placed_ms={} ended_ms={}",
            call.facts.attempt_id,
            call.route.name,
            seat.upstream().instance,
            tried.hand_overs,
            since(seat.at()),
            since(now),
        );
    }

    fn count_hand_over(&self, call: &Call, tried: &mut Tried) {
        if tried.hand_overs == 0 {
            self.budget.borrow_mut().count_request(&call.service, self.clock.now());
        }
        tried.hand_overs += 1;
    }

    /// Whether there is time and budget for another hand-over.
    pub(super) fn may_go_again(&self, call: &Call, tried: &Tried, counts: bool) -> bool {
        let now = self.clock.now();
        if tried.hand_overs >= MOST_HAND_OVERS || call.time_left(now) < LEAST_TIME {
            return false;
        }
        let entries = self.peers.borrow().entries();
        !counts || self.budget.borrow_mut().take_repeat(&call.service, entries, now)
    }

    fn fall_back(
        &self,
        call: &Call,
        tried: &Tried,
        fallback: Fallback,
        spare: Option<Delivery>,
    ) -> Result<Delivery, Refusal> {
        match (fallback, spare) {
            (Fallback::Relay, Some(delivery)) => Ok(delivery),
            (Fallback::NotRun, _) if tried.used == 0 => {
                self.give_back(call);
                let left = call.time_left(self.clock.now());
                Err(self
                    .not_run(ResultCode::Overloaded, honoured(call.route.latency_objective, left)))
            }
            _ => Err(may_have_run()),
        }
    }
}
