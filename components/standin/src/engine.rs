//! A model engine: prefill and decode at given speeds, chat-completions over HTTP.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use web::{BodySender, Handler, Request, Response};

/// Bytes of text to a token.
const BYTES_PER_TOKEN: usize = 4;

/// Pieces that wait for their reader.
const PIECE_QUEUE: usize = 64;

/// Speeds of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Speeds {
    /// Prompt tokens a second.
    pub prefill_tokens_per_s: u32,
    /// Generated tokens a second for one request.
    pub decode_tokens_per_s: u32,
}

/// The engine.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

struct Shared {
    speeds: Speeds,
    running: Mutex<BTreeMap<String, watch::Sender<bool>>>,
    starts: Mutex<BTreeMap<String, u32>>,
}

#[derive(Debug, Deserialize)]
struct Call {
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

/// Tokens that are generated where the call states no limit.
const DEFAULT_TOKENS: u32 = 16;

impl Engine {
    /// An engine with the given speeds.
    pub fn new(speeds: Speeds) -> Engine {
        let shared = Shared { speeds, running: Mutex::default(), starts: Mutex::default() };
        Engine { shared: Arc::new(shared) }
    }

    /// How often each request was started.
    pub fn starts(&self) -> BTreeMap<String, u32> {
        lock(&self.shared.starts).clone()
    }

    async fn complete(&self, request: &Request) -> Response {
        let call: Call = match serde_json::from_slice(&request.body) {
            Ok(call) => call,
            Err(error) => return Response::json(400, &json!({ "message": error.to_string() })),
        };
        let id = request.headers.get("x-request-id").unwrap_or_default().to_owned();
        *lock(&self.shared.starts).entry(id.clone()).or_default() += 1;
        let (cancel, cancelled) = watch::channel(false);
        lock(&self.shared.running).insert(id.clone(), cancel);
        let content_type = if call.stream { "text/event-stream" } else { "application/json" };
        let (pieces, response) = Response::streamed(200, content_type, PIECE_QUEUE);
        let engine = self.clone();
        tokio::spawn(async move {
            engine.generate(&call, &pieces, cancelled).await;
            lock(&engine.shared.running).remove(&id);
        });
        response
    }

    async fn generate(
        &self,
        call: &Call,
        pieces: &BodySender,
        mut cancelled: watch::Receiver<bool>,
    ) {
        let bytes: usize = call.messages.iter().map(|message| message.content.len()).sum();
        let prompt_tokens = bytes.div_ceil(BYTES_PER_TOKEN) as f64;
        let speeds = self.shared.speeds;
        let prefill =
            Duration::from_secs_f64(prompt_tokens / f64::from(speeds.prefill_tokens_per_s));
        let step = Duration::from_secs_f64(1.0 / f64::from(speeds.decode_tokens_per_s));
        let tokens = call.max_tokens.unwrap_or(DEFAULT_TOKENS);
        tokio::time::sleep(prefill).await;
        let mut text = String::new();
        for token in 0..tokens {
            tokio::select! {
                () = tokio::time::sleep(step) => {}
                _ = cancelled.changed() => return,
                () = pieces.closed() => return,
            }
            let word = format!("token{token} ");
            text.push_str(&word);
            if call.stream && pieces.send(stream_piece(&word).into()).await.is_err() {
                return;
            }
        }
        let last = if call.stream { "data: [DONE]\n\n".to_owned() } else { whole_answer(&text) };
        let _ = pieces.send(last.into()).await;
    }

    fn cancel(&self, id: &str) -> Response {
        match lock(&self.shared.running).get(id) {
            Some(cancel) => {
                let _ = cancel.send(true);
                Response::json(200, &json!({}))
            }
            None => Response::json(404, &json!({})),
        }
    }
}

fn stream_piece(word: &str) -> String {
    let piece = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": word } }],
    });
    format!("data: {piece}\n\n")
}

fn whole_answer(text: &str) -> String {
    let message = json!({ "role": "assistant", "content": text });
    json!({ "object": "chat.completion", "choices": [{ "index": 0, "message": message }] })
        .to_string()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[async_trait]
impl Handler for Engine {
    async fn handle(&self, request: Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/chat/completions") => self.complete(&request).await,
            ("DELETE", path) => self.cancel(path.strip_prefix("/v1/requests/").unwrap_or_default()),
            ("GET", "/starts") => Response::json(200, &self.starts()),
            _ => Response::json(404, &json!({})),
        }
    }
}
