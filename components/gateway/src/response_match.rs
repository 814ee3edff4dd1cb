//! Decides whether a response belongs to the request that waits for one, and can be its answer.
//!
//! Load pattern: bookings over connections that a faulty upstream keeps, on which it writes the
//! refusal of an earlier request once more. Taken for the refusal of the booking that it runs, it
//! would make the booking run twice, or tell its caller that it has not run. Or the faulty upstream
//! writes a status that tells the caller's connection to change its protocol, or that none has.

use http::header::{CONTENT_ENCODING, IF_MODIFIED_SINCE, IF_NONE_MATCH, RANGE};
use http::{HeaderMap, StatusCode};

use crate::model::ResponseMetadata;

/// Largest status that HTTP defines a class for.
const MAX_STATUS: u16 = 599;

/// Whether a response belongs to the request with `attempt_id`, the last of `request_count` that were
/// sent on its connection.
pub fn belongs_to_request(
    response: &ResponseMetadata,
    is_success: bool,
    attempt_id: &str,
    request_count: u32,
) -> bool {
    match response.attempt_id.as_deref() {
        Some(echoed_id) => echoed_id == attempt_id && (response.signed || !is_success),
        // An upstream that cannot read a request may not name it. On a connection that has served
        // other requests, it may be one of those that the response belongs to.
        None => request_count <= 1 && !is_success,
    }
}

/// Whether the answer to a request with these headers can have a status. Interim responses are none,
/// nor is a change of the protocol: requests ask for no other one.
pub fn is_answer_status(status: StatusCode, request: &HeaderMap) -> bool {
    match status {
        StatusCode::PARTIAL_CONTENT => request.contains_key(RANGE),
        StatusCode::NOT_MODIFIED => {
            request.contains_key(IF_NONE_MATCH) || request.contains_key(IF_MODIFIED_SINCE)
        }
        _ => !status.is_informational() && status.as_u16() <= MAX_STATUS,
    }
}

/// Whether a response holds the body as the upstream wrote it. Callers ask for bodies without any
/// encoding.
pub fn is_unencoded(response: &HeaderMap) -> bool {
    !response.contains_key(CONTENT_ENCODING)
}
