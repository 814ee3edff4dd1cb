//! One request between its arrival and the end of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Refusal, ResultCode};
use identity::{DispatchEpoch, UpstreamId};
use log::{info, warn};
use tokio::sync::mpsc;
use tonic::Streaming;
use web::Request;
use wire::{Envelope, Registration, RequestKey, v1};

use super::Shared;
use super::agents::is_not_sent;
use super::answer::{AnswerSink, Given, OpeningSender};
use super::target::Target;
use crate::filters::dispatch::{Dispatch, Event, Next, Settled};
use crate::filters::{Exchange, Job, View};

pub(super) use super::answer::Opening;

/// How long an agent may say nothing before contact counts as lost; it speaks every 500 ms.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// How long an agent may take to say what became of a request.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);

/// When to come back to a process that has no configuration yet.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

type Events = Streaming<v1::DispatchEvent>;

pub(super) struct Delivery {
    pub(super) shared: Arc<Shared>,
    pub(super) request: Request,
    pub(super) deadline: Instant,
    pub(super) key: RequestKey,
    pub(super) job: Job,
    /// The caller gave the id, and can ask again with it.
    pub(super) may_ask_again: bool,
    pub(super) dispatch: Dispatch,
    arrived: Instant,
    excluded: Vec<UpstreamId>,
    answer: AnswerSink,
}

/// How a request ended, on one upstream or for good.
pub(super) enum End {
    Whole,
    CallerGone,
    PlaceAgain,
    Refused(Refusal),
}

/// What was heard while a request was followed.
enum Heard {
    Event(Event),
    CallerGone,
}

