//! One request between its arrival and the end of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use identity::{DispatchEpoch, RequestId, UpstreamId};
use log::info;
use registry::{PlacementRecord, RegistrationRequest};
use tokio::sync::mpsc;
use web::Request;
use wire::{Envelope, RequestKey, ResponseEvent, Work};

use super::Shared;
use super::answer::{AnswerSink, Given, OpeningSender};
use super::booking::is_withdrawn;
use super::claims::OnceOnly;
use super::contact::{Heard, Start};
use super::registrar::{self, Located};
use super::target::Target;
use crate::filters::dispatch::{DispatchTracker, Event, NextStep};
use crate::filters::{Exchange, Job, RoutingView};

pub(super) use super::answer::Opening;

/// When to come back to a process that has no configuration yet.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// When to come back where the placement of a request cannot be learnt.
const UNCLEAR_WAIT: Duration = Duration::from_secs(2);

pub(super) struct Delivery {
    pub(super) shared: Arc<Shared>,
    request: Request,
    /// The id that the caller knows the request by; `key` is its identity at the agent.
    pub(super) request_id: RequestId,
    /// Set for a non-idempotent call.
    pub(super) once: Option<OnceOnly>,
    pub(super) deadline: Instant,
    pub(super) key: RequestKey,
    pub(super) job: Job,
    /// The caller gave the id, and can ask again with it.
    may_ask_again: bool,
    pub(super) dispatch: DispatchTracker,
    arrived: Instant,
    excluded: Vec<UpstreamId>,
    /// The upstream that is being tried.
    pub(super) at: UpstreamId,
    /// Where the request is recorded as placed.
    superseded: Option<PlacementRecord>,
    pub(super) answer: AnswerSink,
}

/// How a request ended, on one upstream or for good.
pub(super) enum End {
    Whole,
    CallerGone,
    PlaceAgain,
    RegisterAgain,
    Refused(Refusal),
}

