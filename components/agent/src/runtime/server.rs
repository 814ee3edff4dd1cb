//! The agent's side of the protocol between the system's processes.

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

/// How long after the load was told on a stream a piece of the answer carries it again.
const LOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Events on their way to one entry process.
const STREAM_QUEUE: usize = 32;

/// How long a stream may be silent before the agent says that it is alive.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// How often a connection without traffic is tried.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// How long the other end may take to answer that before the connection is dropped.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

type EventStream = ReceiverStream<Result<v1::DispatchEvent, Status>>;

struct Rpc {
    shared: Arc<Shared>,
}

pub(super) async fn serve(
    shared: Arc<Shared>,
    incoming: TcpIncoming,
    mut stopped: watch::Receiver<bool>,
) {
    let peer_service = shared.peers.service();
    let index = IndexServer::new(index::Rpc { shared: shared.clone() });
    let service = AgentServer::new(Rpc { shared });
    let served = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .add_service(service)
        .add_service(index)
        .add_service(peer_service)
        .serve_with_incoming_shutdown(incoming, async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        })
        .await;
    if let Err(error) = served {
        warn!("agent server ended: {error}");
    }
}

#[tonic::async_trait]
impl AgentRpc for Rpc {
    type DispatchStream = EventStream;
    type AttachStream = EventStream;

    async fn dispatch(
        &self,
        request: Request<v1::DispatchRequest>,
    ) -> Result<Response<EventStream>, Status> {
        let mut request = request.into_inner();
        let claim = request.claim.take().map(Claim::from);
        let dispatch: Dispatch = request.try_into().map_err(invalid)?;
        self.shared.peers.observe_version(dispatch.config_version, None);
        let (key, epoch) = (dispatch.key.clone(), dispatch.epoch);
        match claim.map(|claim| self.shared.call_ledger().admit(&key, &claim)) {
            Some(CallAdmission::Rejected(refusal)) => {
                return Ok(Response::new(self.refuse(&key, epoch, refusal)));
            }
            Some(CallAdmission::Duplicate) => return Ok(Response::new(self.read_held(key, 0)?)),
            Some(CallAdmission::New) => {}
            None if dispatch
                .process
                .as_ref()
                .is_some_and(|meant| *meant != self.shared.process) =>
            {
                let refusal = Refusal::not_run(ResultCode::NoUpstream);
                return Ok(Response::new(self.refuse(&key, epoch, refusal)));
            }
            None => {}
        }
        let (admission, actions) = self.admit(dispatch);
        self.shared.perform(actions);
        let stream = match admission {
            Admission::Accepted => self.read_held(key, 0)?,
            Admission::Refused(refusal) => self.refuse(&key, epoch, refusal),
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
            return Err(Status::not_found("this dispatch is not held"));
        }
        Ok(Response::new(self.read_held(key, request.offset_bytes)?))
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
                state_of_once(self.shared.call_ledger().status_or_withdraw(&key, &claim, status))
            }
            None if self.is_other_process(&request.process) => v1::RequestState::OtherProcess,
            None => state_of(self.shared.core().status_or_withdraw(
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
        self.shared.perform(actions);
        Ok(Response::new(v1::CancelReply { state: state_of(status).into() }))
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
        let order: Order = request.into_inner().try_into().map_err(invalid)?;
        let result = orders::pass_on(self.shared.clone(), order).await;
        let refused = result.err().map(|refusal| (&refusal).into());
        Ok(Response::new(v1::OrderReply { refused }))
    }
}

impl Rpc {
    /// Admits a request unless the index that allowed it has been replaced.
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

    fn is_other_process(&self, meant: &str) -> bool {
        !meant.is_empty() && meant != self.shared.process.as_str()
    }

    /// Reads out the dispatch of a request that is held.
    fn read_held(&self, key: RequestKey, offset_bytes: u64) -> Result<EventStream, Status> {
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
        let reader = Reader::join(self.shared.clone(), key)
            .ok_or_else(|| Status::not_found("this request is not held"))?;
        tokio::spawn(read_out(reader, Cursor::at(offset_bytes), sender));
        Ok(ReceiverStream::new(receiver))
    }

    fn refuse(&self, key: &RequestKey, epoch: DispatchEpoch, refusal: Refusal) -> EventStream {
        let (sender, receiver) = mpsc::channel(1);
        let event = ResponseEvent::Refused(refusal);
        let load = Some(self.shared.core().load());
        let _ = sender.try_send(Ok(Envelope { key: key.clone(), epoch, load, event }.into()));
        ReceiverStream::new(receiver)
    }
}

fn state_of(status: RequestStatus) -> v1::RequestState {
    match status {
        RequestStatus::Withdrawn => v1::RequestState::Withdrawn,
        RequestStatus::Queued => v1::RequestState::Queued,
        RequestStatus::Running => v1::RequestState::Running,
        RequestStatus::Finished => v1::RequestState::Finished,
        RequestStatus::NotRun => v1::RequestState::NotRun,
    }
}

/// One reader of a dispatch; the core knows of it until it is dropped.
struct Reader {
    shared: Arc<Shared>,
    key: RequestKey,
    epoch: DispatchEpoch,
}

impl Reader {
    fn join(shared: Arc<Shared>, key: RequestKey) -> Option<Reader> {
        let epoch = {
            let mut core = shared.core();
            core.add_reader(&key);
            core.epoch_of(&key)?
        };
        Some(Reader { shared, key, epoch })
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.shared.core().remove_reader(&self.key, self.shared.clock.now());
    }
}

/// Sends one reader what it is due until the end or until it goes away.
async fn read_out(
    reader: Reader,
    mut cursor: Cursor,
    sender: mpsc::Sender<Result<v1::DispatchEvent, Status>>,
) {
    let Reader { shared, key, epoch } = &reader;
    let mut grown = shared.subscribe(key);
    let mut load_told_at = None;
    loop {
        let step = shared.core().read(key, *epoch, &mut cursor);
        let event = match step {
            ReadStep::Event(event) => event,
            ReadStep::End => return,
            ReadStep::Wait => {
                let changed = tokio::time::timeout(PROGRESS_INTERVAL, grown.changed());
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
        let load = load_due(shared, &event, &mut load_told_at);
        let envelope = Envelope { key: key.clone(), epoch: *epoch, load, event };
        if sender.send(Ok(envelope.into())).await.is_err() {
            return;
        }
    }
}

/// The load, where it goes with an event: with pieces of an answer only now and then, since at
/// thousands of pieces a second it would cost an entry process more than its bytes for control.
fn load_due(
    shared: &Shared,
    event: &ResponseEvent,
    told_at: &mut Option<Instant>,
) -> Option<LoadDigest> {
    let now = shared.clock.now();
    let is_piece = matches!(event, ResponseEvent::Data { .. });
    let is_recent = told_at.is_some_and(|at| now.saturating_duration_since(at) < LOAD_INTERVAL);
    if is_piece && is_recent {
        return None;
    }
    *told_at = Some(now);
    Some(shared.core().load())
}

fn state_of_once(settled: CallStatus) -> v1::RequestState {
    match settled {
        CallStatus::Known(status) => state_of(status),
        CallStatus::Ran => v1::RequestState::Ran,
        CallStatus::Unknown => v1::RequestState::Unknown,
    }
}

pub(super) fn required_key(key: Option<v1::RequestKey>) -> Result<RequestKey, Status> {
    key.map(RequestKey::from).ok_or_else(|| Status::invalid_argument("key is missing"))
}

pub(super) fn invalid(error: wire::WireError) -> Status {
    Status::invalid_argument(error.to_string())
}
