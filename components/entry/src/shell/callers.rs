//! Callers' HTTP: takes a request through the filters and brings its answer back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use errors::{Outcome, Refusal, ResultCode};
use identity::{DispatchEpoch, RequestId, UpstreamId};
use log::{info, warn};
use tokio::runtime;
use tokio::sync::{mpsc, oneshot};
use tonic::Streaming;
use web::{Body, Handler, Headers, Request, Response};
use wire::{AnswerEvent, RequestKey, Work, v1};

use super::Shared;
use super::claims::{Acquired, OnceOnly};
use crate::filters::dispatch::{Dispatch, Event, Next};
use crate::filters::{Exchange, Job, View};

/// How long an agent may say nothing before contact counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// How long an agent may take to say what became of a request.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);

/// When to come back to a process that has no configuration yet.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// How often a non-idempotent call is claimed for one upstream.
const CLAIM_LIMIT: u32 = 4;

/// Pieces of an answer that wait for their caller.
const ANSWER_QUEUE: usize = 32;

pub(crate) struct Callers {
    shared: Arc<Shared>,
    runtime: runtime::Handle,
}

/// What the caller gets first.
enum Opening {
    Head { status: u16, content_type: String },
    Refused(Refusal),
}

impl Callers {
    pub(crate) fn new(shared: Arc<Shared>, runtime: runtime::Handle) -> Callers {
        Callers { shared, runtime }
    }
}

#[async_trait]
impl Handler for Callers {
    async fn handle(&self, request: Request) -> Response {
        let (opening_sender, opening) = oneshot::channel();
        let (pieces_sender, pieces) = mpsc::channel(ANSWER_QUEUE);
        let shared = self.shared.clone();
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        self.runtime.spawn(async move {
            Delivery::begin(shared.clone(), request, opening_sender, pieces_sender).await;
            shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        });
        match opening.await {
            Ok((id, Opening::Head { status, content_type })) => {
                let mut headers = Headers::default();
                headers.push("content-type", content_type);
                headers.push("x-request-id", id);
                Response { status, headers, body: Body::Stream(pieces) }
            }
            Ok((id, Opening::Refused(refusal))) => refuse(&refusal, &id),
            Err(_) => refuse(&Refusal::not_run(ResultCode::Internal), ""),
        }
    }
}

/// The response for a refusal.
pub(super) fn refuse(refusal: &Refusal, request_id: &str) -> Response {
    let mut response = Response::json(refusal.code.http_status(), &refusal.body());
    if !request_id.is_empty() {
        response = response.header("x-request-id", request_id);
    }
    match refusal.retry_after {
        Some(wait) => response.header("retry-after", &wait.as_secs_f64().ceil().to_string()),
        None => response,
    }
}

type OpeningSender = oneshot::Sender<(String, Opening)>;

/// One request between its arrival and the end of its answer.
struct Delivery {
    shared: Arc<Shared>,
    request: Request,
    arrived: Instant,
    key: RequestKey,
    job: Job,
    excluded: Vec<UpstreamId>,
    epoch: DispatchEpoch,
    opening: Option<OpeningSender>,
    pieces: mpsc::Sender<Bytes>,
    /// Set for a non-idempotent call.
    once: Option<OnceOnly>,
    /// The id that the caller knows the request by; `key` is its identity at the agent.
    request_id: RequestId,
}

impl Delivery {
    async fn begin(
        shared: Arc<Shared>,
        request: Request,
        opening: OpeningSender,
        pieces: mpsc::Sender<Bytes>,
    ) {
        let arrived = shared.clock.now();
        let id = request.headers.get("x-request-id").unwrap_or_default().to_owned();
        let placed = place(&shared, &request, arrived);
        let (key, job, upstream) = match placed {
            Ok(placed) => placed,
            Err(refusal) => {
                shared.metrics.count(None, refusal.code.name(), 0.0);
                info!("request={id} refused {refusal}");
                let _ = opening.send((id, Opening::Refused(refusal)));
                return;
            }
        };
        let once = match &job.work {
            Work::Service(call) if job.once_only => {
                Some(OnceOnly::new(shared.clone(), &key, call, arrived + job.deadline))
            }
            _ => None,
        };
        let mut delivery = Delivery {
            once,
            request_id: key.request_id.clone(),
            shared,
            request,
            arrived,
            key,
            job,
            excluded: Vec::new(),
            epoch: DispatchEpoch(1),
            opening: Some(opening),
            pieces,
        };
        delivery.run(upstream).await;
    }

