//! Answers in the form that the server sends.

use std::time::Duration;

use bytes::Bytes;
use errors::Refusal;
use http::{HeaderMap, HeaderName, StatusCode, header};
use ntex::http::body::Body;
use ntex::http::{Response, ResponseBuilder};

use super::callers::OpenRequest;
use super::relay::Relay;

/// What goes back to the caller.
pub(super) enum Delivery {
    /// An upstream's answer, whole.
    Whole {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// Its body.
        body: Bytes,
    },
    /// An upstream's stream, from its first event on.
    Stream {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// Its events.
        relay: Box<Relay>,
    },
}

/// Headers that concern one connection only, and those that the server writes itself.
const OF_THE_CONNECTION: [HeaderName; 10] = [
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
        if !OF_THE_CONNECTION.contains(name) {
            builder.header(name.clone(), value.as_bytes());
        }
    }
}

/// Builds the response; `close` says that it is the connection's last. `open` lives as long as
/// there is something to send.
pub(super) fn build(delivery: Delivery, close: bool, open: OpenRequest) -> Response<Body> {
    let (status, headers) = match &delivery {
        Delivery::Whole { status, headers, .. } | Delivery::Stream { status, headers, .. } => {
            (*status, headers)
        }
    };
    let mut builder = Response::build(status);
    copy_headers(&mut builder, headers);
    if close {
        builder.force_close();
    }
    match delivery {
        Delivery::Whole { body, .. } => builder.body(ntex::util::Bytes::copy_from_slice(&body)),
        Delivery::Stream { relay, .. } => builder.streaming(relay.into_events(open)),
    }
}

/// Builds the response of a refusal.
pub(super) fn build_refusal(refusal: &Refusal, close: bool) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    if let Some(wait) = refusal.retry_after {
        builder.header(header::RETRY_AFTER, seconds(wait));
    }
    if close {
        builder.force_close();
    }
    builder.json(&refusal.body())
}

fn seconds(wait: Duration) -> String {
    format!("{:.3}", wait.as_secs_f64())
}
