//! Answers as they grow, kept a while so that a reader can resume.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use serde_json::json;
use tokio::sync::watch;
use web::Response;
use xxhash_rust::xxh3::xxh3_64;

use crate::lock;

/// Finished answers that are kept.
const KEPT_ANSWERS: usize = 256;

/// Pieces that wait for their reader.
const PIECE_QUEUE: usize = 64;

/// The text that an engine generates for a prompt: each token names the prompt, so that a crossed,
/// repeated or missing piece shows.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|token| word(prompt, token)).collect()
}

fn word(prompt: &str, token: u32) -> String {
    format!("{:08x}-{token} ", xxh3_64(prompt.as_bytes()) as u32)
}

/// The answer of one request.
#[derive(Debug)]
pub(super) struct Answer {
    prompt: String,
    stream: bool,
    state: Mutex<State>,
    grown: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    text: String,
    ended: bool,
}

impl Answer {
    pub(super) fn new(prompt: &str, stream: bool) -> Arc<Answer> {
        Arc::new(Answer {
            prompt: prompt.to_owned(),
            stream,
            state: Mutex::default(),
            grown: watch::channel(0).0,
        })
    }

    pub(super) fn prompt(&self) -> &str {
        &self.prompt
    }

    /// Appends a token, unless the answer was cancelled meanwhile.
    pub(super) fn push_token(&self, token: u32) {
        let word = word(&self.prompt, token);
        let mut state = lock(&self.state);
        if state.ended {
            return;
        }
        if self.stream {
            state.bytes.extend_from_slice(stream_event(&word).as_bytes());
        }
        state.text.push_str(&word);
        drop(state);
        self.grown.send_modify(|count| *count += 1);
    }

    /// Ends the answer; one that was cancelled has no proper last piece.
    pub(super) fn end(&self, whole: bool) {
        let mut state = lock(&self.state);
        let last = match (whole, self.stream) {
            (false, _) => String::new(),
            (true, true) => "data: [DONE]\n\n".to_owned(),
            (true, false) => whole_body(&state.text),
        };
        state.bytes.extend_from_slice(last.as_bytes());
        state.ended = true;
        drop(state);
        self.grown.send_modify(|count| *count += 1);
    }

    /// A response with the bytes from an offset on, as they come.
    pub(super) fn respond(self: &Arc<Self>, offset_bytes: usize) -> Response {
        let content_type = if self.stream { "text/event-stream" } else { "application/json" };
        let (pieces, response) = Response::streamed(200, content_type, PIECE_QUEUE);
        let answer = self.clone();
        let mut grown = self.grown.subscribe();
        tokio::spawn(async move {
            let mut offset = offset_bytes;
            loop {
                grown.borrow_and_update();
                let (piece, ended) = answer.read(offset);
                offset += piece.len();
                if !piece.is_empty() && pieces.send(piece).await.is_err() {
                    return;
                }
                if ended || grown.changed().await.is_err() {
                    return;
                }
            }
        });
        response
    }

    fn read(&self, offset: usize) -> (Bytes, bool) {
        let state = lock(&self.state);
        let piece = state.bytes.get(offset..).unwrap_or_default();
        (Bytes::copy_from_slice(piece), state.ended)
    }
}

/// Answers by request id; finished ones go, oldest first.
#[derive(Debug, Default)]
pub(super) struct Answers {
    by_id: BTreeMap<String, Arc<Answer>>,
    finished: VecDeque<String>,
}

impl Answers {
    pub(super) fn insert(&mut self, id: &str, answer: Arc<Answer>) {
        self.by_id.insert(id.to_owned(), answer);
    }

    pub(super) fn get(&self, id: &str) -> Option<&Arc<Answer>> {
        self.by_id.get(id)
    }

    /// Ends an answer and keeps it among the last ones.
    pub(super) fn end(&mut self, id: &str, whole: bool) {
        let Some(answer) = self.by_id.get(id) else { return };
        answer.end(whole);
        self.finished.push_back(id.to_owned());
        if self.finished.len() > KEPT_ANSWERS
            && let Some(oldest) = self.finished.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }
}

fn stream_event(word: &str) -> String {
    let event = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": word } }],
    });
    format!("data: {event}\n\n")
}

fn whole_body(text: &str) -> String {
    let message = json!({ "role": "assistant", "content": text });
    json!({ "object": "chat.completion", "choices": [{ "index": 0, "message": message }] })
        .to_string()
}
