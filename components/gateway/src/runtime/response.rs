//! Builds the HTTP responses that callers get.

use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, header};
use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::http::{Response, ResponseBuilder};

use super::HeldBytes;
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
        body: HeldBody,
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

/// Part of a body that is passed to the server at a time. The server asks for the next one when the
/// caller has taken most of what it was given.
const BODY_CHUNK_BYTES: usize = 16 << 10;

/// Complete body of a response. Its bytes count as held until the server has been given all of them.
pub(super) struct HeldBody {
    rest: Bytes,
    length: u64,
    _held: HeldBytes,
    open_request: Option<OpenRequest>,
}

impl HeldBody {
    pub(super) fn new(body: Bytes, held: HeldBytes) -> HeldBody {
        HeldBody { length: body.len() as u64, rest: body, _held: held, open_request: None }
    }
}

impl MessageBody for HeldBody {
    fn size(&self) -> BodySize {
        if self.length == 0 { BodySize::Empty } else { BodySize::Sized(self.length) }
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<ntex::util::Bytes, Rc<dyn Error>>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let chunk = self.rest.split_to(BODY_CHUNK_BYTES.min(self.rest.len()));
        if self.rest.is_empty() {
            self.open_request = None;
        }
        Poll::Ready(Some(Ok(ntex::util::Bytes::copy_from_slice(&chunk))))
    }
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
            let open_request = Some(open_request);
            builder.body(Body::from_message(HeldBody { open_request, ..body }))
        }
        CallerResponse::Stream { relay, .. } => {
            builder.streaming(relay.into_event_stream(open_request))
        }
    }
}
