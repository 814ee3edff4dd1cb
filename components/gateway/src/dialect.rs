//! What the gateway asks of the adapter that knows the names on the wire.

use std::time::Duration;

use http::{HeaderMap, StatusCode};

use crate::model::{AnswerFacts, RequestFacts};

/// What goes along with a request that is handed to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct HandOverFacts<'a> {
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
pub trait Dialect {
    /// The id of the caller's attempt, for logs; empty where there is none.
    fn attempt_id(&self, headers: &HeaderMap) -> String;

    /// Reads the head of a caller's request; an error names what is wrong with it.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestFacts, String>;

    /// The headers for an upstream: the caller's without those that are the system's to set, and
    /// those of this hand-over.
    fn write_request(&self, from_caller: &HeaderMap, facts: HandOverFacts<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;
}
