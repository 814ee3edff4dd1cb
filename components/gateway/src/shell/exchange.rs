//! Serves one request: finds places for it, hands it over, and decides what follows.

use std::rc::Rc;
use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use log::info;

use super::admission::{Call, honoured, longest_honoured};
use super::answer::Delivery;
use super::hand_over::{Began, SharedRef, Started, read_body};
use super::relay::{Relay, RelayStart};
use super::seat::Seat;
use super::state::{PlaceReceiver, Shared, Waiting};
use crate::model::InstanceId;
use crate::outcome::{Chances, Fallback, HandOver, Next, decide};
use crate::scheduler::{Ending, Job, RefusedBecause, WaiterId};

/// Most hand-overs of one request that did not arrive or were declined: a second place found free
/// at once is likely to be good, a fourth is not.
const MOST_HAND_OVERS: u32 = 4;

/// Longest that a request waits for a place. Callers of streams give up after two seconds without an
/// event; those of plain services after a second or so.
const LONGEST_STREAM_WAIT: Duration = Duration::from_millis(1_800);
const LONGEST_PLAIN_WAIT: Duration = Duration::from_millis(800);

/// Part of a request's time that it may spend waiting; the rest is for its run.
const WAIT_SHARE: f64 = 0.6;

/// Least time left for which a hand-over is worth its while.
const LEAST_TIME: Duration = Duration::from_millis(10);

/// What was done for a request so far.
#[derive(Debug, Default)]
pub(super) struct Tried {
    pub(super) excluded: Vec<InstanceId>,
    pub(super) hand_overs: u32,
    /// Upstreams that may have run it.
    pub(super) used: u32,
}

/// Takes a request out of the queue when its caller leaves, and frees a place that was given to it and
/// not yet taken.
struct QueueSpot {
    shared: SharedRef,
    waiter: WaiterId,
    receiver: PlaceReceiver,
}

impl Drop for QueueSpot {
    fn drop(&mut self) {
        self.shared.withdraw_waiter(self.waiter);
        if let Ok(Ok(unclaimed)) = self.receiver.try_recv() {
            Seat::new(self.shared.clone(), unclaimed).end(Ending::Abandoned);
        }
    }
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
        let instance = seat.assignment().instance.clone();
        let next = decide(ended, chances(&call, &tried));
        shared.log_next(&call, &tried, &seat, ended, next);
        let fallback = match next {
            Next::Relay => Fallback::Relay,
            Next::End(fallback) => fallback,
            Next::Again { counts, if_refused } => {
                tried.excluded.push(instance);
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
    let waited = match shared.offer(job(call, tried)) {
        Ok(assignment) => return Ok(Seat::new(shared.clone(), assignment)),
        Err(Waiting::Refused(refused)) => Err(refused),
        Err(Waiting::For(waiter, receiver)) => {
            let mut spot = QueueSpot { shared: shared.clone(), waiter, receiver };
            let received = (&mut spot.receiver).await;
            received.map_err(|_| Refusal::not_run(ResultCode::Internal))?
        }
    };
    let now = shared.clock.now();
    match waited {
        Ok(assignment) => Ok(Seat::new(shared.clone(), assignment)),
        Err(refused) => {
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
            Err(match refused.reason {
                RefusedBecause::NoUpstream => {
                    shared.not_run(ResultCode::NoUpstream, honoured(refused.retry_after, left))
                }
                RefusedBecause::Full => {
                    shared.not_run(ResultCode::Overloaded, longest_honoured(left))
                }
            })
        }
    }
}

fn job(call: &Call, tried: &Tried) -> Job {
    let objective = call.route.latency_objective;
    let patience = call.limit_at.saturating_duration_since(call.arrived);
    let longest =
        if call.route.kind.is_stream() { LONGEST_STREAM_WAIT } else { LONGEST_PLAIN_WAIT };
    Job {
        service: call.service.clone(),
        rank: call.rank,
        prompt_tokens: call.facts.prompt_tokens.unwrap_or(0),
        output_tokens: call.facts.expected_output_tokens(),
        tokens_per_event: call.tokens_per_event,
        session_part: call.facts.prompt_parts.last().map(|part| part.id),
        arrived: call.arrived,
        objective_at: call.arrived + objective,
        pause_objective: call.route.pause_objective,
        wait_until: call.arrived + longest.min(patience.mul_f64(WAIT_SHARE)),
        limit_at: call.limit_at,
        excluded: tried.excluded.clone(),
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
        let place = seat.assignment();
        info!(
            "request.next id={} route={} instance={} ended={ended:?} next={next:?} hand_overs={} placed_ms={} ended_ms={}",
            call.facts.attempt_id,
            call.route.name,
            place.instance,
            tried.hand_overs,
            since(place.at),
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
