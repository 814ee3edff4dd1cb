//! The agent's side of the protocol between the system's processes.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};
use wire::v1::agent_server::{Agent as AgentRpc, AgentServer};
use wire::{AnswerEvent, Claim, Dispatch, Order, RequestKey, v1};

use super::{Shared, orders};
use crate::controllers::once::{Admit, Settled};
use crate::core::{Admission, Cursor, ReadStep, Settlement};

/// Events on their way to one entry process.
const STREAM_QUEUE: usize = 32;

/// How long a stream may be silent before the agent says that it is alive.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

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
    let service = AgentServer::new(Rpc { shared });
    let served = tonic::transport::Server::builder()
        .add_service(service)
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
        self.shared.peers.hear(dispatch.config_version, None);
        let key = dispatch.key.clone();
        let admit = claim.map(|claim| self.shared.once().admit(&key, &claim));
        match admit {
            Some(Admit::Refuse(refusal)) => {
                return Ok(Response::new(self.say(&key, &AnswerEvent::Refused(refusal)).await));
            }
            Some(Admit::Seen) => return Ok(Response::new(self.read_from(key, 0))),
            Some(Admit::Pass) | None => {}
        }
        let (admission, actions) = self.shared.core().dispatch(dispatch, self.shared.clock.now());
        self.shared.perform(actions);
        let stream = match admission {
            Admission::Held => self.read_from(key, 0),
            Admission::Refused(refusal) => self.say(&key, &AnswerEvent::Refused(refusal)).await,
        };
        Ok(Response::new(stream))
    }

    async fn attach(
        &self,
        request: Request<v1::AttachRequest>,
    ) -> Result<Response<EventStream>, Status> {
        let request = request.into_inner();
        let key = required_key(request.key)?;
        Ok(Response::new(self.read_from(key, request.offset_bytes)))
    }

    async fn settle(
        &self,
        request: Request<v1::SettleRequest>,
    ) -> Result<Response<v1::SettleReply>, Status> {
        let request = request.into_inner();
        let key = required_key(request.key)?;
        let settlement = self.shared.core().settle(&key, self.shared.clock.now());
        let settled = match request.claim.map(Claim::from) {
            Some(claim) => self.shared.once().settle(&key, &claim, settlement),
            None => Settled::Known(settlement),
        };
        Ok(Response::new(v1::SettleReply {
            state: state_of(settled).into(),
            process: self.shared.process.as_str().to_owned(),
        }))
    }

    async fn cancel(
        &self,
        request: Request<v1::CancelRequest>,
    ) -> Result<Response<v1::CancelReply>, Status> {
        let key = required_key(request.into_inner().key)?;
        let actions = self.shared.core().cancel(&key, self.shared.clock.now());
        self.shared.perform(actions);
        Ok(Response::new(v1::CancelReply {}))
    }

    async fn report(
        &self,
        _request: Request<v1::ReportRequest>,
    ) -> Result<Response<v1::ReportReply>, Status> {
        Ok(Response::new(v1::ReportReply {
            upstream: self.shared.settings.upstream.as_str().to_owned(),
            process: self.shared.process.as_str().to_owned(),
            configuration_version: self.shared.in_force.version().0,
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
    fn read_from(&self, key: RequestKey, offset_bytes: u64) -> EventStream {
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
        tokio::spawn(read_out(self.shared.clone(), key, Cursor::at(offset_bytes), sender));
        ReceiverStream::new(receiver)
    }

    async fn say(&self, key: &RequestKey, event: &AnswerEvent) -> EventStream {
        let (sender, receiver) = mpsc::channel(1);
        let _ = sender.send(Ok(message(&self.shared, key, event))).await;
        ReceiverStream::new(receiver)
    }
}

/// Sends one reader what it is due until the end or until it goes away.
async fn read_out(
    shared: Arc<Shared>,
    key: RequestKey,
    mut cursor: Cursor,
    sender: mpsc::Sender<Result<v1::DispatchEvent, Status>>,
) {
    let mut grown = shared.subscribe(&key);
    loop {
        let step = shared.core().read(&key, &mut cursor);
        let event = match step {
            ReadStep::Event(event) => event,
            ReadStep::End => return,
            ReadStep::Wait => {
                let changed = tokio::time::timeout(PROGRESS_INTERVAL, grown.changed());
                tokio::select! {
                    changed = changed => match changed {
                        Ok(_) => continue,
                        Err(_) => AnswerEvent::Progress {
                            handed_over: shared.core().is_handed_over(&key),
                        },
                    },
                    () = sender.closed() => return,
                }
            }
        };
        if sender.send(Ok(message(&shared, &key, &event))).await.is_err() {
            return;
        }
    }
}

fn message(shared: &Shared, key: &RequestKey, event: &AnswerEvent) -> v1::DispatchEvent {
    v1::DispatchEvent {
        key: Some(key.into()),
        dispatch_epoch: 0,
        load: Some(shared.core().load().into()),
        event: Some(event.into()),
    }
}

fn state_of(settled: Settled) -> v1::RequestState {
    match settled {
        Settled::Known(Settlement::Withdrawn) => v1::RequestState::Withdrawn,
        Settled::Known(Settlement::Queued) => v1::RequestState::Queued,
        Settled::Known(Settlement::Running) => v1::RequestState::Running,
        Settled::Known(Settlement::Finished) => v1::RequestState::Finished,
        Settled::Known(Settlement::NotRun) => v1::RequestState::NotRun,
        Settled::Ran => v1::RequestState::Ran,
        Settled::Unknown => v1::RequestState::Unknown,
    }
}

fn required_key(key: Option<v1::RequestKey>) -> Result<RequestKey, Status> {
    key.map(RequestKey::from).ok_or_else(|| Status::invalid_argument("key is missing"))
}

fn invalid(error: wire::WireError) -> Status {
    Status::invalid_argument(error.to_string())
}
