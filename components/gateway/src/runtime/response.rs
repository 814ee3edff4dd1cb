//! Builds the HTTP responses that callers get.

use std::time::Duration;

use bytes::Bytes;
use errors::Refusal;
use http::{HeaderMap, HeaderName, StatusCode, header};
use ntex::http::body::Body;
use ntex::http::{Response, ResponseBuilder};

use super::callers::OpenRequest;
use super::relay::Relay;

/// Response to a caller.
pub(super) enum CallerResponse {
    /// Complete response of an upstream.
    Complete {
        /// Status of the response.
        status: StatusCode,
        /// Headers of the response.
        headers: HeaderMap,
        /// Body of the response.
        body: Bytes,
    },
    /// Event stream of an upstream, from its first event on.
    Stream {
        /// Status of the response.
        status: StatusCode,
        /// Headers of the response.
        headers: HeaderMap,
        /// Relay of the events.
        relay: Box<Relay>,
    },
}

/// Hop-by-hop headers, and those that the server writes itself.
const UNFORWARDED_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::DATE,
];

fn copy_headers(builder: &mut ResponseBuilder, headers: &HeaderMap) {
    for (name, value) in headers {
        if !UNFORWARDED_HEADERS.contains(name) {
            builder.header(name.clone(), value.as_bytes());
        }
    }
}

/// Builds the response to a caller; `close` closes the connection after it. `open_request` is
/// dropped once the complete response or the last event has been passed to the server.
pub(super) fn build_response(
    response: CallerResponse,
    close: bool,
    open_request: OpenRequest,
) -> Response<Body> {
    let (status, headers) = match &response {
        CallerResponse::Complete { status, headers, .. }
        | CallerResponse::Stream { status, headers, .. } => (*status, headers),
    };
    let mut builder = Response::build(status);
    copy_headers(&mut builder, headers);
    if close {
        builder.force_close();
    }
    match response {
        CallerResponse::Complete { body, .. } => {
            builder.body(ntex::util::Bytes::copy_from_slice(&body))
        }
        CallerResponse::Stream { relay, .. } => {
            builder.streaming(relay.into_event_stream(open_request))
        }
    }
}

/// Builds the error response for a refusal.
pub(super) fn build_refusal(refusal: &Refusal, close: bool) -> Response<Body> {
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
