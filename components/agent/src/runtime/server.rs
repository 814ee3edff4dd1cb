//! gRPC server of the agent, which the other processes of the system connect to.

use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Refusal, ResultCode};
use identity::DispatchEpoch;
use log::warn;
use registry::RegistrationStatus;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};
use wire::v1::agent_server::{Agent as AgentRpc, AgentServer};
use wire::v1::index_server::IndexServer;
use wire::{Claim, Dispatch, Envelope, LoadDigest, Order, RequestKey, ResponseEvent, v1};

use super::{Shared, index, lock, orders};
use crate::controllers::call_ledger::{CallAdmission, CallStatus};
use crate::core::{Action, Admission, Cursor, ReadStep, RequestStatus};

/// Minimum time between an event that carries the load and the next data event of the stream that
/// carries it too. Events other than data always carry it.
const LOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Capacity, in events, of the queue of one response stream.
const STREAM_QUEUE_CAPACITY: usize = 32;

/// Time without an event on a stream after which the agent sends a `Progress` event, so that the
/// entry process does not take the connection for lost.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of keep-alive pings on a connection without traffic.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time that the peer has to answer a ping before the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

type EventStream = ReceiverStream<Result<v1::DispatchEvent, Status>>;

struct AgentService {
    shared: Arc<Shared>,
}

pub(super) async fn serve(
    shared: Arc<Shared>,
    incoming: TcpIncoming,
    mut stopped: watch::Receiver<bool>,
) {
    let peer_service = shared.peers.service();
    let index_service = IndexServer::new(index::IndexService { shared: shared.clone() });
    let agent_service = AgentServer::new(AgentService { shared });
    let result = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .add_service(agent_service)
        .add_service(index_service)
        .add_service(peer_service)
        .serve_with_incoming_shutdown(incoming, async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        })
        .await;
    if let Err(error) = result {
        warn!("agent server failed: {error}");
    }
}

#[tonic::async_trait]
impl AgentRpc for AgentService {
    type DispatchStream = EventStream;
    type AttachStream = EventStream;

    async fn dispatch(
        &self,
        request: Request<v1::DispatchRequest>,
    ) -> Result<Response<EventStream>, Status> {
        let mut request = request.into_inner();
        let claim = request.claim.take().map(Claim::from);
        let dispatch: Dispatch = request.try_into().map_err(invalid_argument)?;
        self.shared.peers.observe_version(dispatch.config_version, None);
        let (key, epoch) = (dispatch.key.clone(), dispatch.epoch);
        match claim.map(|claim| self.shared.call_ledger().admit(&key, &claim)) {
            Some(CallAdmission::Rejected(refusal)) => {
                return Ok(Response::new(self.stream_refusal(&key, epoch, refusal)));
            }
            Some(CallAdmission::Duplicate) => {
                return Ok(Response::new(self.stream_response(key, 0)?));
            }
            Some(CallAdmission::New) => {}
            None if dispatch
                .process
                .as_ref()
                .is_some_and(|process| *process != self.shared.process) =>
            {
                let refusal = Refusal::not_run(ResultCode::NoUpstream);
                return Ok(Response::new(self.stream_refusal(&key, epoch, refusal)));
            }
            None => {}
        }
        let (admission, actions) = self.admit(dispatch);
        self.shared.perform_actions(actions);
        let stream = match admission {
            Admission::Accepted => self.stream_response(key, 0)?,
            Admission::Refused(refusal) => self.stream_refusal(&key, epoch, refusal),
        };
        Ok(Response::new(stream))
    }

    async fn attach(
        &self,
        request: Request<v1::AttachRequest>,
    ) -> Result<Response<EventStream>, Status> {
        let request = request.into_inner();
        let key = required_key(request.key)?;
        let held = self.shared.core().epoch_of(&key);
        if held != Some(DispatchEpoch(request.dispatch_epoch)) {
            return Err(Status::not_found("the agent does not hold this dispatch"));
        }
        Ok(Response::new(self.stream_response(key, request.offset_bytes)?))
    }

