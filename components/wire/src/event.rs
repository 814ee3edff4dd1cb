//! Domain forms of what passes between an entry process and an agent.

use std::time::Duration;

use bytes::Bytes;
use errors::Refusal;
use identity::{
    ConfigVersion, CustomerId, DispatchEpoch, FencingToken, ModelId, ProcessId, RequestId,
    ServiceId, Tier, UpstreamId,
};

/// A request is known by its customer and its id together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// The customer who asked.
    pub customer: CustomerId,
    /// The id, unique for that customer.
    pub request_id: RequestId,
}

/// A request as it is handed to an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// Which request.
    pub key: RequestKey,
    /// Orders attempts to hand over one request.
    pub epoch: DispatchEpoch,
    /// Importance.
    pub tier: Tier,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// The configuration that the sender decided by.
    pub config_version: ConfigVersion,
    /// What is to be done.
    pub work: Work,
    /// The process of the agent that this is meant for.
    pub process: Option<ProcessId>,
    /// Where the placement is recorded, if the caller may ask again.
    pub registration: Option<Registration>,
}

/// Where the placement of a request is recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// The upstream whose agent holds the record.
    pub index_owner: UpstreamId,
    /// The process of that agent.
    pub process: ProcessId,
    /// The configuration that the index owner follows from.
    pub config_version: ConfigVersion,
}

/// The claim in the platform's store that allows one dispatch of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Store revision of the write that made the claim.
    pub revision: u64,
    /// The agent process that the claim names; any other refuses the dispatch.
    pub agent_process: ProcessId,
}

/// What is to be done for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// A call of a model.
    Model(ModelCall),
    /// A call of a plain service.
    Service(ServiceCall),
}

/// A call of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCall {
    /// The model.
    pub model: ModelId,
    /// Chat-completions JSON as the caller sent it.
    pub body: Bytes,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that may be generated.
    pub max_tokens: u32,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceCall {
    /// The service.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path below the service's name, with its query.
    pub target: String,
    /// Content type of the body; empty where there is none.
    pub content_type: String,
    /// Idempotency key; empty where the call needs none.
    pub idempotency_key: String,
    /// The body.
    pub body: Bytes,
}

/// Load of an agent at the time of a message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadDigest {
    /// Requests that wait at the agent.
    pub queued: u32,
    /// Requests that the upstream works on.
    pub running: u32,
    /// Most requests that the agent hands over at once.
    pub limit: u32,
    /// The agent takes no new work.
    pub leaving: bool,
    /// Prompt tokens of waiting requests.
    pub queued_prefill_tokens: u64,
    /// Tokens that waiting and running requests may still generate.
    pub remaining_decode_tokens: u64,
    /// Observed prompt speed; 0 while unknown.
    pub prefill_tokens_per_s: u32,
    /// Observed speed of generation for one request; 0 while unknown.
    pub decode_tokens_per_s: u32,
}

/// What an agent says of one request.
#[derive(Debug, Clone, PartialEq)]
pub enum ResponseEvent {
    /// The upstream has begun to answer.
    Started {
        /// HTTP status of the upstream.
        status: u16,
        /// Content type of the answer.
        content_type: String,
    },
    /// A piece of the answer.
    Data {
        /// Bytes of the answer before this piece.
        offset_bytes: u64,
        /// The piece.
        bytes: Bytes,
    },
    /// Nothing to tell, but the agent is alive and holds the request.
    Progress {
        /// The request has been handed to the upstream.
        sent_to_upstream: bool,
    },
    /// The answer is whole.
    Finished {
        /// Length of the whole answer.
        total_bytes: u64,
    },
    /// There is no answer, or no more of it.
    Refused(Refusal),
}

/// An order to an engine, from the holder of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The agent process that it is for.
    pub agent_process: ProcessId,
    /// Orders the holders of the lease.
    pub token: FencingToken,
    /// How long the sender may still act.
    pub time_left: Duration,
    /// What the engine is to do.
    pub command: Command,
}

/// What an engine can be told to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Load a model.
    LoadModel(ModelId),
    /// Give up a model.
    UnloadModel(ModelId),
}

/// An event with the dispatch that it belongs to.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// Which request.
    pub key: RequestKey,
    /// Which dispatch of it.
    pub epoch: DispatchEpoch,
    /// Load of the agent; not with every event.
    pub load: Option<LoadDigest>,
    /// The event.
    pub event: ResponseEvent,
}
