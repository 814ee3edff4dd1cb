//! Conversions between protobuf messages and domain types.

use std::fmt;
use std::time::Duration;

use errors::{Outcome, Refusal, ResultCode};
use identity::{
    ConfigVersion, CustomerId, DispatchEpoch, FencingToken, ModelId, ProcessId, RequestId,
    ServiceId, Tier, UpstreamId,
};

use crate::message::{
    Claim, Command, Dispatch, Envelope, LoadDigest, ModelCall, Order, Registration, RequestKey,
    ResponseEvent, ServiceCall, Work,
};
use crate::v1;

/// Error of a message that cannot be converted to its domain type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// A required field is absent.
    Missing(&'static str),
    /// A field has a number that is not defined for it.
    OutOfRange(&'static str, u64),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Missing(field) => write!(f, "{field} is missing"),
            WireError::OutOfRange(field, given) => write!(f, "{field}: {given} is not defined"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<&RequestKey> for v1::RequestKey {
    fn from(key: &RequestKey) -> Self {
        v1::RequestKey {
            customer: key.customer.as_str().to_owned(),
            request_id: key.request_id.as_str().to_owned(),
        }
    }
}

impl From<v1::RequestKey> for RequestKey {
    fn from(key: v1::RequestKey) -> Self {
        RequestKey {
            customer: CustomerId::new(key.customer),
            request_id: RequestId::new(key.request_id),
        }
    }
}

impl From<&Claim> for v1::Claim {
    fn from(claim: &Claim) -> Self {
        v1::Claim {
            revision: claim.revision,
            agent_process: claim.agent_process.as_str().to_owned(),
        }
    }
}

impl From<v1::Claim> for Claim {
    fn from(claim: v1::Claim) -> Self {
        Claim { revision: claim.revision, agent_process: ProcessId::new(claim.agent_process) }
    }
}

impl From<&Dispatch> for v1::DispatchRequest {
    fn from(dispatch: &Dispatch) -> Self {
        v1::DispatchRequest {
            key: Some((&dispatch.key).into()),
            dispatch_epoch: dispatch.epoch.0,
            tier: dispatch.tier.0.into(),
            time_left_ms: dispatch.time_left.as_millis() as u64,
            configuration_version: dispatch.config_version.0,
            work: Some((&dispatch.work).into()),
            claim: None,
            process: dispatch.process.as_ref().map_or_else(String::new, ProcessId::to_string),
            registration: dispatch.registration.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<v1::DispatchRequest> for Dispatch {
    type Error = WireError;

    fn try_from(request: v1::DispatchRequest) -> Result<Self, WireError> {
        let tier = u8::try_from(request.tier)
            .map_err(|_| WireError::OutOfRange("tier", request.tier.into()))?;
        Ok(Dispatch {
            key: request.key.ok_or(WireError::Missing("key"))?.into(),
            epoch: DispatchEpoch(request.dispatch_epoch),
            tier: Tier(tier),
            time_left: Duration::from_millis(request.time_left_ms),
            config_version: ConfigVersion(request.configuration_version),
            work: request.work.ok_or(WireError::Missing("work"))?.into(),
            process: Some(request.process).filter(|id| !id.is_empty()).map(ProcessId::new),
            registration: request.registration.map(Into::into),
        })
    }
}

impl From<&Registration> for v1::Registration {
    fn from(registration: &Registration) -> Self {
        v1::Registration {
            home: registration.index_owner.to_string(),
            process: registration.process.to_string(),
            configuration_version: registration.config_version.0,
        }
    }
}

impl From<v1::Registration> for Registration {
    fn from(registration: v1::Registration) -> Self {
        Registration {
            index_owner: UpstreamId::new(registration.home),
            process: ProcessId::new(registration.process),
            config_version: ConfigVersion(registration.configuration_version),
        }
    }
}

impl From<Envelope> for v1::DispatchEvent {
    fn from(envelope: Envelope) -> Self {
        v1::DispatchEvent {
            key: Some((&envelope.key).into()),
            dispatch_epoch: envelope.epoch.0,
            load: envelope.load.map(Into::into),
            event: Some((&envelope.event).into()),
        }
    }
}

impl TryFrom<v1::DispatchEvent> for Envelope {
    type Error = WireError;

    fn try_from(message: v1::DispatchEvent) -> Result<Self, WireError> {
        Ok(Envelope {
            key: message.key.ok_or(WireError::Missing("key"))?.into(),
            epoch: DispatchEpoch(message.dispatch_epoch),
            load: message.load.map(Into::into),
            event: message.event.ok_or(WireError::Missing("event"))?.try_into()?,
        })
    }
}

impl From<&Work> for v1::dispatch_request::Work {
    fn from(work: &Work) -> Self {
        match work {
            Work::Model(call) => v1::dispatch_request::Work::Model(v1::ModelCall {
                model: call.model.as_str().to_owned(),
                body: call.body.clone(),
                prompt_tokens: call.prompt_tokens,
                max_tokens: call.max_tokens,
            }),
            Work::Service(call) => v1::dispatch_request::Work::Service(v1::ServiceCall {
                service: call.service.as_str().to_owned(),
                method: call.method.clone(),
                target: call.target.clone(),
                content_type: call.content_type.clone(),
                idempotency_key: call.idempotency_key.clone(),
                body: call.body.clone(),
            }),
        }
    }
}

impl From<v1::dispatch_request::Work> for Work {
    fn from(work: v1::dispatch_request::Work) -> Self {
        match work {
            v1::dispatch_request::Work::Model(call) => Work::Model(ModelCall {
                model: ModelId::new(call.model),
                body: call.body,
                prompt_tokens: call.prompt_tokens,
                max_tokens: call.max_tokens,
            }),
            v1::dispatch_request::Work::Service(call) => Work::Service(ServiceCall {
                service: ServiceId::new(call.service),
                method: call.method,
                target: call.target,
                content_type: call.content_type,
                idempotency_key: call.idempotency_key,
                body: call.body,
            }),
        }
    }
}

impl From<&Order> for v1::OrderRequest {
    fn from(order: &Order) -> Self {
        use v1::order_request::Order as WireCommand;
        let command = match &order.command {
            Command::LoadModel(model) => {
                WireCommand::LoadModel(v1::LoadModel { model: model.as_str().to_owned() })
            }
            Command::UnloadModel(model) => {
                WireCommand::UnloadModel(v1::UnloadModel { model: model.as_str().to_owned() })
            }
        };
        v1::OrderRequest {
            agent_process: order.agent_process.as_str().to_owned(),
            fencing_token: order.token.0,
            time_left_ms: order.time_left.as_millis() as u64,
            order: Some(command),
        }
    }
}

impl TryFrom<v1::OrderRequest> for Order {
    type Error = WireError;

    fn try_from(request: v1::OrderRequest) -> Result<Self, WireError> {
        use v1::order_request::Order as WireCommand;
        let command = match request.order.ok_or(WireError::Missing("order"))? {
            WireCommand::LoadModel(load) => Command::LoadModel(ModelId::new(load.model)),
            WireCommand::UnloadModel(unload) => Command::UnloadModel(ModelId::new(unload.model)),
        };
        Ok(Order {
            agent_process: ProcessId::new(request.agent_process),
            token: FencingToken(request.fencing_token),
            time_left: Duration::from_millis(request.time_left_ms),
            command,
        })
    }
}

impl From<LoadDigest> for v1::LoadDigest {
    fn from(load: LoadDigest) -> Self {
        v1::LoadDigest {
            queued: load.queued,
            running: load.running,
            limit: load.limit,
            leaving: load.leaving,
            queued_prefill_tokens: load.queued_prefill_tokens,
            remaining_decode_tokens: load.remaining_decode_tokens,
            prefill_tokens_per_s: load.prefill_tokens_per_s,
            decode_tokens_per_s: load.decode_tokens_per_s,
        }
    }
}

impl From<v1::LoadDigest> for LoadDigest {
    fn from(load: v1::LoadDigest) -> Self {
        LoadDigest {
            queued: load.queued,
            running: load.running,
            limit: load.limit,
            leaving: load.leaving,
            queued_prefill_tokens: load.queued_prefill_tokens,
            remaining_decode_tokens: load.remaining_decode_tokens,
            prefill_tokens_per_s: load.prefill_tokens_per_s,
            decode_tokens_per_s: load.decode_tokens_per_s,
        }
    }
}

impl From<&ResponseEvent> for v1::dispatch_event::Event {
    fn from(event: &ResponseEvent) -> Self {
        use v1::dispatch_event::Event;
        match event {
            ResponseEvent::Started { status, content_type } => Event::Started(v1::Started {
                status: (*status).into(),
                content_type: content_type.clone(),
            }),
            ResponseEvent::Data { offset_bytes, bytes } => {
                Event::Data(v1::Data { offset_bytes: *offset_bytes, bytes: bytes.clone() })
            }
            ResponseEvent::Progress { sent_to_upstream } => {
                Event::Progress(v1::Progress { handed_over: *sent_to_upstream })
            }
            ResponseEvent::Finished { total_bytes } => {
                Event::Finished(v1::Finished { total_bytes: *total_bytes })
            }
            ResponseEvent::Refused(refusal) => Event::Refused(refusal.into()),
        }
    }
}

impl TryFrom<v1::dispatch_event::Event> for ResponseEvent {
    type Error = WireError;

    fn try_from(event: v1::dispatch_event::Event) -> Result<Self, WireError> {
        use v1::dispatch_event::Event;
        Ok(match event {
            Event::Started(started) => ResponseEvent::Started {
                status: u16::try_from(started.status)
                    .map_err(|_| WireError::OutOfRange("status", started.status.into()))?,
                content_type: started.content_type,
            },
            Event::Data(data) => {
                ResponseEvent::Data { offset_bytes: data.offset_bytes, bytes: data.bytes }
            }
            Event::Progress(progress) => {
                ResponseEvent::Progress { sent_to_upstream: progress.handed_over }
            }
            Event::Finished(finished) => {
                ResponseEvent::Finished { total_bytes: finished.total_bytes }
            }
            Event::Refused(refused) => ResponseEvent::Refused(refused.try_into()?),
        })
    }
}

// Values of `Refused.outcome`.
const OUTCOME_NOT_RUN: u32 = 1;
const OUTCOME_RAN: u32 = 2;
const OUTCOME_UNKNOWN: u32 = 3;

impl From<&Refusal> for v1::Refused {
    fn from(refusal: &Refusal) -> Self {
        let outcome = match refusal.outcome {
            Outcome::NotRun => OUTCOME_NOT_RUN,
            Outcome::Ran => OUTCOME_RAN,
            Outcome::Unknown => OUTCOME_UNKNOWN,
        };
        v1::Refused {
            code: refusal.code.number(),
            outcome,
            message: refusal.message.clone(),
            retry_after_ms: refusal.retry_after.map_or(0, |delay| delay.as_millis() as u64),
        }
    }
}

impl TryFrom<v1::Refused> for Refusal {
    type Error = WireError;

    fn try_from(refused: v1::Refused) -> Result<Self, WireError> {
        let code = ResultCode::from_number(refused.code)
            .ok_or(WireError::OutOfRange("code", refused.code.into()))?;
        let outcome = match refused.outcome {
            OUTCOME_NOT_RUN => Outcome::NotRun,
            OUTCOME_RAN => Outcome::Ran,
            OUTCOME_UNKNOWN => Outcome::Unknown,
            other => return Err(WireError::OutOfRange("outcome", other.into())),
        };
        let retry_after = Duration::from_millis(refused.retry_after_ms);
        Ok(Refusal {
            code,
            outcome,
            message: refused.message,
            retry_after: (!retry_after.is_zero()).then_some(retry_after),
        })
    }
}
