//! What goes into the scheduler and what comes out of it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::model::InstanceId;

/// How important a request is; the least is the most important. A customer's own tier goes before
/// its route's, which decides among requests of customers with the same tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// The tier that counts.
    pub tier: u8,
    /// The route's tier.
    pub route_tier: u8,
}

/// What the scheduler needs to know of a request.
#[derive(Debug, Clone)]
pub struct Job {
    /// The service that serves it.
    pub service: String,
    /// How important it is.
    pub rank: Rank,
    /// Tokens of its prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Output tokens that are expected; 0 for a plain service.
    pub output_tokens: u32,
    /// Output tokens in each event of its stream; 1 for a plain service.
    pub tokens_per_event: u32,
    /// The last part of its prompt, which the request's session shares.
    pub session_part: Option<u64>,
    /// When it came.
    pub arrived: Instant,
    /// Until when an answer has its full worth.
    pub objective_at: Instant,
    /// The longest pause between two events with which a stream has its full worth.
    pub pause_objective: Option<Duration>,
    /// Until when it may wait for a place.
    pub wait_until: Instant,
    /// Until when the whole answer must be there.
    pub limit_at: Instant,
    /// Upstreams that it must not go to again.
    pub excluded: Vec<InstanceId>,
}

/// Another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Names its process.
    pub id: u64,
    /// Its availability zone.
    pub zone: String,
}

/// Names a request that waits.
pub type WaiterId = u64;

/// A place at an upstream. It counts as taken until `ended` is called.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// The upstream.
    pub instance: InstanceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Prompt tokens that are counted at the upstream until the first event.
    pub prompt_tokens: u32,
    /// Output tokens that are expected.
    pub output_tokens: u32,
    /// When the place was given.
    pub at: Instant,
    pub(super) tokens_per_event: u32,
    pub(super) last_event_at: Option<Instant>,
    pub(super) backlog_tokens: u64,
    pub(super) in_backlog: bool,
    pub(super) ticket: u64,
}

/// What comes of offering a request.
#[derive(Debug, Clone)]
pub enum Offer {
    /// It has a place.
    Place(Assignment),
    /// It waits.
    Wait(WaiterId),
    /// It won't get a place in time.
    Refuse(Refused),
}

/// Why a request gets no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// What is in the way.
    pub reason: RefusedBecause,
    /// When a place is expected.
    pub retry_after: Duration,
}

/// What is in the way of a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusedBecause {
    /// No upstream of the service is known.
    NoUpstream,
    /// All places are taken and the wait would be too long.
    Full,
}

/// How a place ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
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

/// A request that stops waiting.
#[derive(Debug, Clone)]
pub enum Woken {
    /// It has a place.
    Place(WaiterId, Assignment),
    /// It waited in vain.
    Refuse(WaiterId, Refused),
}