    async fn run(&mut self, mut upstream: UpstreamId) {
        let mut dispatch = Dispatch::new();
        loop {
            self.shared.update_heard(&upstream, |heard| heard.own_outstanding += 1);
            let end = self.attempt(&mut dispatch, &upstream).await;
            self.shared.update_heard(&upstream, |heard| heard.own_outstanding -= 1);
            let End::PlaceAgain = end else { return self.finish(end, &upstream) };
            self.excluded.push(upstream);
            self.epoch = DispatchEpoch(self.epoch.0 + 1);
            match self.place_again() {
                Ok(next) => upstream = next,
                Err(refusal) => {
                    let last = self.excluded.last().cloned();
                    let name = last.unwrap_or_else(|| UpstreamId::new(""));
                    let end = self.give_up(&mut dispatch, refusal).await;
                    return self.finish(end, &name);
                }
            }
        }
    }

    /// Claims a non-idempotent call, then follows the request. Where the agent refused the claim
    /// itself, because another asked after it or the agent is a new process, it is claimed anew.
    async fn attempt(&mut self, dispatch: &mut Dispatch, upstream: &UpstreamId) -> End {
        if self.once.is_none() {
            return self.follow(dispatch, upstream, None).await;
        }
        for _ in 1..CLAIM_LIMIT {
            let end = self.attempt_claimed(dispatch, upstream).await;
            let withdrawn = matches!(&end, End::Refused(refusal) if is_withdrawn(refusal));
            if !withdrawn {
                return end;
            }
        }
        self.attempt_claimed(dispatch, upstream).await
    }

    async fn attempt_claimed(&mut self, dispatch: &mut Dispatch, upstream: &UpstreamId) -> End {
        let Some(once) = &mut self.once else { return End::PlaceAgain };
        let acquired = once.acquire(upstream).await;
        let end = self.go_on(dispatch, upstream, acquired).await;
        if let (End::PlaceAgain | End::Refused(_), Some(once)) = (&end, &self.once) {
            once.forget_process(upstream);
        }
        end
    }

    /// Ends a request that no upstream can take. The word of an agent that an earlier request does
    /// not run is followed by another look, since the claim may have been taken over.
    async fn give_up(&mut self, dispatch: &mut Dispatch, refusal: Refusal) -> End {
        let nowhere = UpstreamId::new("");
        for _ in 0..CLAIM_LIMIT {
            let Some(once) = &mut self.once else { return End::Refused(refusal) };
            let acquired = once.give_up(refusal.clone()).await;
            let end = self.go_on(dispatch, &nowhere, acquired).await;
            if !matches!(end, End::PlaceAgain) {
                return end;
            }
        }
        End::Refused(Refusal::new(refusal.code, Outcome::Unknown))
    }

    async fn go_on(
        &mut self,
        dispatch: &mut Dispatch,
        upstream: &UpstreamId,
        acquired: Acquired,
    ) -> End {
        if let Some(key) = self.once.as_ref().and_then(OnceOnly::request_key) {
            self.key = key;
        }
        match acquired {
            Acquired::Dispatch(claim) => self.follow(dispatch, upstream, Some(claim)).await,
            Acquired::Join(upstream) => {
                self.follow_from(dispatch, &upstream, None, Event::Known).await
            }
            Acquired::PlaceAgain => End::PlaceAgain,
            Acquired::Replay(answer) => {
                self.open(answer.status, answer.content_type);
                let _ = self.pieces.send(answer.body.into()).await;
                End::Whole
            }
            Acquired::Refused(refusal) => End::Refused(refusal),
        }
    }

    /// Follows the request on one upstream until it ends or is to be placed again.
    async fn follow(
        &mut self,
        dispatch: &mut Dispatch,
        upstream: &UpstreamId,
        claim: Option<v1::Claim>,
    ) -> End {
        let Some(mut agent) = self.client(upstream) else { return End::PlaceAgain };
        let message = v1::DispatchRequest { claim, ..self.message() };
        match timed(agent.dispatch(message)).await {
            Some(Ok(opened)) => {
                let progress = Event::Said(AnswerEvent::Progress { handed_over: false });
                self.follow_from(dispatch, upstream, Some(opened.into_inner()), progress).await
            }
            Some(Err(status)) if is_not_sent(&status) => {
                self.follow_from(dispatch, upstream, None, Event::NotSent).await
            }
            _ => self.follow_from(dispatch, upstream, None, Event::ContactLost).await,
        }
    }

