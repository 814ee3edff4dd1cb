//! What a delivery says to the agent of its request, and what it hears from there.

use std::time::Duration;

use log::{info, warn};
use tonic::Streaming;
use wire::{Envelope, Registration, v1};

use super::agents::is_not_sent;
use super::claims::OnceOnly;
use super::delivery::Delivery;
use super::target::Target;
use crate::controllers::membership;
use crate::filters::dispatch::{DispatchStatus, Event};

/// How long an agent may say nothing before contact counts as lost; it speaks every 500 ms.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// How long an agent may take to say what became of a request.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);

/// What an agent says of one dispatch, as it says it.
pub(super) type Events = Streaming<v1::DispatchEvent>;

/// How a request gets to an upstream.
pub(super) enum Start {
    HandOver { registration: Option<Registration> },
    HandOverClaimed { claim: v1::Claim },
    Join,
}

/// What was heard while a request was followed.
pub(super) enum Heard {
    Event(Event),
    CallerGone,
}

/// What became of an attempt to get the request to an upstream.
enum Opened {
    Stream(Box<Events>),
    Failed(Event),
}

impl Delivery {
    pub(super) async fn open(
        &mut self,
        target: &Target,
        start: Start,
        stream: &mut Option<Events>,
    ) -> Event {
        let message = match start {
            Start::HandOver { registration } => self.message(target, registration),
            Start::HandOverClaimed { claim } => {
                v1::DispatchRequest { claim: Some(claim), ..self.message(target, None) }
            }
            Start::Join => {
                *stream = self.join(target, 0).await;
                return if stream.is_some() { Event::Sent } else { Event::ConnectionLost };
            }
        };
        match self.hand_over(target, message).await {
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

    async fn hand_over(&self, target: &Target, message: v1::DispatchRequest) -> Opened {
        let mut client = target.connection.client.clone();
        match tokio::time::timeout(SILENCE_LIMIT, client.dispatch(message)).await {
            Ok(Ok(opened)) => Opened::Stream(Box::new(opened.into_inner())),
            Ok(Err(status)) if is_not_sent(&status) => {
                self.shared.agents.replace(target.address, &target.connection);
                self.shared.learn(&target.upstream, membership::Event::AgentUnreachable);
                Opened::Failed(Event::NotSent)
            }
            _ => Opened::Failed(Event::ConnectionLost),
        }
    }

    pub(super) async fn next_event(
        &self,
        stream: &mut Option<Events>,
        target: &mut Target,
    ) -> Heard {
        let Some(open) = stream else { return Heard::Event(Event::ConnectionLost) };
        let left = self.time_left();
        if left.is_zero() {
            return Heard::Event(Event::DeadlinePassed(self.cancel(target).await));
        }
        let message = tokio::select! {
            message = tokio::time::timeout(SILENCE_LIMIT.min(left), open.message()) => message,
            () = target.connection.wait_until_replaced() => {
                return Heard::Event(Event::ConnectionLost);
            }
            // The end of a claimed call is noted in its claim, whoever waits for it.
            () = self.answer.wait_until_gone(), if self.once.is_none() => {
                return Heard::CallerGone;
            }
        };
        Heard::Event(match message {
            Ok(Ok(Some(message))) => match Envelope::try_from(message) {
                Ok(envelope) => {
                    if let Some(load) = envelope.load {
                        target.hear(&self.shared, load);
                    }
                    Event::Received(envelope)
                }
                Err(error) => {
                    warn!("request={} {error}", self.key.request_id);
                    Event::ConnectionLost
                }
            },
            Err(_) if left <= SILENCE_LIMIT => Event::DeadlinePassed(self.cancel(target).await),
            _ => Event::ConnectionLost,
        })
    }

    /// Asks the agent, on a new connection, what became of the request.
    pub(super) async fn ask(&self, target: &mut Target, pause: Duration) -> Event {
        tokio::time::sleep(pause.min(self.time_left())).await;
        if self.time_left().is_zero() {
            return Event::DeadlinePassed(self.cancel(target).await);
        }
        match target.reconnect(&self.shared).await {
            Ok(()) => {}
            Err(status) => {
                info!("request={} not asked: {status}", self.key.request_id);
                return Event::StatusUnavailable;
            }
        }
        self.settle(target).await.map_or(Event::StatusUnavailable, Event::StatusReceived)
    }

    async fn settle(&self, target: &Target) -> Option<DispatchStatus> {
        let request = v1::SettleRequest {
            key: Some((&self.key).into()),
            dispatch_epoch: self.dispatch.epoch().0,
            process: target.process.to_string(),
            claim: self.once.as_ref().and_then(OnceOnly::claim),
        };
        let mut client = target.connection.client.clone();
        let reply = tokio::time::timeout(ASK_TIMEOUT, client.settle(request)).await.ok()?.ok()?;
        let reply = reply.into_inner();
        if self.once.as_ref().is_some_and(|once| !once.is_named(&reply.process)) {
            return Some(DispatchStatus::ProcessGone);
        }
        to_dispatch_status(reply.state())
    }

    pub(super) async fn join(&self, target: &Target, offset_bytes: u64) -> Option<Events> {
        let request = v1::AttachRequest {
            key: Some((&self.key).into()),
            offset_bytes,
            dispatch_epoch: self.dispatch.epoch().0,
        };
        let mut client = target.connection.client.clone();
        let joined = tokio::time::timeout(SILENCE_LIMIT, client.attach(request)).await;
        joined.ok()?.ok().map(tonic::Response::into_inner)
    }

    /// Ends the request at the agent, which says how far it had come. One that was joined is left
    /// to whoever else may read it.
    pub(super) async fn cancel(&self, target: &Target) -> Option<DispatchStatus> {
        if self.dispatch.is_attached() {
            return self.settle(target).await.map(|status| self.as_outcome(status));
        }
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
            v1::RequestState::Queued => Some(DispatchStatus::NotRun),
            state => to_dispatch_status(state).map(|status| self.as_outcome(status)),
        }
    }

    /// A call of a plain service that was handed over may have had its effect or not.
    fn as_outcome(&self, status: DispatchStatus) -> DispatchStatus {
        match status {
            DispatchStatus::Running | DispatchStatus::Finished if !self.is_model() => {
                DispatchStatus::Held
            }
            status => status,
        }
    }

    fn message(&self, target: &Target, registration: Option<Registration>) -> v1::DispatchRequest {
        let dispatch = wire::Dispatch {
            key: self.key.clone(),
            epoch: self.dispatch.epoch(),
            tier: self.job.tier,
            time_left: self.time_left(),
            config_version: self.shared.active_configuration.version(),
            work: self.job.work.clone(),
            process: Some(target.process.clone()),
            registration,
        };
        (&dispatch).into()
    }
}

fn to_dispatch_status(state: v1::RequestState) -> Option<DispatchStatus> {
    match state {
        v1::RequestState::Withdrawn | v1::RequestState::NotRun => Some(DispatchStatus::NotRun),
        v1::RequestState::Queued => Some(DispatchStatus::Held),
        v1::RequestState::Running => Some(DispatchStatus::Running),
        v1::RequestState::Finished => Some(DispatchStatus::Finished),
        v1::RequestState::OtherProcess => Some(DispatchStatus::ProcessGone),
        v1::RequestState::Ran | v1::RequestState::Unknown | v1::RequestState::Unspecified => None,
    }
}