    async fn settle(
        &self,
        request: Request<v1::SettleRequest>,
    ) -> Result<Response<v1::SettleReply>, Status> {
        let request = request.into_inner();
        let key = required_key(request.key)?;
        let epoch = DispatchEpoch(request.dispatch_epoch);
        let state = match request.claim.map(Claim::from) {
            Some(claim) => {
                let status =
                    self.shared.core().status_or_withdraw(&key, epoch, self.shared.clock.now());
                call_state_to_wire(
                    self.shared.call_ledger().status_or_withdraw(&key, &claim, status),
                )
            }
            None if self.is_other_process(&request.process) => v1::RequestState::OtherProcess,
            None => request_state_to_wire(self.shared.core().status_or_withdraw(
                &key,
                epoch,
                self.shared.clock.now(),
            )),
        };
        Ok(Response::new(v1::SettleReply {
            state: state.into(),
            process: self.shared.process.as_str().to_owned(),
        }))
    }

    async fn cancel(
        &self,
        request: Request<v1::CancelRequest>,
    ) -> Result<Response<v1::CancelReply>, Status> {
        let request = request.into_inner();
        let key = required_key(request.key)?;
        if self.is_other_process(&request.process) {
            let state = v1::RequestState::OtherProcess.into();
            return Ok(Response::new(v1::CancelReply { state }));
        }
        let epoch = DispatchEpoch(request.dispatch_epoch);
        let (status, actions) = self.shared.core().cancel(&key, epoch, self.shared.clock.now());
        self.shared.perform_actions(actions);
        Ok(Response::new(v1::CancelReply { state: request_state_to_wire(status).into() }))
    }

    async fn report(
        &self,
        _request: Request<v1::ReportRequest>,
    ) -> Result<Response<v1::ReportReply>, Status> {
        Ok(Response::new(v1::ReportReply {
            upstream: self.shared.settings.upstream.as_str().to_owned(),
            process: self.shared.process.as_str().to_owned(),
            configuration_version: self.shared.active_configuration.version().0,
            load: Some(self.shared.core().load().into()),
        }))
    }

    async fn order(
        &self,
        request: Request<v1::OrderRequest>,
    ) -> Result<Response<v1::OrderReply>, Status> {
        let order: Order = request.into_inner().try_into().map_err(invalid_argument)?;
        let result = orders::forward_order(self.shared.clone(), order).await;
        let refused = result.err().map(|refusal| (&refusal).into());
        Ok(Response::new(v1::OrderReply { refused }))
    }
}

impl AgentService {
    /// Admits a dispatch, unless the index that its placement is registered in has been replaced.
    fn admit(&self, dispatch: Dispatch) -> (Admission, Vec<Action>) {
        let registry = lock(&self.shared.registry);
        if let Some(by) = &dispatch.registration
            && registry.fence.check_registration(&dispatch.key, by) == RegistrationStatus::Stale
        {
            let refusal = Refusal::not_run(ResultCode::StaleFencingToken);
            return (Admission::Refused(refusal), Vec::new());
        }
        self.shared.core().dispatch(dispatch, self.shared.clock.now())
    }

    fn is_other_process(&self, process: &str) -> bool {
        !process.is_empty() && process != self.shared.process.as_str()
    }

    /// Returns a stream of the response to a request that the agent holds.
    fn stream_response(&self, key: RequestKey, offset_bytes: u64) -> Result<EventStream, Status> {
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE_CAPACITY);
        let reader = ResponseReader::attach(self.shared.clone(), key)
            .ok_or_else(|| Status::not_found("the agent does not hold this request"))?;
        tokio::spawn(send_response(reader, Cursor::at(offset_bytes), sender));
        Ok(ReceiverStream::new(receiver))
    }

    /// Returns a stream that contains only a refusal.
    fn stream_refusal(
        &self,
        key: &RequestKey,
        epoch: DispatchEpoch,
        refusal: Refusal,
    ) -> EventStream {
        let (sender, receiver) = mpsc::channel(1);
        let event = ResponseEvent::Refused(refusal);
        let load = Some(self.shared.core().load());
        let _ = sender.try_send(Ok(Envelope { key: key.clone(), epoch, load, event }.into()));
        ReceiverStream::new(receiver)
    }
}