    async fn follow_from(
        &mut self,
        dispatch: &mut Dispatch,
        upstream: &UpstreamId,
        mut stream: Option<Streaming<v1::DispatchEvent>>,
        first: Event,
    ) -> End {
        let mut event = Some(first);
        loop {
            let happened = match event.take() {
                Some(event) => event,
                None => self.next_event(&mut stream, upstream).await,
            };
            match dispatch.on_event(happened) {
                Next::Wait => {}
                Next::Head { status, content_type } => self.open(status, content_type),
                Next::Piece(bytes) => {
                    if let Some(once) = &mut self.once {
                        once.on_piece(&bytes);
                    }
                    if self.pieces.send(bytes).await.is_err() && self.once.is_none() {
                        self.cancel(upstream).await;
                        return End::CallerGone;
                    }
                }
                Next::Whole => return End::Whole,
                Next::PlaceAgain => return End::PlaceAgain,
                Next::Ask => event = Some(self.ask(upstream).await),
                Next::Join { offset_bytes } => {
                    stream = self.join(upstream, offset_bytes).await;
                    if stream.is_none() {
                        event = Some(Event::ContactLost);
                    }
                }
                Next::Answer(refusal) => return End::Refused(refusal),
            }
        }
    }

    async fn next_event(
        &mut self,
        stream: &mut Option<Streaming<v1::DispatchEvent>>,
        upstream: &UpstreamId,
    ) -> Event {
        let Some(open) = stream else { return Event::ContactLost };
        let now = self.shared.clock.now();
        let left = (self.arrived + self.job.deadline).saturating_duration_since(now);
        if left.is_zero() {
            self.cancel(upstream).await;
            return Event::DeadlinePassed;
        }
        let message = tokio::time::timeout(SILENCE_LIMIT.min(left), open.message()).await;
        let Ok(Ok(Some(message))) = message else {
            if left > SILENCE_LIMIT {
                *stream = None;
                return Event::ContactLost;
            }
            return Event::Said(AnswerEvent::Progress { handed_over: true });
        };
        if let Some(load) = message.load {
            self.shared.update_heard(upstream, |heard| {
                heard.load = load.into();
                heard.at = now;
            });
        }
        match message.event.map(AnswerEvent::try_from) {
            Some(Ok(event)) => Event::Said(event),
            _ => Event::ContactLost,
        }
    }

    /// Asks the agent, on a new connection, what became of the request.
    async fn ask(&self, upstream: &UpstreamId) -> Event {
        let Some(mut agent) = self.fresh_client(upstream) else { return Event::NotAsked };
        let request = v1::SettleRequest {
            key: Some((&self.key).into()),
            dispatch_epoch: self.epoch.0,
            claim: self.once.as_ref().and_then(OnceOnly::claim),
        };
        let answer = tokio::time::timeout(ASK_TIMEOUT, agent.settle(request)).await;
        let Ok(Ok(reply)) = answer else {
            tokio::time::sleep(ASK_TIMEOUT / 4).await;
            return Event::NotAsked;
        };
        let reply = reply.into_inner();
        if self.once.as_ref().is_some_and(|once| !once.is_named(&reply.process)) {
            return Event::NotAsked;
        }
        match reply.state() {
            v1::RequestState::Withdrawn | v1::RequestState::NotRun => Event::NeverRun,
            v1::RequestState::Queued | v1::RequestState::Running | v1::RequestState::Finished => {
                Event::Known
            }
            v1::RequestState::Ran | v1::RequestState::Unknown | v1::RequestState::Unspecified => {
                Event::NotAsked
            }
        }
    }

    async fn join(
        &self,
        upstream: &UpstreamId,
        offset_bytes: u64,
    ) -> Option<Streaming<v1::DispatchEvent>> {
        let mut agent = self.client(upstream)?;
        let request = v1::AttachRequest { key: Some((&self.key).into()), offset_bytes };
        timed(agent.attach(request)).await?.ok().map(tonic::Response::into_inner)
    }

