//! Interface to the platform adapter, which defines the names of headers.

use std::time::Duration;

use http::{HeaderMap, StatusCode};

use crate::model::{RequestMetadata, ResponseMetadata};

/// Metadata sent along with a request to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMetadata<'a> {
    /// Instance that the request is meant for; any other instance declines it.
    pub instance: &'a str,
    /// Customer name, on routes that require an API key.
    pub customer: Option<&'a str>,
    /// Time left until the complete response is due.
    pub time_left: Option<Duration>,
    /// Id of the event after which a stream resumes; replaces the one that the caller sent.
    pub resume_after: Option<u64>,
}

/// Translates between message headers and metadata. The rest of the crate treats headers as opaque.
pub trait HeaderCodec {
    /// Returns the id of the caller's attempt, for logs; empty if there is none.
    fn attempt_id(&self, headers: &HeaderMap) -> String;

    /// Decodes the headers of a caller's request; the error says what is wrong with them.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// Builds the headers for an upstream: those of the caller, except the ones that only the
    /// system sets, and those of this attempt.
    fn encode_request(&self, from_caller: &HeaderMap, metadata: AttemptMetadata<'_>) -> HeaderMap;

    /// Decodes the headers of an upstream's response.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;
}
