//! What a caller gets of an answer: a stream as it grows, anything else only whole.

use std::time::Duration;

use bytes::Bytes;
use errors::Refusal;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

/// How long a caller may take nothing of a stream before it counts as gone.
const CALLER_STALL_LIMIT: Duration = Duration::from_secs(30);

/// Content type of a stream of server-sent events.
const STREAM_TYPE: &str = "text/event-stream";

/// What the caller gets first.
pub(super) enum Opening {
    /// The head of an answer whose pieces follow.
    Head { status: u16, content_type: String },
    /// A whole answer.
    Whole { status: u16, content_type: String, body: Bytes },
    /// No answer.
    Refused(Refusal),
}

/// Carries the id of the request and what the caller gets first.
pub(super) type OpeningSender = oneshot::Sender<(String, Opening)>;

/// Whether the caller is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Given {
    Taken,
    CallerGone,
}

/// Gives an answer to its caller.
pub(super) struct AnswerSink {
    request_id: String,
    wants_stream: bool,
    opening: Option<OpeningSender>,
    pieces: Option<mpsc::Sender<Bytes>>,
    held: Option<HeldAnswer>,
}

/// An answer that is held until it is whole.
struct HeldAnswer {
    status: u16,
    content_type: String,
    body: Vec<u8>,
}

impl AnswerSink {
    pub(super) fn new(
        request_id: String,
        wants_stream: bool,
        opening: OpeningSender,
        pieces: mpsc::Sender<Bytes>,
    ) -> AnswerSink {
        let (opening, pieces) = (Some(opening), Some(pieces));
        AnswerSink { request_id, wants_stream, opening, pieces, held: None }
    }

    /// Takes the head of the answer.
    pub(super) fn open(&mut self, status: u16, content_type: String) {
        if self.wants_stream && content_type.starts_with(STREAM_TYPE) {
            self.say(Opening::Head { status, content_type });
        } else {
            self.held = Some(HeldAnswer { status, content_type, body: Vec::new() });
        }
    }

    /// Takes the next piece; waits for a caller who is slow.
    pub(super) async fn push(&mut self, bytes: Bytes) -> Given {
        if let Some(held) = &mut self.held {
            held.body.extend_from_slice(&bytes);
            return Given::Taken;
        }
        let Some(pieces) = &self.pieces else { return Given::CallerGone };
        match pieces.send_timeout(bytes, CALLER_STALL_LIMIT).await {
            Ok(()) => Given::Taken,
            Err(_) => Given::CallerGone,
        }
    }

    /// The answer is whole.
    pub(super) fn finish(&mut self) {
        if let Some(HeldAnswer { status, content_type, body }) = self.held.take() {
            self.say(Opening::Whole { status, content_type, body: body.into() });
        }
        self.pieces = None;
    }

    /// There is no answer, or no more of it: a stream that has begun ends with an error event and
    /// without its closing mark.
    pub(super) async fn refuse(&mut self, refusal: Refusal) {
        if self.opening.is_some() {
            self.say(Opening::Refused(refusal));
        } else {
            let event = format!("data: {}\n\n", json!({ "error": refusal.body() }));
            self.push(event.into()).await;
        }
        self.pieces = None;
    }

    /// Returns once the caller is gone.
    pub(super) async fn wait_until_gone(&self) {
        match &self.pieces {
            Some(pieces) => pieces.closed().await,
            None => std::future::pending().await,
        }
    }

    fn say(&mut self, opening: Opening) {
        if let Some(sender) = self.opening.take() {
            let _ = sender.send((self.request_id.clone(), opening));
        }
    }
}
