//! What the gateway asks of the adapter that knows the names on the wire.

use std::time::Duration;

use http::{HeaderMap, StatusCode};

use crate::model::{RequestMetadata, ResponseMetadata};

/// What goes along with a request that is handed to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMetadata<'a> {
    /// The instance that it is meant for; any other declines it.
    pub instance: &'a str,
    /// The customer, where the route asks for a key.
    pub customer: Option<&'a str>,
    /// Time left for the whole answer.
    pub time_left: Option<Duration>,
    /// The event after which a stream goes on; replaces what the caller asked for.
    pub resume_after: Option<u64>,
}

/// Translates heads of messages. Everything else treats headers as opaque.
pub trait HeaderCodec {
    /// The id of the caller's attempt, for logs; empty where there is none.
    fn attempt_id(&self, headers: &HeaderMap) -> String;

    /// Reads the head of a caller's request; an error names what is wrong with it.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// The headers for an upstream: the caller's without those that are the system's to set, and
    /// those of this hand-over.
    fn encode_request(&self, from_caller: &HeaderMap, metadata: AttemptMetadata<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;
}
