//! HTTP responses for refusals.

use std::time::Duration;

use errors::{Refusal, ResultCode};
use http::{StatusCode, header};
use ntex::http::Response;
use ntex::http::body::{Body, BodySize, ResponseBody};
use ntex::http::h1::{Codec, Message};
use ntex::io::IoRef;
use ntex::util::Bytes;

/// Retry delay given where only this process has no room: callers' retries reach others.
const OTHER_PROCESS_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Refusal of a request for which this process has no room.
pub fn no_room() -> Refusal {
    Refusal::not_run(ResultCode::GatewayFull).with_retry_after(OTHER_PROCESS_RETRY_AFTER)
}

/// Builds the error response for a refusal. `close` closes the connection after it.
pub fn build_refusal(refusal: &Refusal, close: bool) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    if let Some(retry_after) = refusal.retry_after {
        builder.header(header::RETRY_AFTER, format_seconds(retry_after));
    }
    if close {
        builder.force_close();
    }
    builder.json(&refusal.body())
}

fn format_seconds(duration: Duration) -> String {
    format!("{:.3}", duration.as_secs_f64())
}

/// Writes the response to a request that the HTTP server has not begun.
pub(crate) fn write_refusal(stream: &IoRef, refusal: &Refusal) {
    let codec = Codec::new(0, stream.shared().get());
    let (head, body) = build_refusal(refusal, true).into_parts();
    let content = match body {
        ResponseBody::Body(Body::Bytes(content)) | ResponseBody::Other(Body::Bytes(content)) => {
            content
        }
        _ => Bytes::new(),
    };
    let parts = [
        Message::Item((head, BodySize::Sized(content.len() as u64))),
        Message::Chunk(Some(content)),
        Message::Chunk(None),
    ];
    for part in parts {
        if let Err(error) = stream.encode(part, &codec) {
            log::debug!("connection.refusal_unwritten error={error}");
        }
    }
}
