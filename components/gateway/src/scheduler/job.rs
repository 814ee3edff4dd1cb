//! Input and output types of the scheduler.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::model::{InstanceId, ServiceId, UpstreamId, VersionId};

/// Priority of a request; the lowest value is the most important. The customer's tier takes
/// precedence; the route's tier ranks requests of customers with the same tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Priority {
    /// Tier of the customer, or of the route if the customer has none.
    pub tier: u8,
    /// Tier of the route.
    pub route_tier: u8,
}

impl Priority {
    /// Priority of streams that broke off: they take precedence over requests that have not begun.
    pub const RESUMED: Priority = Priority { tier: 0, route_tier: 0 };
}

/// Id of a route, used between gateways. Requests of one route are similar in size and value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteId(pub u32);

/// Properties of a request that the scheduler uses.
#[derive(Debug, Clone)]
pub struct Job {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Route of the request.
    pub route: RouteId,
    /// Priority of the request.
    pub priority: Priority,
    /// Availability zone of the gateway that received the request.
    pub zone: Rc<str>,
    /// Prompt tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Expected output tokens; 0 for a plain service.
    pub output_tokens: u32,
    /// Output tokens in each event of the stream; 1 for a plain service.
    pub tokens_per_event: u32,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Id of the last part of the prompt, which all requests of a session share.
    pub session_part: Option<u64>,
    /// Whether the caller has been rejected before and will not retry again.
    pub is_last_attempt: bool,
    /// Time of arrival.
    pub arrived: Instant,
    /// Time until which a response, or the first event of a stream, has its full value.
    pub objective_at: Instant,
    /// Longest pause between two events with which a stream has its full value.
    pub pause_objective: Option<Duration>,
    /// Time until which the request may wait for a slot.
    pub queue_deadline: Instant,
    /// Time until which the response must be complete.
    pub deadline: Instant,
    /// Software version that the upstream must have; `None` for any.
    pub version: Option<VersionId>,
    /// Upstreams that must not get the request.
    pub excluded: Vec<UpstreamId>,
    /// Upstreams that the gateway has trouble reaching; used only if there are no others.
    pub suspect: Vec<UpstreamId>,
}

impl Job {
    /// Whether the request is for a plain service rather than an engine.
    pub fn is_plain(&self) -> bool {
        !self.is_stream && self.prompt_tokens == 0
    }
}

/// Id of a waiting request.
pub type WaiterId = u64;

/// Id of an assigned slot.
pub type SlotId = u64;

/// An assigned slot of an upstream. It stays occupied until it is released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// Id of the slot.
    pub id: SlotId,
    /// Upstream that the slot belongs to.
    pub upstream: UpstreamId,
    /// Instance id that the upstream announces.
    pub instance: InstanceId,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
}

/// Result of submitting a request.
#[derive(Debug, Clone)]
pub enum Submission {
    /// The request was assigned a slot.
    Assigned(Slot),
    /// The request waits for a slot.
    Queued(WaiterId),
    /// The request would not get a slot in time.
    Rejected(Rejection),
}

/// Rejection of a request that gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Reason of the rejection.
    pub reason: RejectionReason,
    /// Time after which a slot is expected to be free.
    pub retry_after: Duration,
}

/// Reason why a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectionReason {
    /// No upstream of the service is known.
    NoUpstream,
    /// All slots are occupied and the expected wait is too long.
    Full,
}

/// Outcome of an attempt as evidence of the health of the upstream, reported to the scheduler when
/// the slot is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The upstream responded.
    Served,
    /// The upstream failed.
    Failed,
    /// The upstream declined the request because it has no free slot.
    Declined,
    /// Another instance now has the upstream's address.
    Replaced,
    /// The upstream was unreachable.
    Unreachable,
    /// The caller disconnected or the request timed out.
    Abandoned,
}

/// Observation of an upstream during one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time from the assignment of the slot to the first event of a stream, or to the head of
    /// another response.
    pub time_to_first_event: Option<Duration>,
    /// Time from the first event to the last, and output tokens after the first event.
    pub output: Option<(Duration, u32)>,
}

impl Observation {
    /// Creates an observation without timings.
    pub fn outcome_only(outcome: AttemptOutcome) -> Observation {
        Observation { outcome, time_to_first_event: None, output: None }
    }
}

/// A waiting request that is assigned a slot or rejected.
#[derive(Debug, Clone)]
pub enum Wakeup {
    /// The request was assigned a slot.
    Assigned(WaiterId, Slot),
    /// The request does not get a slot in time.
    Rejected(WaiterId, Rejection),
}
