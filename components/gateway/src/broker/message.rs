//! Messages between gateways, sent as datagrams that may be lost or duplicated.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::allowance::{BucketLevel, CreditReply, CreditRequest};
use crate::model::{PeerId, ServiceId, UpstreamId, VersionId};
use crate::peers::{Digest, DigestExtension};
use crate::scheduler::{Job, Observation, Priority, Rejection, RouteId};
use crate::shared_read::SharedRead;

/// First byte of each datagram. It changes with the encoding, so that gateways of different
/// versions that run beside each other during an update do not misread each other. The first format
/// had no such byte; it takes this value for an unknown message.
const FORMAT: u8 = 105;

/// Identifies a slot request at the gateway that sent it.
pub type SlotRequestId = u32;

/// Wire form of a job, sent with a slot request. Times are relative to the time of sending, since
/// the clocks of hosts differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireJob {
    /// Service that handles the request.
    pub service: ServiceId,
    /// Route of the request.
    pub route: RouteId,
    /// Priority of the request.
    pub priority: Priority,
    /// Prompt tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Expected output tokens.
    pub output_tokens: u32,
    /// Output tokens in each event.
    pub tokens_per_event: u32,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Id of the last part of the prompt, which all requests of a session share.
    pub session_part: Option<u64>,
    /// Whether the caller makes no further attempt.
    pub is_last_attempt: bool,
    /// Time since the request arrived.
    pub waited_ms: u32,
    /// Time until the latency objective; 0 once it has passed.
    pub objective_left_ms: u32,
    /// Maximum pause between events that meets the objective.
    pub pause_objective_ms: Option<u32>,
    /// Remaining time for which the request may wait for a slot.
    pub wait_left_ms: u32,
    /// Time left until the complete response is due.
    pub time_left_ms: u32,
    /// Upstreams that must not be assigned.
    pub excluded: Vec<UpstreamId>,
    /// Upstreams that the requesting gateway can hardly reach.
    pub suspect: Vec<UpstreamId>,
    /// What later versions of the job have in addition.
    #[serde(skip)]
    pub extension: JobExtension,
}

/// Fields that follow a slot request in its datagram. An earlier version reads the request without
/// them and may assign a slot that does not fit; the requesting gateway gives that one back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobExtension {
    /// Software version that the upstream must have.
    pub version: Option<VersionId>,
}

fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn from_ms(milliseconds: u32) -> Duration {
    Duration::from_millis(milliseconds.into())
}

impl WireJob {
    /// Encodes a job with times relative to `now`.
    pub fn from_job(job: &Job, now: Instant) -> WireJob {
        let left = |until: Instant| to_ms(until.saturating_duration_since(now));
        WireJob {
            service: job.service,
            route: job.route,
            priority: job.priority,
            prompt_tokens: job.prompt_tokens,
            output_tokens: job.output_tokens,
            tokens_per_event: job.tokens_per_event,
            is_stream: job.is_stream,
            session_part: job.session_part,
            is_last_attempt: job.is_last_attempt,
            waited_ms: to_ms(now.saturating_duration_since(job.arrived)),
            objective_left_ms: left(job.objective_at),
            pause_objective_ms: job.pause_objective.map(to_ms),
            wait_left_ms: left(job.queue_deadline),
            time_left_ms: left(job.deadline),
            excluded: job.excluded.clone(),
            suspect: job.suspect.clone(),
            extension: JobExtension { version: job.version },
        }
    }

    /// Decodes the job of a gateway in `zone`, with times relative to `now`.
    pub fn to_job(&self, zone: Rc<str>, now: Instant) -> Job {
        Job {
            service: self.service,
            route: self.route,
            priority: self.priority,
            zone,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            tokens_per_event: self.tokens_per_event,
            is_stream: self.is_stream,
            session_part: self.session_part,
            is_last_attempt: self.is_last_attempt,
            arrived: now.checked_sub(from_ms(self.waited_ms)).unwrap_or(now),
            objective_at: now + from_ms(self.objective_left_ms),
            pause_objective: self.pause_objective_ms.map(from_ms),
            queue_deadline: now + from_ms(self.wait_left_ms),
            deadline: now + from_ms(self.time_left_ms),
            version: self.extension.version,
            excluded: self.excluded.clone(),
            suspect: self.suspect.clone(),
        }
    }
}

/// Reply to a slot request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotReply {
    /// A slot is assigned.
    Granted {
        /// Upstream of the slot.
        upstream: UpstreamId,
    },
    /// The request is queued; another reply follows.
    Queued,
    /// No slot is assigned.
    Rejected(Rejection),
    /// This gateway is not the broker of the service now.
    NotBroker,
    /// The broker does not know the slot request: a reply to it, or the request itself, was lost.
    Unknown,
}

impl SlotReply {
    /// Whether a slot is assigned.
    pub fn is_granted(&self) -> bool {
        matches!(self, SlotReply::Granted { .. })
    }

    /// Name for the metrics label.
    pub fn name(&self) -> &'static str {
        match self {
            SlotReply::Granted { .. } => "granted",
            SlotReply::Queued => "queued",
            SlotReply::Rejected(_) => "refused",
            SlotReply::NotBroker => "not_here",
            SlotReply::Unknown => "unknown",
        }
    }
}

