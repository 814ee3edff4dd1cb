//! Decides whether a response belongs to the request that waits for one.
//!
//! Load pattern: bookings over connections that a faulty upstream keeps, on which it writes the
//! refusal of an earlier request once more. Taken for the refusal of the booking that it runs, it
//! would make the booking run twice, or tell its caller that it has not run.

use crate::model::ResponseMetadata;

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
