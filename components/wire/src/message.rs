//! Domain types of the messages between an entry process and an agent.

use std::time::Duration;

use bytes::Bytes;
use errors::Refusal;
use identity::{
    ConfigVersion, CustomerId, DispatchEpoch, FencingToken, ModelId, ProcessId, RequestId,
    ServiceId, Tier, UpstreamId,
};

/// Key of a request: its customer and its id.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// Customer who sent the request.
    pub customer: CustomerId,
    /// Id, unique within the customer.
    pub request_id: RequestId,
}

/// Request as it is dispatched to an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// Key of the request.
    pub key: RequestKey,
    /// Orders the dispatches of one request; a higher epoch supersedes a lower one.
    pub epoch: DispatchEpoch,
    /// Priority class.
    pub tier: Tier,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Version of the configuration that the sender used.
    pub config_version: ConfigVersion,
    /// Call to make.
    pub work: Work,
    /// Agent process that the dispatch is for; `None` accepts any process.
    pub process: Option<ProcessId>,
    /// Agent that holds the placement record, if the caller may retry the request.
    pub registration: Option<Registration>,
}

/// Agent that holds the placement record of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Upstream whose agent holds the record.
    pub index_owner: UpstreamId,
    /// Process of that agent.
    pub process: ProcessId,
    /// Version of the configuration that determines the index owner.
    pub config_version: ConfigVersion,
}

/// Claim in the platform's store that permits one dispatch of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Store revision of the write that acquired the claim.
    pub revision: u64,
    /// Agent process named in the claim; any other process refuses the dispatch.
    pub agent_process: ProcessId,
}

/// Call that a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// Call of a model.
    Model(ModelCall),
    /// Call of a plain service.
    Service(ServiceCall),
}

/// Call of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCall {
    /// Model to call.
    pub model: ModelId,
    /// Chat-completions request in JSON, as the caller sent it.
    pub body: Bytes,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Limit on the number of generated tokens.
    pub max_tokens: u32,
}

/// Call of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceCall {
    /// Service to call.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path below the service's name, with its query.
    pub target: String,
    /// Content type of the body; empty if there is none.
    pub content_type: String,
    /// Idempotency key; empty if the call needs none.
    pub idempotency_key: String,
    /// Request body.
    pub body: Bytes,
}

/// Load of an agent at the time of a message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadDigest {
    /// Number of requests that wait in the agent's queue.
    pub queued: u32,
    /// Number of requests that run at the upstream.
    pub running: u32,
    /// Limit on the number of requests that the agent runs at the upstream concurrently.
    pub limit: u32,
    /// The agent is draining and accepts no new requests.
    pub leaving: bool,
    /// Prompt tokens of the queued requests.
    pub queued_prefill_tokens: u64,
    /// Tokens that the queued and running requests may still generate.
    pub remaining_decode_tokens: u64,
    /// Observed prefill speed; 0 while unknown.
    pub prefill_tokens_per_s: u32,
    /// Observed decode speed of a single request; 0 while unknown.
    pub decode_tokens_per_s: u32,
}

/// Event of the response to one request, sent by the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum ResponseEvent {
    /// The upstream has started to respond.
    Started {
        /// HTTP status from the upstream.
        status: u16,
        /// Content type of the response.
        content_type: String,
    },
    /// Part of the response body.
    Data {
        /// Number of bytes of the body before this part.
        offset_bytes: u64,
        /// Content of this part.
        bytes: Bytes,
    },
    /// Keepalive: there is no other event, but the agent is alive and holds the request.
    Progress {
        /// The request has been sent to the upstream.
        sent_to_upstream: bool,
    },
    /// The response is complete.
    Finished {
        /// Length of the complete body.
        total_bytes: u64,
    },
    /// There is no response, or it ends incomplete.
    Refused(Refusal),
}

/// Order to an engine, from the holder of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Agent process that the order is for.
    pub agent_process: ProcessId,
    /// Orders the holders of the lease; a higher token supersedes a lower one.
    pub token: FencingToken,
    /// Time for which the sender may still act on its lease.
    pub time_left: Duration,
    /// Command to the engine.
    pub command: Command,
}

/// Command to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Load a model.
    LoadModel(ModelId),
    /// Unload a model.
    UnloadModel(ModelId),
}

/// Response event with the dispatch that it belongs to.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// Key of the request.
    pub key: RequestKey,
    /// Epoch of the dispatch.
    pub epoch: DispatchEpoch,
    /// Load of the agent; absent from some events.
    pub load: Option<LoadDigest>,
    /// The event.
    pub event: ResponseEvent,
}
