//! Task that handles one request, from its arrival until its response is complete.

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
use super::agent_rpc::{StreamRequest, WaitResult};
use super::claimed_dispatch::is_claim_rejected;
use super::claims::NonIdempotentCall;
use super::registrar::{self, RegistrationResult};
use super::response_sink::{InitialResponseSender, ResponseSink, WriteResult};
use super::target::Target;
use crate::filters::dispatch::{DispatchTracker, Event, NextStep};
use crate::filters::{FilterContext, ParsedRequest, RoutingView};

pub(super) use super::response_sink::InitialResponse;

/// Retry time given to the caller while this process has no configuration.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry time given to the caller if it cannot be determined whether a request is already placed.
const UNKNOWN_PLACEMENT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// State of the task that handles one request.
pub(super) struct RequestTask {
    pub(super) shared: Arc<Shared>,
    request: Request,
    /// Id of the request for the caller and in logs. `key` identifies it at the agent.
    pub(super) request_id: RequestId,
    /// Set for a non-idempotent call.
    pub(super) non_idempotent_call: Option<NonIdempotentCall>,
    pub(super) deadline: Instant,
    pub(super) key: RequestKey,
    pub(super) parsed_request: ParsedRequest,
    /// Set if the caller chose the request id, and so can repeat the request under the same id.
    is_repeatable: bool,
    pub(super) dispatch: DispatchTracker,
    arrived_at: Instant,
    excluded: Vec<UpstreamId>,
    /// The upstream of the current attempt.
    pub(super) current_upstream: UpstreamId,
    /// Placement of the request that is recorded in the placement index. The next registration
    /// supersedes it.
    recorded_placement: Option<PlacementRecord>,
    pub(super) response: ResponseSink,
}

/// Outcome of an attempt on one upstream, or of the whole request.
pub(super) enum AttemptOutcome {
    Complete,
    CallerGone,
    PlaceAgain,
    RegisterAgain,
    Refused(Refusal),
}

impl RequestTask {
    /// Handles one request from its arrival until it has ended.
    pub(super) async fn handle_request(
        shared: Arc<Shared>,
        request: Request,
        initial_sender: InitialResponseSender,
        chunk_sender: mpsc::Sender<bytes::Bytes>,
    ) {
        let arrived_at = shared.clock.now();
        let caller_id = request.headers.get("x-request-id").map(str::to_owned);
        let AdmittedRequest { key, parsed_request, upstream } =
            match run_filters(&shared, &request, arrived_at) {
                Ok(admitted) => admitted,
                Err(refusal) => {
                    let id = caller_id.unwrap_or_default();
                    shared.metrics.record_result(None, refusal.code.name(), 0.0);
                    info!("request={id} refused {refusal}");
                    let _ = initial_sender.send((id, InitialResponse::Refused(refusal)));
                    return;
                }
            };
        let non_idempotent_call = match &parsed_request.work {
            Work::Service(call) if parsed_request.non_idempotent => Some(NonIdempotentCall::new(
                shared.clone(),
                &key,
                call,
                arrived_at + parsed_request.time_limit,
            )),
            _ => None,
        };
        let response = ResponseSink::new(
            key.request_id.to_string(),
            parsed_request.streamed,
            initial_sender,
            chunk_sender,
        );
        let mut task = RequestTask {
            shared,
            request,
            request_id: key.request_id.clone(),
            non_idempotent_call,
            deadline: arrived_at + parsed_request.time_limit,
            is_repeatable: caller_id.is_some(),
            current_upstream: upstream.clone(),
            dispatch: DispatchTracker::new(key.clone(), DispatchEpoch(1)),
            key,
            parsed_request,
            arrived_at,
            excluded: Vec::new(),
            recorded_placement: None,
            response,
        };
        task.run(upstream).await;
    }

    /// Tries upstreams until an attempt ends the request.
    async fn run(&mut self, mut upstream: UpstreamId) {
        loop {
            self.current_upstream = upstream.clone();
            match self.try_upstream(&upstream).await {
                AttemptOutcome::PlaceAgain if self.dispatch.is_attached() => {}
                AttemptOutcome::PlaceAgain => self.excluded.push(self.current_upstream.clone()),
                AttemptOutcome::RegisterAgain => self.recorded_placement = None,
                outcome => return self.finish(outcome).await,
            }
            let epoch = DispatchEpoch(self.dispatch.epoch().0 + 1);
            self.dispatch.track_dispatch(epoch);
            match self.place_again() {
                Ok(next) => upstream = next,
                Err(refusal) => {
                    let outcome = self.end_without_upstream(refusal).await;
                    return self.finish(outcome).await;
                }
            }
        }
    }