/// What became of an attempt to get the request to an upstream.
enum Opened {
    Stream(Box<Events>),
    Failed(Event),
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
        let (key, job, upstream) = match place(&shared, &request, arrived) {
            Ok(placed) => placed,
            Err(refusal) => {
                let id = given_id.unwrap_or_default();
                shared.metrics.count(None, refusal.code.name(), 0.0);
                info!("request={id} refused {refusal}");
                let _ = opening.send((id, Opening::Refused(refusal)));
                return;
            }
        };
        let answer = AnswerSink::new(key.request_id.to_string(), job.streamed, opening, pieces);
        let mut delivery = Delivery {
            shared,
            request,
            deadline: arrived + job.deadline,
            may_ask_again: given_id.is_some(),
            dispatch: Dispatch::new(key.clone(), DispatchEpoch(1)),
            key,
            job,
            arrived,
            excluded: Vec::new(),
            answer,
        };
        delivery.run(upstream).await;
    }

    async fn run(&mut self, mut upstream: UpstreamId) {
        loop {
            let end = self.try_upstream(&upstream).await;
            let End::PlaceAgain = end else { return self.finish(end, &upstream).await };
            self.excluded.push(upstream.clone());
            let epoch = DispatchEpoch(self.dispatch.epoch().0 + 1);
            self.dispatch.follow(epoch);
            match self.place_again() {
                Ok(next) => upstream = next,
                Err(refusal) => return self.finish(End::Refused(refusal), &upstream).await,
            }
        }
    }

    /// Gets the request to an upstream and follows it there.
    async fn try_upstream(&mut self, upstream: &UpstreamId) -> End {
        let target = match Target::connect(&self.shared, upstream).await {
            Ok(target) => target,
            Err(status) => {
                info!("request={} upstream={upstream} not reached: {status}", self.key.request_id);
                return self.not_sent();
            }
        };
        self.follow(target, None).await
    }

    pub(super) fn not_sent(&mut self) -> End {
        match self.dispatch.on_event(Event::NotSent) {
            Next::Answer(refusal) => End::Refused(refusal),
            _ => End::PlaceAgain,
        }
    }

    /// Follows the request on one upstream until it ends or is to be placed again.
    pub(super) async fn follow(
        &mut self,
        mut target: Target,
        registration: Option<Registration>,
    ) -> End {
        let _outstanding = target.count_outstanding(&self.shared);
        let mut stream = None;
        let mut event = Some(self.open(&target, registration, &mut stream).await);
        loop {
            let happened = match event.take() {
                Some(event) => event,
                None => match self.next_event(&mut stream, &mut target).await {
                    Heard::Event(event) => event,
                    Heard::CallerGone => return self.leave(&target).await,
                },
            };
            match self.dispatch.on_event(happened) {
                Next::Wait => {}
                Next::Head { status, content_type } => self.answer.open(status, content_type),
                Next::Piece(bytes) => {
                    if self.answer.push(bytes).await == Given::CallerGone {
                        return self.leave(&target).await;
                    }
                }
                Next::Whole => return End::Whole,
                Next::PlaceAgain => return End::PlaceAgain,
                Next::Ask { pause } => {
                    stream = None;
                    event = Some(self.ask(&mut target, pause).await);
                }
                Next::Join { offset_bytes } => {
                    stream = self.join(&target, offset_bytes).await;
                    event = stream.is_none().then_some(Event::ContactLost);
                }
                Next::Answer(refusal) => return End::Refused(refusal),
            }
        }
    }

    async fn open(
        &mut self,
        target: &Target,
        registration: Option<Registration>,
        stream: &mut Option<Events>,
    ) -> Event {
        match self.hand_over(target, registration).await {
            Opened::Stream(opened) => {
                *stream = Some(*opened);
                Event::Sent
            }
            Opened::Failed(event) => {
                if event != Event::NotSent {
                    self.dispatch.on_event(Event::Sent);
                }
                event
            }
        }
    }

    async fn hand_over(&self, target: &Target, registration: Option<Registration>) -> Opened {
        let message = self.message(target, registration);
        let mut client = target.connection.client.clone();
        match tokio::time::timeout(SILENCE_LIMIT, client.dispatch(message)).await {
            Ok(Ok(opened)) => Opened::Stream(Box::new(opened.into_inner())),
            Ok(Err(status)) if is_not_sent(&status) => {
                self.shared.agents.replace(target.address, &target.connection);
                Opened::Failed(Event::NotSent)
            }
            _ => Opened::Failed(Event::ContactLost),
        }
    }

    async fn next_event(&self, stream: &mut Option<Events>, target: &mut Target) -> Heard {
        let Some(open) = stream else { return Heard::Event(Event::ContactLost) };
        let left = self.time_left();
        if left.is_zero() {
            return Heard::Event(Event::DeadlinePassed(self.cancel(target).await));
        }
        let message = tokio::select! {
            message = tokio::time::timeout(SILENCE_LIMIT.min(left), open.message()) => message,
            () = target.connection.wait_until_replaced() => {
                return Heard::Event(Event::ContactLost);
            }
            () = self.answer.wait_until_gone() => return Heard::CallerGone,
        };
        Heard::Event(match message {
            Ok(Ok(Some(message))) => match Envelope::try_from(message) {
                Ok(envelope) => {
                    target.hear(&self.shared, envelope.load);
                    Event::Said(envelope)
                }
                Err(error) => {
                    warn!("request={} {error}", self.key.request_id);
                    Event::ContactLost
                }
            },
            Err(_) if left <= SILENCE_LIMIT => Event::DeadlinePassed(self.cancel(target).await),
            _ => Event::ContactLost,
        })
    }

    /// Asks the agent, on a new connection, what became of the request.
    async fn ask(&self, target: &mut Target, pause: Duration) -> Event {
        tokio::time::sleep(pause.min(self.time_left())).await;
        if self.time_left().is_zero() {
            return Event::DeadlinePassed(self.cancel(target).await);
        }
        match target.reconnect(&self.shared).await {
            Ok(()) => {}
            Err(status) => {
                info!("request={} not asked: {status}", self.key.request_id);
                return Event::NotAsked;
            }
        }
        let request = v1::SettleRequest {
            key: Some((&self.key).into()),
            dispatch_epoch: self.dispatch.epoch().0,
            process: target.process.to_string(),
        };
        let mut client = target.connection.client.clone();
        match tokio::time::timeout(ASK_TIMEOUT, client.settle(request)).await {
            Ok(Ok(reply)) => {
                settled(reply.into_inner().state()).map_or(Event::NotAsked, Event::Asked)
            }
            _ => Event::NotAsked,
        }
    }

    async fn join(&self, target: &Target, offset_bytes: u64) -> Option<Events> {
        let request = v1::AttachRequest {
            key: Some((&self.key).into()),
            offset_bytes,
            dispatch_epoch: self.dispatch.epoch().0,
        };
        let mut client = target.connection.client.clone();
        let joined = tokio::time::timeout(SILENCE_LIMIT, client.attach(request)).await;
        joined.ok()?.ok().map(tonic::Response::into_inner)
    }

    /// Ends the request at the agent, which says how far it had come.
    async fn cancel(&self, target: &Target) -> Option<Settled> {
        let request = v1::CancelRequest {
            key: Some((&self.key).into()),
            dispatch_epoch: self.dispatch.epoch().0,
            process: target.process.to_string(),
        };
        let connection = self.shared.agents.connect(target.address).await.ok()?;
        let mut client = connection.client.clone();
        let reply = tokio::time::timeout(ASK_TIMEOUT, client.cancel(request)).await.ok()?.ok()?;
        match reply.into_inner().state() {
            // What waited is taken out by the cancellation.
            v1::RequestState::Queued => Some(Settled::NeverRun),
            // A call of a plain service goes on.
            v1::RequestState::Running if !self.is_model() => Some(Settled::Held),
            state => settled(state),
        }
    }

    /// The caller went away. One who can ask again finds the request where it is; the agent ends
    /// it where nobody comes.
    async fn leave(&self, target: &Target) -> End {
        if !self.may_ask_again && !self.job.once_only {
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
        self.shared.chain.place_again(&mut exchange).map_err(|(_, refusal)| refusal)?;
        exchange.upstream.ok_or_else(|| Refusal::not_run(ResultCode::Internal))
    }

    fn message(&self, target: &Target, registration: Option<Registration>) -> v1::DispatchRequest {
        let dispatch = wire::Dispatch {
            key: self.key.clone(),
            epoch: self.dispatch.epoch(),
            tier: self.job.tier,
            time_left: self.time_left(),
            config_version: self.shared.in_force.version(),
            work: self.job.work.clone(),
            process: Some(target.process.clone()),
            registration,
        };
        (&dispatch).into()
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.shared.clock.now())
    }

    pub(super) fn is_model(&self) -> bool {
        matches!(self.job.work, wire::Work::Model(_))
    }

    async fn finish(&mut self, end: End, upstream: &UpstreamId) {
        let took = self.shared.clock.now().saturating_duration_since(self.arrived);
        let result = match &end {
            End::Whole => "whole",
            End::CallerGone => "caller_gone",
            End::Refused(refusal) => refusal.code.name(),
            End::PlaceAgain => "placed_again",
        };
        self.shared.metrics.count(Some(self.job.tier), result, took.as_secs_f64());
        info!(
            "request={} customer={} tier={} upstream={upstream} result={result} ms={}",
            self.key.request_id,
            self.key.customer,
            self.job.tier,
            took.as_millis()
        );
        match end {
            End::Whole => self.answer.finish(),
            End::Refused(refusal) => self.answer.refuse(refusal).await,
            End::CallerGone | End::PlaceAgain => {}
        }
    }
}

