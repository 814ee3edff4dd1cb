//! A caller: model requests and bookings, each followed in a task of its own.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use standin::engine::expected_text;
use tokio::runtime::Handle;
use tokio::sync::watch;
use web::{Client, Request};

use crate::CallerResponse;
use crate::plan::{MODEL, SERVICE, bearer_key_of};

/// How long a caller waits for the head of an answer.
const HEAD_LIMIT: Duration = Duration::from_secs(90);

/// A model request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ModelRequest {
    /// Who asks.
    pub customer: String,
    /// The bearer key; the customer's own where empty.
    pub key: String,
    /// The request id; drawn by the entry where empty.
    pub id: String,
    /// The model.
    pub model: String,
    /// The prompt.
    pub text: String,
    /// Tokens to generate.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The deadline; the configuration's where 0.
    pub deadline_ms: u64,
    /// Sent as the body in place of one made of the fields, where not empty.
    pub body: String,
}

/// A paid booking.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Booking {
    /// Who books.
    pub customer: String,
    /// The idempotency key; none is sent where empty.
    pub key: String,
    /// The request id; drawn by the entry where empty.
    pub id: String,
    /// The pitch, which makes the body.
    pub pitch: String,
    /// The deadline; the configuration's where 0.
    pub deadline_ms: u64,
}

impl Default for ModelRequest {
    fn default() -> Self {
        ModelRequest {
            customer: "seller".to_owned(),
            key: String::new(),
            id: String::new(),
            model: MODEL.to_owned(),
            text: "Is pitch A-17 wide enough for a van?".to_owned(),
            tokens: 16,
            stream: true,
            deadline_ms: 0,
            body: String::new(),
        }
    }
}

impl Default for Booking {
    fn default() -> Self {
        Booking {
            customer: "seller".to_owned(),
            key: String::new(),
            id: String::new(),
            pitch: "A-17".to_owned(),
            deadline_ms: 0,
        }
    }
}

impl ModelRequest {
    /// The text that an engine generates for it.
    pub fn expected_text(&self) -> String {
        expected_text(&self.text, self.tokens)
    }
}

impl From<&ModelRequest> for Request {
    fn from(asked: &ModelRequest) -> Request {
        let key =
            if asked.key.is_empty() { bearer_key_of(&asked.customer) } else { asked.key.clone() };
        let made = json!({ "model": asked.model, "max_tokens": asked.tokens,
            "stream": asked.stream,
            "messages": [{ "role": "user", "content": asked.text }] });
        let body = if asked.body.is_empty() { made.to_string() } else { asked.body.clone() };
        let request = Request::new("POST", "/v1/chat/completions").body(body);
        with_headers(request, &key, &asked.id, asked.deadline_ms)
    }
}

impl From<&Booking> for Request {
    fn from(booking: &Booking) -> Request {
        let body = json!({ "pitch": booking.pitch }).to_string();
        let request = Request::new("POST", &format!("/services/{SERVICE}/bookings")).body(body);
        let key = bearer_key_of(&booking.customer);
        let request = with_headers(request, &key, &booking.id, booking.deadline_ms);
        if booking.key.is_empty() {
            return request;
        }
        request.header("idempotency-key", &booking.key)
    }
}

fn with_headers(request: Request, key: &str, id: &str, deadline_ms: u64) -> Request {
    let mut request = request
        .header("authorization", &format!("Bearer {key}"))
        .header("content-type", "application/json");
    if !id.is_empty() {
        request = request.header("x-request-id", id);
    }
    if deadline_ms > 0 {
        request = request.header("x-deadline-ms", &deadline_ms.to_string());
    }
    request
}

/// A request that is under way; it is given up when the last copy is dropped.
#[derive(Debug, Clone)]
pub struct PendingResponse {
    followed: Arc<Followed>,
    runtime: Handle,
}

#[derive(Debug)]
struct Followed {
    answer: Arc<Mutex<CallerResponse>>,
    grown: watch::Receiver<bool>,
    looked_at: AtomicBool,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Followed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PendingResponse {
    pub(crate) fn spawn(
        runtime: &Handle,
        client: Client,
        address: SocketAddr,
        request: Request,
        expected: String,
    ) -> PendingResponse {
        let answer = Arc::new(Mutex::new(CallerResponse { expected, ..CallerResponse::default() }));
        let (sender, grown) = watch::channel(false);
        let task = runtime.spawn(follow(client, address, request, answer.clone(), sender));
        PendingResponse {
            followed: Arc::new(Followed { answer, grown, looked_at: AtomicBool::new(false), task }),
            runtime: runtime.clone(),
        }
    }

    /// The response as far as it has arrived.
    pub fn partial_response(&self) -> CallerResponse {
        lock(&self.followed.answer).clone()
    }

    /// Waits for the end of the answer; past the limit it counts as broken.
    pub fn wait(&self, limit: Duration) -> CallerResponse {
        if !self.wait_until(limit, |answer| answer.ended || answer.broken.is_some()) {
            let mut answer = self.partial_response();
            answer.broken = Some(format!("not ended after {} ms", limit.as_millis()));
            return answer;
        }
        self.partial_response()
    }

    /// Whether nobody asked this before, so that a trace shows an answer once.
    pub(crate) fn is_first_look(&self) -> bool {
        !self.followed.looked_at.swap(true, Ordering::Relaxed)
    }

    /// Waits until so many tokens have come; false past the limit.
    pub fn wait_for_tokens(&self, tokens: usize, limit: Duration) -> bool {
        self.wait_until(limit, |answer| answer.tokens() >= tokens)
    }

    fn wait_until(&self, limit: Duration, is_met: impl Fn(&CallerResponse) -> bool) -> bool {
        let mut grown = self.followed.grown.clone();
        let met = async {
            loop {
                grown.borrow_and_update();
                if is_met(&self.partial_response()) {
                    return true;
                }
                if grown.changed().await.is_err() {
                    return is_met(&self.partial_response());
                }
            }
        };
        self.runtime.block_on(async { tokio::time::timeout(limit, met).await.unwrap_or(false) })
    }
}

async fn follow(
    client: Client,
    address: SocketAddr,
    request: Request,
    answer: Arc<Mutex<CallerResponse>>,
    grown: watch::Sender<bool>,
) {
    let mut response = match client.send(address, request, HEAD_LIMIT).await {
        Ok(response) => response,
        Err(error) => {
            lock(&answer).broken = Some(error.to_string());
            return;
        }
    };
    {
        let mut answer = lock(&answer);
        answer.status = response.status;
        answer.request_id = response.headers.get("x-request-id").unwrap_or_default().to_owned();
    }
    let mut raw = Vec::new();
    while let Some(piece) = response.body.recv().await {
        match piece {
            Ok(bytes) => raw.extend_from_slice(&bytes),
            Err(error) => {
                lock(&answer).broken = Some(error.to_string());
                return;
            }
        }
        lock(&answer).body = String::from_utf8_lossy(&raw).into_owned();
        let _ = grown.send(true);
    }
    lock(&answer).ended = true;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
