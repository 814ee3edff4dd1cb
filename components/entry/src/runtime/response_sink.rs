//! Delivery of a response to its caller. A stream is passed on as it arrives; any other response is
//! sent only once it is complete.

use std::time::Duration;

use bytes::Bytes;
use errors::Refusal;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

/// Longest time for which a caller may read nothing of a stream before it counts as gone.
const CALLER_STALL_LIMIT: Duration = Duration::from_secs(30);

/// Content type of a stream of server-sent events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// First part of a response: its head, the complete response, or a refusal.
pub(super) enum InitialResponse {
    /// Head of a streamed response; the chunks of its body follow.
    Head { status: u16, content_type: String },
    /// A complete response.
    Complete { status: u16, content_type: String, body: Bytes },
    /// A refusal.
    Refused(Refusal),
}

/// Sends the request id and the first part of the response.
pub(super) type InitialResponseSender = oneshot::Sender<(String, InitialResponse)>;

/// Result of writing a chunk of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteResult {
    Written,
    CallerGone,
}

/// Passes the response of one request on to its caller.
pub(super) struct ResponseSink {
    request_id: String,
    wants_stream: bool,
    initial_sender: Option<InitialResponseSender>,
    chunks: Option<mpsc::Sender<Bytes>>,
    buffered: Option<BufferedResponse>,
}

/// A response that is buffered until it is complete.
struct BufferedResponse {
    status: u16,
    content_type: String,
    body: Vec<u8>,
}

impl ResponseSink {
    pub(super) fn new(
        request_id: String,
        wants_stream: bool,
        initial_sender: InitialResponseSender,
        chunks: mpsc::Sender<Bytes>,
    ) -> ResponseSink {
        let (initial_sender, chunks) = (Some(initial_sender), Some(chunks));
        ResponseSink { request_id, wants_stream, initial_sender, chunks, buffered: None }
    }

    /// Starts the response with its head.
    pub(super) fn start(&mut self, status: u16, content_type: String) {
        if self.wants_stream && content_type.starts_with(EVENT_STREAM_TYPE) {
            self.send_initial(InitialResponse::Head { status, content_type });
        } else {
            self.buffered = Some(BufferedResponse { status, content_type, body: Vec::new() });
        }
    }

    /// Writes the next chunk of the body. Waits while the caller is slow to read.
    pub(super) async fn write_chunk(&mut self, bytes: Bytes) -> WriteResult {
        if let Some(buffered) = &mut self.buffered {
            buffered.body.extend_from_slice(&bytes);
            return WriteResult::Written;
        }
        let Some(chunks) = &self.chunks else { return WriteResult::CallerGone };
        match chunks.send_timeout(bytes, CALLER_STALL_LIMIT).await {
            Ok(()) => WriteResult::Written,
            Err(_) => WriteResult::CallerGone,
        }
    }

    /// Completes the response.
    pub(super) fn complete(&mut self) {
        if let Some(BufferedResponse { status, content_type, body }) = self.buffered.take() {
            self.send_initial(InitialResponse::Complete {
                status,
                content_type,
                body: body.into(),
            });
        }
        self.chunks = None;
    }

    /// Ends the request with a refusal. A stream that has started ends with an error event and
    /// without the event that marks its regular end.
    pub(super) async fn refuse(&mut self, refusal: Refusal) {
        if self.initial_sender.is_some() {
            self.send_initial(InitialResponse::Refused(refusal));
        } else {
            let event = format!("data: {}\n\n", json!({ "error": refusal.body() }));
            self.write_chunk(event.into()).await;
        }
        self.chunks = None;
    }

    /// Waits until the caller is gone.
    pub(super) async fn wait_until_caller_gone(&self) {
        match &self.chunks {
            Some(chunks) => chunks.closed().await,
            None => std::future::pending().await,
        }
    }

    fn send_initial(&mut self, response: InitialResponse) {
        if let Some(sender) = self.initial_sender.take() {
            let _ = sender.send((self.request_id.clone(), response));
        }
    }
}