impl Delivery {
    pub(super) async fn begin(
        shared: Arc<Shared>,
        request: Request,
        opening: OpeningSender,
        pieces: mpsc::Sender<bytes::Bytes>,
    ) {
        let arrived = shared.clock.now();
        let given_id = request.headers.get("x-request-id").map(str::to_owned);
        let Admitted { key, job, upstream } = match admit(&shared, &request, arrived) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                let id = given_id.unwrap_or_default();
                shared.metrics.count(None, refusal.code.name(), 0.0);
                info!("request={id} refused {refusal}");
                let _ = opening.send((id, Opening::Refused(refusal)));
                return;
            }
        };
        let once = match &job.work {
            Work::Service(call) if job.non_idempotent => {
                Some(OnceOnly::new(shared.clone(), &key, call, arrived + job.deadline))
            }
            _ => None,
        };
        let answer = AnswerSink::new(key.request_id.to_string(), job.streamed, opening, pieces);
        let mut delivery = Delivery {
            shared,
            request,
            request_id: key.request_id.clone(),
            once,
            deadline: arrived + job.deadline,
            may_ask_again: given_id.is_some(),
            at: upstream.clone(),
            dispatch: DispatchTracker::new(key.clone(), DispatchEpoch(1)),
            key,
            job,
            arrived,
            excluded: Vec::new(),
            superseded: None,
            answer,
        };
        delivery.run(upstream).await;
    }

    async fn run(&mut self, mut upstream: UpstreamId) {
        loop {
            self.at = upstream.clone();
            match self.try_upstream(&upstream).await {
                End::PlaceAgain if self.dispatch.is_attached() => {}
                End::PlaceAgain => self.excluded.push(self.at.clone()),
                End::RegisterAgain => self.superseded = None,
                end => return self.finish(end).await,
            }
            let epoch = DispatchEpoch(self.dispatch.epoch().0 + 1);
            self.dispatch.track_dispatch(epoch);
            match self.place_again() {
                Ok(next) => upstream = next,
                Err(refusal) => {
                    let end = self.give_up(refusal).await;
                    return self.finish(end).await;
                }
            }
        }
    }

    /// Gets the request to an upstream and follows it there.
    async fn try_upstream(&mut self, upstream: &UpstreamId) -> End {
        if self.once.is_some() {
            return self.try_claimed(upstream).await;
        }
        let target = match Target::connect(&self.shared, upstream).await {
            Ok(target) => target,
            Err(status) => {
                info!("request={} upstream={upstream} not reached: {status}", self.key.request_id);
                return self.not_sent();
            }
        };
        if !self.may_ask_again || !self.is_model() {
            return self.follow(target, Start::HandOver { registration: None }).await;
        }
        let request = RegistrationRequest {
            key: self.key.clone(),
            upstream: target.upstream.clone(),
            process: target.process.clone(),
            superseded: self.superseded.clone(),
        };
        match registrar::register(&self.shared, &request).await {
            Located::Recorded { placement, registration, until } => {
                self.dispatch.track_dispatch(placement.epoch);
                self.superseded = Some(placement);
                if self.shared.clock.now() >= until {
                    return self.not_sent();
                }
                self.follow(target, Start::HandOver { registration: Some(registration) }).await
            }
            Located::Held(placement) => self.join_placed(placement).await,
            Located::Unclear => End::Refused(unclear()),
        }
    }

    /// Follows a request that was placed before, by this process or by another.
    async fn join_placed(&mut self, placement: PlacementRecord) -> End {
        info!("request={} joined at upstream={}", self.key.request_id, placement.upstream);
        self.dispatch.attach(placement.epoch);
        self.at = placement.upstream.clone();
        let target = Target::join(&self.shared, &placement).await;
        self.superseded = Some(placement);
        match target {
            Ok(target) => self.follow(target, Start::Join).await,
            Err(status) => {
                info!("request={} cannot be joined: {status}", self.key.request_id);
                End::Refused(unclear())
            }
        }
    }

    pub(super) fn not_sent(&mut self) -> End {
        match self.dispatch.on_event(Event::NotSent) {
            NextStep::Reject(refusal) => End::Refused(refusal),
            _ => End::PlaceAgain,
        }
    }

    /// Follows the request on one upstream until it ends or is to be placed again.
    pub(super) async fn follow(&mut self, mut target: Target, start: Start) -> End {
        let _outstanding = target.count_outstanding(&self.shared);
        let mut stream = None;
        let mut event = Some(self.open(&target, start, &mut stream).await);
        loop {
            let happened = match event.take() {
                Some(event) => event,
                None => match self.next_event(&mut stream, &mut target).await {
                    Heard::Event(event) => event,
                    Heard::CallerGone => return self.leave(&target).await,
                },
            };
            if let Some(refusal) = self.refused_claim(&happened) {
                return End::Refused(refusal);
            }
            match self.dispatch.on_event(happened) {
                NextStep::Wait => {}
                NextStep::Head { status, content_type } => {
                    if let Some(once) = &mut self.once {
                        once.on_head(status, &content_type);
                    }
                    self.answer.open(status, content_type);
                }
                NextStep::Data(bytes) => {
                    if let Some(once) = &mut self.once {
                        once.on_piece(&bytes);
                    }
                    if self.answer.push(bytes).await == Given::CallerGone {
                        return self.leave(&target).await;
                    }
                }
                NextStep::Complete => return End::Whole,
                NextStep::PlaceAgain => return End::PlaceAgain,
                NextStep::RegisterAgain => return End::RegisterAgain,
                NextStep::QueryAgent { pause } => {
                    stream = None;
                    event = Some(self.ask(&mut target, pause).await);
                }
                NextStep::Attach { offset_bytes } => {
                    stream = self.join(&target, offset_bytes).await;
                    event = stream.is_none().then_some(Event::ConnectionLost);
                }
                NextStep::Reject(refusal) => return End::Refused(refusal),
            }
        }
    }

    /// The refusal where the agent refused the claim, not the call.
    fn refused_claim(&self, happened: &Event) -> Option<Refusal> {
        match happened {
            Event::Received(Envelope { event: ResponseEvent::Refused(refusal), .. })
                if self.once.is_some() && is_withdrawn(refusal) =>
            {
                Some(refusal.clone())
            }
            _ => None,
        }
    }

    /// The caller went away. One who can ask again finds the request where it is; the agent ends
    /// it where nobody comes.
    async fn leave(&self, target: &Target) -> End {
        if !self.dispatch.is_attached() && !self.may_ask_again && !self.job.non_idempotent {
            self.cancel(target).await;
        }
        End::CallerGone
    }

    fn place_again(&self) -> Result<UpstreamId, Refusal> {
        if self.time_left().is_zero() {
            return Err(Refusal::not_run(ResultCode::DeadlinePassed));
        }
        let view = read_view(&self.shared)?;
        let mut exchange = Exchange {
            excluded: &self.excluded,
            job: Some(self.job.clone()),
            ..Exchange::new(&self.request, &view, self.shared.clock.now())
        };
        let chain_result = self.shared.chain.place_again(&mut exchange);
        self.shared.decisions.record(Some(&self.key), &exchange, self.shared.clock.wall_time());
        chain_result.map_err(|(_, refusal)| refusal)?;
        exchange.upstream.ok_or_else(|| Refusal::not_run(ResultCode::Internal))
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.shared.clock.now())
    }

    pub(super) fn is_model(&self) -> bool {
        matches!(self.job.work, wire::Work::Model(_))
    }

    async fn finish(&mut self, end: End) {
        match (&mut self.once, &end) {
            (Some(once), End::Whole) => once.on_whole(),
            (Some(once), End::Refused(refusal)) => once.on_refused(refusal.outcome),
            _ => {}
        }
        let took = self.shared.clock.now().saturating_duration_since(self.arrived);
        let result = match &end {
            End::Whole => "whole",
            End::CallerGone => "caller_gone",
            End::Refused(refusal) => refusal.code.name(),
            End::PlaceAgain | End::RegisterAgain => "placed_again",
        };
        self.shared.metrics.count(Some(self.job.tier), result, took.as_secs_f64());
        info!(
            "request={} customer={} tier={} upstream={} result={result} ms={}",
            self.request_id,
            self.key.customer,
            self.job.tier,
            self.at,
            took.as_millis()
        );
        match end {
            End::Whole => self.answer.finish(),
            End::Refused(refusal) => self.answer.refuse(refusal).await,
            End::CallerGone | End::PlaceAgain | End::RegisterAgain => {}
        }
    }
}

