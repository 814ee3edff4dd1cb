//! What entries and brokers send each other, in datagrams that may be lost or come twice.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::allowance::{BucketLevel, CreditReply, CreditRequest};
use crate::model::{PeerId, ServiceId, UpstreamId};
use crate::peers::Digest;
use crate::scheduler::{Job, Observation, Priority, Rejection, RouteId};

/// Names a request at its entry.
pub type SlotRequestId = u32;

/// A request that asks for a place. Times are relative to the sending, since hosts' clocks differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireJob {
    /// The service that serves it.
    pub service: ServiceId,
    /// Its route.
    pub route: RouteId,
    /// How important it is.
    pub priority: Priority,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Output tokens that are expected.
    pub output_tokens: u32,
    /// Output tokens in each event.
    pub tokens_per_event: u32,
    /// The last part of its prompt.
    pub session_part: Option<u64>,
    /// Whether it has no further try.
    pub is_last_attempt: bool,
    /// How long ago it came.
    pub waited_ms: u32,
    /// Time until the objective; 0 once that has passed.
    pub objective_left_ms: u32,
    /// The longest pause between events.
    pub pause_objective_ms: Option<u32>,
    /// How long it may still wait for a place.
    pub wait_left_ms: u32,
    /// Time left for the whole answer.
    pub time_left_ms: u32,
    /// Upstreams that it must not go to.
    pub excluded: Vec<UpstreamId>,
    /// Upstreams that its entry can hardly reach.
    pub suspect: Vec<UpstreamId>,
}

fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn from_ms(milliseconds: u32) -> Duration {
    Duration::from_millis(milliseconds.into())
}

impl WireJob {
    /// Describes a job as of now.
    pub fn from_job(job: &Job, now: Instant) -> WireJob {
        let left = |until: Instant| to_ms(until.saturating_duration_since(now));
        WireJob {
            service: job.service,
            route: job.route,
            priority: job.priority,
            prompt_tokens: job.prompt_tokens,
            output_tokens: job.output_tokens,
            tokens_per_event: job.tokens_per_event,
            session_part: job.session_part,
            is_last_attempt: job.is_last_attempt,
            waited_ms: to_ms(now.saturating_duration_since(job.arrived)),
            objective_left_ms: left(job.objective_at),
            pause_objective_ms: job.pause_objective.map(to_ms),
            wait_left_ms: left(job.queue_deadline),
            time_left_ms: left(job.deadline),
            excluded: job.excluded.clone(),
            suspect: job.suspect.clone(),
        }
    }

    /// The job, in an entry of `zone`, as of now.
    pub fn to_job(&self, zone: Rc<str>, now: Instant) -> Job {
        Job {
            service: self.service,
            route: self.route,
            priority: self.priority,
            zone,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            tokens_per_event: self.tokens_per_event,
            session_part: self.session_part,
            is_last_attempt: self.is_last_attempt,
            arrived: now.checked_sub(from_ms(self.waited_ms)).unwrap_or(now),
            objective_at: now + from_ms(self.objective_left_ms),
            pause_objective: self.pause_objective_ms.map(from_ms),
            queue_deadline: now + from_ms(self.wait_left_ms),
            deadline: now + from_ms(self.time_left_ms),
            excluded: self.excluded.clone(),
            suspect: self.suspect.clone(),
        }
    }
}

/// What became of a request for a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotReply {
    /// It has one.
    Granted {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// It waits; another verdict follows.
    Queued,
    /// It gets none.
    Rejected(Rejection),
    /// This entry is no broker of the service now.
    NotBroker,
}

impl SlotReply {
    /// Its name, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            SlotReply::Granted { .. } => "granted",
            SlotReply::Queued => "queued",
            SlotReply::Rejected(_) => "refused",
            SlotReply::NotBroker => "not_here",
        }
    }
}

/// A datagram between entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What an entry tells all others.
    Digest(Digest),
    /// An entry asks a broker for a place.
    SlotRequest {
        /// The entry.
        from: PeerId,
        /// Its request.
        request_id: SlotRequestId,
        /// What the request needs.
        job: WireJob,
    },
    /// A broker answers.
    SlotReply {
        /// The broker.
        from: PeerId,
        /// The request.
        request_id: SlotRequestId,
        /// What became of it.
        reply: SlotReply,
    },
    /// An entry gives a place back, or no longer wants one.
    Release {
        /// The entry.
        from: PeerId,
        /// Its request.
        request_id: SlotRequestId,
        /// What was seen of the upstream.
        observation: Observation,
    },
    /// All places that an entry holds.
    HeldSlots {
        /// The entry.
        from: PeerId,
        /// Its requests that hold a place, and where.
        slots: Vec<(SlotRequestId, UpstreamId)>,
    },
    /// An entry asks a customer's keeper for credit.
    CreditRequest {
        /// The entry.
        from: PeerId,
        /// What it asks for.
        request: CreditRequest,
    },
    /// A keeper answers.
    CreditReply {
        /// The keeper.
        from: PeerId,
        /// The question.
        number: u32,
        /// The answer.
        reply: CreditReply,
    },
    /// A keeper's buckets.
    BucketLevels {
        /// The keeper.
        from: PeerId,
        /// What they hold.
        levels: Vec<BucketLevel>,
        /// Whether they are handed over; copies for the next in the ranking otherwise.
        handed_over: bool,
    },
}

/// The bytes are no message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageError(String);

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a message: {}", self.0)
    }
}

impl std::error::Error for MessageError {}

impl Message {
    /// The bytes of a datagram.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_stdvec(self).map_err(|error| MessageError(error.to_string()))
    }

    /// Reads a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        postcard::from_bytes(bytes).map_err(|error| MessageError(error.to_string()))
    }

    /// The process that sent it.
    pub fn sender(&self) -> PeerId {
        match self {
            Message::Digest(digest) => digest.from,
            Message::SlotRequest { from, .. }
            | Message::SlotReply { from, .. }
            | Message::Release { from, .. }
            | Message::HeldSlots { from, .. }
            | Message::CreditRequest { from, .. }
            | Message::CreditReply { from, .. }
            | Message::BucketLevels { from, .. } => *from,
        }
    }
}
