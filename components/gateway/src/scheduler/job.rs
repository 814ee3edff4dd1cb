//! What goes into the scheduler and what comes out of it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::model::{InstanceId, ServiceId, UpstreamId};

/// How important a request is; the least is the most important. A customer's own tier goes before
/// its route's, which decides among requests of customers with the same tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Priority {
    /// The customer's tier, or the route's where the customer has none.
    pub tier: u8,
    /// The route's tier.
    pub route_tier: u8,
}

/// Names a route between entries: requests of one kind are alike in size and worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteId(pub u32);

/// What the scheduler needs to know of a request.
#[derive(Debug, Clone)]
pub struct Job {
    /// The service that serves it.
    pub service: ServiceId,
    /// Its route.
    pub route: RouteId,
    /// How important it is.
    pub priority: Priority,
    /// The availability zone of the entry that has it.
    pub zone: Rc<str>,
    /// Tokens of its prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Output tokens that are expected; 0 for a plain service.
    pub output_tokens: u32,
    /// Output tokens in each event of its stream; 1 for a plain service.
    pub tokens_per_event: u32,
    /// The last part of its prompt, which the request's session shares.
    pub session_part: Option<u64>,
    /// Whether its caller has been refused before and has no further try.
    pub is_last_attempt: bool,
    /// When it came.
    pub arrived: Instant,
    /// Until when an answer has its full worth.
    pub objective_at: Instant,
    /// The longest pause between two events with which a stream has its full worth.
    pub pause_objective: Option<Duration>,
    /// Until when it may wait for a place.
    pub queue_deadline: Instant,
    /// Until when the whole answer must be there.
    pub deadline: Instant,
    /// Upstreams that it must not go to.
    pub excluded: Vec<UpstreamId>,
    /// Upstreams that its entry can hardly reach: the last choice.
    pub suspect: Vec<UpstreamId>,
}

/// Names a request that waits.
pub type WaiterId = u64;

/// Names a place that was given.
pub type SlotId = u64;

/// A place at an upstream. It counts as taken until it is released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// Names it.
    pub id: SlotId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The upstream's own name.
    pub instance: InstanceId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What comes of offering a request.
#[derive(Debug, Clone)]
pub enum Submission {
    /// It has a place.
    Assigned(Slot),
    /// It waits.
    Queued(WaiterId),
    /// It won't get a place in time.
    Rejected(Rejection),
}

/// Why a request gets no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// What is in the way.
    pub reason: RejectionReason,
    /// When a place is expected.
    pub retry_after: Duration,
}

/// What is in the way of a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectionReason {
    /// No upstream of the service is known.
    NoUpstream,
    /// All places are taken and the wait would be too long.
    Full,
}

/// How a place ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// With an answer.
    Served,
    /// With a failure of the upstream.
    Failed,
    /// The upstream declined it: it has no place.
    Declined,
    /// Another instance has the upstream's address.
    Replaced,
    /// The upstream could not be reached.
    Unreachable,
    /// The caller left or its time ran out.
    Abandoned,
}

/// What was seen of an upstream while a place was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from the hand-over to the first event, or to the head of a plain answer.
    pub time_to_first_event: Option<Duration>,
    /// Time from the first event to the last, and the output tokens after the first event.
    pub output: Option<(Duration, u32)>,
}

impl Observation {
    /// Nothing was seen but the ending.
    pub fn outcome_only(outcome: AttemptOutcome) -> Observation {
        Observation { outcome, time_to_first_event: None, output: None }
    }
}

/// A request that stops waiting.
#[derive(Debug, Clone)]
pub enum Wakeup {
    /// It has a place.
    Assigned(WaiterId, Slot),
    /// It waited in vain.
    Rejected(WaiterId, Rejection),
}