/// Nobody can say at the moment whether the request was placed before.
pub(super) fn unclear() -> Refusal {
    Refusal::new(ResultCode::UpstreamLost, Outcome::Unknown)
        .with_message("It cannot be learnt at the moment whether this request was placed before.")
        .with_retry_after(UNCLEAR_WAIT)
}

/// A request that has passed the filters.
struct Admitted {
    key: RequestKey,
    job: Job,
    upstream: UpstreamId,
}

fn admit(shared: &Shared, request: &Request, arrived: Instant) -> Result<Admitted, Refusal> {
    let view = read_view(shared)?;
    let mut exchange = Exchange::new(request, &view, arrived);
    let run = shared.chain.run(&mut exchange);
    shared.decisions.record(exchange.key.as_ref(), &exchange, shared.clock.wall_time());
    run.map_err(|(_, refusal)| refusal)?;
    match (exchange.key, exchange.job, exchange.upstream) {
        (Some(key), Some(job), Some(upstream)) => Ok(Admitted { key, job, upstream }),
        _ => Err(Refusal::not_run(ResultCode::Internal)),
    }
}

fn read_view(shared: &Shared) -> Result<RoutingView, Refusal> {
    shared.view().ok_or_else(|| {
        Refusal::not_run(ResultCode::ConfigurationMissing).with_retry_after(CONFIGURATION_WAIT)
    })
}