/// Message between gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic digest for all other gateways.
    Digest(Digest),
    /// A gateway requests a slot from a broker.
    SlotRequest {
        /// Requesting gateway.
        from: PeerId,
        /// Id of the slot request.
        request_id: SlotRequestId,
        /// Job that needs the slot.
        job: WireJob,
    },
    /// A broker replies to a slot request.
    SlotReply {
        /// Broker.
        from: PeerId,
        /// Id of the slot request.
        request_id: SlotRequestId,
        /// Reply.
        reply: SlotReply,
    },
    /// A gateway releases a slot or cancels a slot request.
    Release {
        /// Releasing gateway.
        from: PeerId,
        /// Id of the slot request.
        request_id: SlotRequestId,
        /// Observation of the upstream.
        observation: Observation,
    },
    /// List of all slots that a gateway holds, and of its requests in the broker's queue.
    HeldSlots {
        /// Gateway that holds the slots.
        from: PeerId,
        /// Slot requests that hold a slot, with the upstream of the slot.
        slots: Vec<(SlotRequestId, UpstreamId)>,
        /// Slot requests that the broker has queued.
        queued: Vec<SlotRequestId>,
    },
    /// A gateway requests credit from the owner of a customer's bucket.
    CreditRequest {
        /// Requesting gateway.
        from: PeerId,
        /// Credit request.
        request: CreditRequest,
    },
    /// A bucket owner replies to a credit request.
    CreditReply {
        /// Bucket owner.
        from: PeerId,
        /// Number of the credit request.
        number: u32,
        /// Reply.
        reply: CreditReply,
    },
    /// Levels of a bucket owner's buckets.
    BucketLevels {
        /// Bucket owner.
        from: PeerId,
        /// Level of each bucket.
        levels: Vec<BucketLevel>,
        /// Whether the buckets are handed over; otherwise these are replicas for the standby.
        handed_over: bool,
    },
    /// A broker replies to the list of a gateway's queued slot requests.
    SlotReplies {
        /// Broker.
        from: PeerId,
        /// Replies by the id of the slot request.
        replies: Vec<(SlotRequestId, SlotReply)>,
    },
    /// A gateway passes on what it has read from the store.
    SharedRead {
        /// Gateway that read the store.
        from: PeerId,
        /// What it read.
        read: SharedRead,
    },
}

/// A datagram that could not be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageError(String);

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "message codec error: {}", self.0)
    }
}

impl std::error::Error for MessageError {}

impl From<postcard::Error> for MessageError {
    fn from(error: postcard::Error) -> MessageError {
        MessageError(error.to_string())
    }
}

/// A message as it is sent, with the process that it is for.
///
/// A process that starts at the address of one that was killed gets the datagrams that peers still
/// send to that one.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    /// Process that the message is for; `None` if it is for all gateways, or comes from a version
    /// that did not name it.
    pub recipient: Option<PeerId>,
    /// The message.
    pub message: Message,
}

impl Datagram {
    /// A message to one process.
    pub fn to(recipient: PeerId, message: Message) -> Datagram {
        Datagram { recipient: Some(recipient), message }
    }

    /// A message to all gateways that it is sent to.
    pub fn to_all(message: Message) -> Datagram {
        Datagram { recipient: None, message }
    }

    /// Encodes the datagram. The recipient comes last, where an earlier version does not read it.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = postcard::to_extend(&self.message, vec![FORMAT])?;
        let bytes = match &self.message {
            Message::Digest(digest) => encode_digest_extension(&digest.extension, bytes)?,
            Message::SlotRequest { job, .. } => postcard::to_extend(&job.extension, bytes)?,
            _ => bytes,
        };
        match self.recipient {
            Some(recipient) => Ok(postcard::to_extend(&recipient, bytes)?),
            None => Ok(bytes),
        }
    }

    /// Decodes a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Datagram, MessageError> {
        let Some((&FORMAT, message)) = bytes.split_first() else {
            return Err(MessageError("the datagram is of another format".to_owned()));
        };
        let (mut message, mut rest) = postcard::take_from_bytes(message)?;
        match &mut message {
            Message::Digest(digest) if !rest.is_empty() => {
                digest.extension = decode_digest_extension(rest)?;
                return Ok(Datagram::to_all(message));
            }
            Message::SlotRequest { job, .. } if !rest.is_empty() => {
                (job.extension, rest) = postcard::take_from_bytes(rest)?;
            }
            _ => {}
        }
        let recipient = if rest.is_empty() { None } else { Some(postcard::from_bytes(rest)?) };
        Ok(Datagram { recipient, message })
    }
}

impl Message {
    /// Gateway process that sent the message.
    pub fn sender(&self) -> PeerId {
        match self {
            Message::Digest(digest) => digest.from,
            Message::SlotRequest { from, .. }
            | Message::SlotReply { from, .. }
            | Message::Release { from, .. }
            | Message::HeldSlots { from, .. }
            | Message::CreditRequest { from, .. }
            | Message::CreditReply { from, .. }
            | Message::BucketLevels { from, .. }
            | Message::SlotReplies { from, .. }
            | Message::SharedRead { from, .. } => *from,
        }
    }
}

fn encode_digest_extension(
    extension: &DigestExtension,
    bytes: Vec<u8>,
) -> Result<Vec<u8>, MessageError> {
    let bytes = postcard::to_extend(extension, bytes)?;
    match extension.gateway_count {
        Some(count) => Ok(postcard::to_extend(&count, bytes)?),
        None => Ok(bytes),
    }
}

/// Decodes the fields that follow a digest: those of the version before, then those that this one
/// has in addition.
fn decode_digest_extension(bytes: &[u8]) -> Result<DigestExtension, MessageError> {
    let (extension, rest) = postcard::take_from_bytes::<DigestExtension>(bytes)?;
    let gateway_count = if rest.is_empty() { None } else { Some(postcard::from_bytes(rest)?) };
    Ok(DigestExtension { gateway_count, ..extension })
}