    async fn cancel(&self, upstream: &UpstreamId) {
        if self.job.once_only {
            return;
        }
        let Some(mut agent) = self.client(upstream) else { return };
        let request = v1::CancelRequest { key: Some((&self.key).into()) };
        if let Some(Err(status)) = timed(agent.cancel(request)).await {
            warn!("request={} cancel failed: {status}", self.key.request_id);
        }
    }

    fn place_again(&self) -> Result<UpstreamId, Refusal> {
        let view = read_view(&self.shared)?;
        let mut exchange = Exchange {
            excluded: &self.excluded,
            job: Some(self.job.clone()),
            ..Exchange::new(&self.request, &view, self.shared.clock.now())
        };
        let placed = self.shared.chain.place_again(&mut exchange);
        self.shared.decisions.record(Some(&self.key), &exchange, self.shared.clock.wall());
        placed.map_err(|(_, refusal)| refusal)?;
        exchange.upstream.ok_or_else(|| Refusal::not_run(ResultCode::Internal))
    }

    fn client(
        &self,
        upstream: &UpstreamId,
    ) -> Option<v1::agent_client::AgentClient<tonic::transport::Channel>> {
        let snapshot = self.shared.in_force.load()?;
        let address = snapshot.document.upstreams.get(upstream)?.agent;
        self.shared.agents.client(address).ok()
    }

    fn fresh_client(
        &self,
        upstream: &UpstreamId,
    ) -> Option<v1::agent_client::AgentClient<tonic::transport::Channel>> {
        let snapshot = self.shared.in_force.load()?;
        self.shared.agents.replace(snapshot.document.upstreams.get(upstream)?.agent);
        self.client(upstream)
    }

    fn message(&self) -> v1::DispatchRequest {
        let now = self.shared.clock.now();
        let dispatch = wire::Dispatch {
            key: self.key.clone(),
            epoch: self.epoch,
            tier: self.job.tier,
            time_left: (self.arrived + self.job.deadline).saturating_duration_since(now),
            config_version: self.shared.in_force.version(),
            work: self.job.work.clone(),
        };
        (&dispatch).into()
    }

    fn open(&mut self, status: u16, content_type: String) {
        if let Some(once) = &mut self.once {
            once.on_head(status, &content_type);
        }
        if let Some(opening) = self.opening.take() {
            let id = self.request_id.to_string();
            let _ = opening.send((id, Opening::Head { status, content_type }));
        }
    }

    fn finish(&mut self, end: End, upstream: &UpstreamId) {
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
            End::PlaceAgain => "placed_again",
        };
        self.shared.metrics.count(Some(self.job.tier), result, took.as_secs_f64());
        info!(
            "request={} customer={} tier={} upstream={upstream} result={result} ms={}",
            self.request_id,
            self.key.customer,
            self.job.tier,
            took.as_millis()
        );
        if let (End::Refused(refusal), Some(opening)) = (end, self.opening.take()) {
            let _ = opening.send((self.request_id.to_string(), Opening::Refused(refusal)));
        }
    }
}

/// How a request ended on one upstream.
enum End {
    Whole,
    CallerGone,
    PlaceAgain,
    Refused(Refusal),
}

type Placed = (RequestKey, Job, UpstreamId);

fn place(shared: &Shared, request: &Request, arrived: Instant) -> Result<Placed, Refusal> {
    let view = read_view(shared)?;
    let mut exchange = Exchange::new(request, &view, arrived);
    let passed = shared.chain.run(&mut exchange);
    shared.decisions.record(exchange.key.as_ref(), &exchange, shared.clock.wall());
    passed.map_err(|(_, refusal)| refusal)?;
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

async fn timed<T>(call: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(SILENCE_LIMIT, call).await.ok()
}

fn is_withdrawn(refusal: &Refusal) -> bool {
    refusal.code == ResultCode::Withdrawn && refusal.outcome == Outcome::NotRun
}

/// Whether a failed call was certainly never sent.
fn is_not_sent(status: &tonic::Status) -> bool {
    let source = std::error::Error::source(status);
    source.is_some_and(|error| format!("{error:?}").contains("ConnectError"))
}