fn settled(state: v1::RequestState) -> Option<Settled> {
    match state {
        v1::RequestState::Withdrawn | v1::RequestState::NotRun => Some(Settled::NeverRun),
        v1::RequestState::Queued => Some(Settled::Held),
        v1::RequestState::Running => Some(Settled::Running),
        v1::RequestState::Finished => Some(Settled::Finished),
        v1::RequestState::OtherProcess => Some(Settled::ProcessGone),
        v1::RequestState::Unspecified => None,
    }
}

type Placed = (RequestKey, Job, UpstreamId);

fn place(shared: &Shared, request: &Request, arrived: Instant) -> Result<Placed, Refusal> {
    let view = read_view(shared)?;
    let mut exchange = Exchange::new(request, &view, arrived);
    shared.chain.run(&mut exchange).map_err(|(_, refusal)| refusal)?;
    match (exchange.key, exchange.job, exchange.upstream) {
        (Some(key), Some(job), Some(upstream)) => Ok((key, job, upstream)),
        _ => Err(Refusal::not_run(ResultCode::Internal)),
    }
}

fn read_view(shared: &Shared) -> Result<View, Refusal> {
    shared.view().ok_or_else(|| {
        Refusal::not_run(ResultCode::ConfigurationMissing).with_retry_after(CONFIGURATION_WAIT)
    })
}