    /// Makes one attempt to run the request on an upstream.
    async fn try_upstream(&mut self, upstream: &UpstreamId) -> AttemptOutcome {
        if self.non_idempotent_call.is_some() {
            return self.try_upstream_with_claim(upstream).await;
        }
        let target = match Target::connect(&self.shared, upstream).await {
            Ok(target) => target,
            Err(status) => {
                info!("request={} upstream={upstream} not reached: {status}", self.key.request_id);
                return self.on_not_sent();
            }
        };
        if !self.is_repeatable || !self.is_model() {
            return self.run_dispatch(target, StreamRequest::Dispatch { registration: None }).await;
        }
        let request = RegistrationRequest {
            key: self.key.clone(),
            upstream: target.upstream.clone(),
            process: target.process.clone(),
            superseded: self.recorded_placement.clone(),
        };
        match registrar::register(&self.shared, &request).await {
            RegistrationResult::Recorded { placement, registration, expires_at } => {
                self.dispatch.track_dispatch(placement.epoch);
                self.recorded_placement = Some(placement);
                if self.shared.clock.now() >= expires_at {
                    return self.on_not_sent();
                }
                self.run_dispatch(
                    target,
                    StreamRequest::Dispatch { registration: Some(registration) },
                )
                .await
            }
            RegistrationResult::AlreadyPlaced(placement) => {
                self.attach_to_placement(placement).await
            }
            RegistrationResult::Undetermined => {
                AttemptOutcome::Refused(unknown_placement_refusal())
            }
        }
    }

    /// Attaches to an earlier dispatch of the request, which this or another process made.
    async fn attach_to_placement(&mut self, placement: PlacementRecord) -> AttemptOutcome {
        info!("request={} attached at upstream={}", self.key.request_id, placement.upstream);
        self.dispatch.attach(placement.epoch);
        self.current_upstream = placement.upstream.clone();
        let target = Target::connect_to_placement(&self.shared, &placement).await;
        self.recorded_placement = Some(placement);
        match target {
            Ok(target) => self.run_dispatch(target, StreamRequest::Attach).await,
            Err(status) => {
                info!(
                    "request={} agent of earlier placement not reached: {status}",
                    self.key.request_id
                );
                AttemptOutcome::Refused(unknown_placement_refusal())
            }
        }
    }

    /// Returns the outcome of an attempt in which nothing was sent.
    pub(super) fn on_not_sent(&mut self) -> AttemptOutcome {
        match self.dispatch.on_event(Event::NotSent) {
            NextStep::Reject(refusal) => AttemptOutcome::Refused(refusal),
            _ => AttemptOutcome::PlaceAgain,
        }
    }

    /// Runs a dispatch, new or attached, until the request ends or has to be placed again.
    pub(super) async fn run_dispatch(
        &mut self,
        mut target: Target,
        stream_request: StreamRequest,
    ) -> AttemptOutcome {
        let _outstanding = target.count_outstanding(&self.shared);
        let mut stream = None;
        let mut next_event = Some(self.open_stream(&target, stream_request, &mut stream).await);
        loop {
            let event = match next_event.take() {
                Some(event) => event,
                None => match self.next_event(&mut stream, &mut target).await {
                    WaitResult::Event(event) => event,
                    WaitResult::CallerGone => return self.on_caller_gone(&target).await,
                },
            };
            if let Some(refusal) = self.claim_rejection(&event) {
                return AttemptOutcome::Refused(refusal);
            }
            match self.dispatch.on_event(event) {
                NextStep::Wait => {}
                NextStep::Head { status, content_type } => {
                    if let Some(call) = &mut self.non_idempotent_call {
                        call.on_head(status, &content_type);
                    }
                    self.response.start(status, content_type);
                }
                NextStep::Data(bytes) => {
                    if let Some(call) = &mut self.non_idempotent_call {
                        call.on_data(&bytes);
                    }
                    if self.response.write_chunk(bytes).await == WriteResult::CallerGone {
                        return self.on_caller_gone(&target).await;
                    }
                }
                NextStep::Complete => return AttemptOutcome::Complete,
                NextStep::PlaceAgain => return AttemptOutcome::PlaceAgain,
                NextStep::RegisterAgain => return AttemptOutcome::RegisterAgain,
                NextStep::QueryAgent { pause } => {
                    stream = None;
                    next_event = Some(self.query_agent(&mut target, pause).await);
                }
                NextStep::Attach { offset_bytes } => {
                    stream = self.attach(&target, offset_bytes).await;
                    next_event = stream.is_none().then_some(Event::ConnectionLost);
                }
                NextStep::Reject(refusal) => return AttemptOutcome::Refused(refusal),
            }
        }
    }

    /// Returns the refusal if the agent rejected the claim itself, and not the call.
    fn claim_rejection(&self, event: &Event) -> Option<Refusal> {
        match event {
            Event::Received(Envelope { event: ResponseEvent::Refused(refusal), .. })
                if self.non_idempotent_call.is_some() && is_claim_rejected(refusal) =>
            {
                Some(refusal.clone())
            }
            _ => None,
        }
    }