fn request_state_to_wire(status: RequestStatus) -> v1::RequestState {
    match status {
        RequestStatus::Withdrawn => v1::RequestState::Withdrawn,
        RequestStatus::Queued => v1::RequestState::Queued,
        RequestStatus::Running => v1::RequestState::Running,
        RequestStatus::Finished => v1::RequestState::Finished,
        RequestStatus::NotRun => v1::RequestState::NotRun,
    }
}

/// Guard for one reader of a response, which is registered with the core until it is dropped.
struct ResponseReader {
    shared: Arc<Shared>,
    key: RequestKey,
    epoch: DispatchEpoch,
}

impl ResponseReader {
    fn attach(shared: Arc<Shared>, key: RequestKey) -> Option<ResponseReader> {
        let epoch = {
            let mut core = shared.core();
            core.add_reader(&key);
            core.epoch_of(&key)?
        };
        Some(ResponseReader { shared, key, epoch })
    }
}

impl Drop for ResponseReader {
    fn drop(&mut self) {
        self.shared.core().remove_reader(&self.key, self.shared.clock.now());
    }
}

/// Sends a response to one reader, until its end or until the reader closes the stream.
async fn send_response(
    reader: ResponseReader,
    mut cursor: Cursor,
    sender: mpsc::Sender<Result<v1::DispatchEvent, Status>>,
) {
    let ResponseReader { shared, key, epoch } = &reader;
    let mut transcript_changes = shared.subscribe_to_transcript(key);
    let mut load_sent_at = None;
    loop {
        let step = shared.core().read(key, *epoch, &mut cursor);
        let event = match step {
            ReadStep::Event(event) => event,
            ReadStep::End => return,
            ReadStep::Wait => {
                let changed = tokio::time::timeout(PROGRESS_INTERVAL, transcript_changes.changed());
                tokio::select! {
                    changed = changed => match changed {
                        Ok(_) => continue,
                        Err(_) => ResponseEvent::Progress {
                            sent_to_upstream: shared.core().is_running(key),
                        },
                    },
                    () = sender.closed() => return,
                }
            }
        };
        let load = load_for_event(shared, &event, &mut load_sent_at);
        let envelope = Envelope { key: key.clone(), epoch: *epoch, load, event };
        if sender.send(Ok(envelope.into())).await.is_err() {
            return;
        }
    }
}

/// Returns the load that an event carries, if any. Data events carry it only every `LOAD_INTERVAL`,
/// since at thousands of them a second it would exceed the bytes that an entry process may spend on
/// control data.
fn load_for_event(
    shared: &Shared,
    event: &ResponseEvent,
    sent_at: &mut Option<Instant>,
) -> Option<LoadDigest> {
    let now = shared.clock.now();
    let is_data = matches!(event, ResponseEvent::Data { .. });
    let is_recent = sent_at.is_some_and(|at| now.saturating_duration_since(at) < LOAD_INTERVAL);
    if is_data && is_recent {
        return None;
    }
    *sent_at = Some(now);
    Some(shared.core().load())
}

fn call_state_to_wire(status: CallStatus) -> v1::RequestState {
    match status {
        CallStatus::Known(status) => request_state_to_wire(status),
        CallStatus::Ran => v1::RequestState::Ran,
        CallStatus::Unknown => v1::RequestState::Unknown,
    }
}

pub(super) fn required_key(key: Option<v1::RequestKey>) -> Result<RequestKey, Status> {
    key.map(RequestKey::from).ok_or_else(|| Status::invalid_argument("request key is missing"))
}

pub(super) fn invalid_argument(error: wire::WireError) -> Status {
    Status::invalid_argument(error.to_string())
}
