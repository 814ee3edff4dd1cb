//! Buffers of generated responses, retained so that a reader can resume at an offset.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use serde_json::json;
use tokio::sync::watch;
use web::Response;
use xxhash_rust::xxh3::xxh3_64;

use crate::lock;

/// Finished responses that remain readable.
const RETAINED_RESPONSES: usize = 256;

/// Chunks that are buffered for a slow reader.
const CHUNK_QUEUE_LEN: usize = 64;

/// Returns the text that an engine generates for a prompt.
///
/// Each token holds a hash of the prompt and its own index, so that a reader detects text of
/// another request and repeated or missing tokens.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|token| token_text(prompt, token)).collect()
}

fn token_text(prompt: &str, token: u32) -> String {
    format!("{:08x}-{token} ", xxh3_64(prompt.as_bytes()) as u32)
}

/// Response of one request, filled as tokens are generated.
#[derive(Debug)]
pub(super) struct ResponseBuffer {
    prompt: String,
    stream: bool,
    state: Mutex<State>,
    growth: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    text: String,
    is_finished: bool,
}

impl ResponseBuffer {
    pub(super) fn new(prompt: &str, stream: bool) -> Arc<ResponseBuffer> {
        Arc::new(ResponseBuffer {
            prompt: prompt.to_owned(),
            stream,
            state: Mutex::default(),
            growth: watch::channel(0).0,
        })
    }

    pub(super) fn prompt(&self) -> &str {
        &self.prompt
    }

    /// Appends a token, unless the request has been cancelled.
    pub(super) fn push_token(&self, token: u32) {
        let text = token_text(&self.prompt, token);
        let mut state = lock(&self.state);
        if state.is_finished {
            return;
        }
        if self.stream {
            state.bytes.extend_from_slice(stream_event(&text).as_bytes());
        }
        state.text.push_str(&text);
        drop(state);
        self.growth.send_modify(|count| *count += 1);
    }

    /// Finishes the response. That of a cancelled request gets no closing chunk, so that a reader
    /// sees it as truncated.
    pub(super) fn finish(&self, is_complete: bool) {
        let mut state = lock(&self.state);
        let closing = match (is_complete, self.stream) {
            (false, _) => String::new(),
            (true, true) => "data: [DONE]\n\n".to_owned(),
            (true, false) => completion_body(&state.text),
        };
        state.bytes.extend_from_slice(closing.as_bytes());
        state.is_finished = true;
        drop(state);
        self.growth.send_modify(|count| *count += 1);
    }

    /// Returns an HTTP response that streams the bytes from an offset on, also those still to come.
    pub(super) fn to_http_response(self: &Arc<Self>, offset_bytes: usize) -> Response {
        let content_type = if self.stream { "text/event-stream" } else { "application/json" };
        let (chunks, response) = Response::streamed(200, content_type, CHUNK_QUEUE_LEN);
        let buffer = self.clone();
        let mut growth = self.growth.subscribe();
        tokio::spawn(async move {
            let mut offset = offset_bytes;
            loop {
                growth.borrow_and_update();
                let (chunk, is_finished) = buffer.read_from(offset);
                offset += chunk.len();
                if !chunk.is_empty() && chunks.send(chunk).await.is_err() {
                    return;
                }
                if is_finished || growth.changed().await.is_err() {
                    return;
                }
            }
        });
        response
    }

    fn read_from(&self, offset: usize) -> (Bytes, bool) {
        let state = lock(&self.state);
        let chunk = state.bytes.get(offset..).unwrap_or_default();
        (Bytes::copy_from_slice(chunk), state.is_finished)
    }
}

/// Response buffers by request id. Of the finished ones, the oldest are evicted first.
#[derive(Debug, Default)]
pub(super) struct ResponseBuffers {
    by_id: BTreeMap<String, Arc<ResponseBuffer>>,
    finished: VecDeque<String>,
}

impl ResponseBuffers {
    pub(super) fn insert(&mut self, id: &str, buffer: Arc<ResponseBuffer>) {
        self.by_id.insert(id.to_owned(), buffer);
    }

    pub(super) fn get(&self, id: &str) -> Option<&Arc<ResponseBuffer>> {
        self.by_id.get(id)
    }

    /// Finishes a response and retains it for readers that resume.
    pub(super) fn finish(&mut self, id: &str, is_complete: bool) {
        let Some(buffer) = self.by_id.get(id) else { return };
        buffer.finish(is_complete);
        self.finished.push_back(id.to_owned());
        if self.finished.len() > RETAINED_RESPONSES
            && let Some(oldest) = self.finished.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }
}

fn stream_event(text: &str) -> String {
    let event = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": text } }],
    });
    format!("data: {event}\n\n")
}

fn completion_body(text: &str) -> String {
    let message = json!({ "role": "assistant", "content": text });
    json!({ "object": "chat.completion", "choices": [{ "index": 0, "message": message }] })
        .to_string()
}