    /// Ends the task when the caller is gone. The request is cancelled unless the caller can repeat
    /// it, it is not idempotent, or other readers may be attached to it. A request that the caller
    /// can repeat goes on at the agent, which cancels it if nobody attaches.
    async fn on_caller_gone(&self, target: &Target) -> AttemptOutcome {
        if !self.dispatch.is_attached()
            && !self.is_repeatable
            && !self.parsed_request.non_idempotent
        {
            self.cancel(target).await;
        }
        AttemptOutcome::CallerGone
    }

    /// Places the request on another upstream.
    fn place_again(&self) -> Result<UpstreamId, Refusal> {
        if self.time_left().is_zero() {
            return Err(Refusal::not_run(ResultCode::DeadlinePassed));
        }
        let view = routing_view(&self.shared)?;
        let mut context = FilterContext {
            excluded: &self.excluded,
            parsed_request: Some(self.parsed_request.clone()),
            ..FilterContext::new(&self.request, &view, self.shared.clock.now())
        };
        let result = self.shared.chain.place_request(&mut context);
        self.shared.decisions.record(Some(&self.key), &context, self.shared.clock.wall_time());
        result.map_err(|(_, refusal)| refusal)?;
        context.upstream.ok_or_else(|| Refusal::not_run(ResultCode::Internal))
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.shared.clock.now())
    }

    pub(super) fn is_model(&self) -> bool {
        matches!(self.parsed_request.work, wire::Work::Model(_))
    }

    /// Records the outcome of the request and ends its response.
    async fn finish(&mut self, outcome: AttemptOutcome) {
        match (&mut self.non_idempotent_call, &outcome) {
            (Some(call), AttemptOutcome::Complete) => call.on_complete(),
            (Some(call), AttemptOutcome::Refused(refusal)) => call.on_refused(refusal.outcome),
            _ => {}
        }
        let elapsed = self.shared.clock.now().saturating_duration_since(self.arrived_at);
        let result = match &outcome {
            AttemptOutcome::Complete => "whole",
            AttemptOutcome::CallerGone => "caller_gone",
            AttemptOutcome::Refused(refusal) => refusal.code.name(),
            AttemptOutcome::PlaceAgain | AttemptOutcome::RegisterAgain => "placed_again",
        };
        self.shared.metrics.record_result(
            Some(self.parsed_request.tier),
            result,
            elapsed.as_secs_f64(),
        );
        info!(
            "request={} customer={} tier={} upstream={} result={result} ms={}",
            self.request_id,
            self.key.customer,
            self.parsed_request.tier,
            self.current_upstream,
            elapsed.as_millis()
        );
        match outcome {
            AttemptOutcome::Complete => self.response.complete(),
            AttemptOutcome::Refused(refusal) => self.response.refuse(refusal).await,
            AttemptOutcome::CallerGone
            | AttemptOutcome::PlaceAgain
            | AttemptOutcome::RegisterAgain => {}
        }
    }
}

/// Refusal of a request for which it cannot be determined whether it is already placed.
pub(super) fn unknown_placement_refusal() -> Refusal {
    Refusal::new(ResultCode::UpstreamLost, Outcome::Unknown)
        .with_message(
            "Cannot determine at the moment whether this request is already placed on an upstream.",
        )
        .with_retry_after(UNKNOWN_PLACEMENT_RETRY_AFTER)
}

/// A request that has passed the filters.
struct AdmittedRequest {
    key: RequestKey,
    parsed_request: ParsedRequest,
    upstream: UpstreamId,
}

/// Runs the filter chain on a new request.
fn run_filters(
    shared: &Shared,
    request: &Request,
    arrived_at: Instant,
) -> Result<AdmittedRequest, Refusal> {
    let view = routing_view(shared)?;
    let mut context = FilterContext::new(request, &view, arrived_at);
    let result = shared.chain.run(&mut context);
    shared.decisions.record(context.key.as_ref(), &context, shared.clock.wall_time());
    result.map_err(|(_, refusal)| refusal)?;
    match (context.key, context.parsed_request, context.upstream) {
        (Some(key), Some(parsed_request), Some(upstream)) => {
            Ok(AdmittedRequest { key, parsed_request, upstream })
        }
        _ => Err(Refusal::not_run(ResultCode::Internal)),
    }
}

fn routing_view(shared: &Shared) -> Result<RoutingView, Refusal> {
    shared.routing_view().ok_or_else(|| {
        Refusal::not_run(ResultCode::ConfigurationMissing)
            .with_retry_after(NO_CONFIGURATION_RETRY_AFTER)
    })
}
