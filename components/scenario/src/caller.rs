//! Client side of a scenario: model requests and bookings. A task of its own reads each response.

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

/// Timeout of a caller for the head of a response.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(90);

/// A model request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ModelRequest {
    /// The customer that sends the request.
    pub customer: String,
    /// The bearer key; if empty, the key of the customer.
    pub key: String,
    /// The request id; if empty, the entry process generates one.
    pub id: String,
    /// Name of the model.
    pub model: String,
    /// The prompt.
    pub text: String,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// The deadline; if 0, the default of the configuration applies.
    pub deadline_ms: u64,
    /// If not empty, sent as the body in place of the one built from the other fields.
    pub body: String,
}

/// A paid booking: a call that must run at most once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Booking {
    /// The customer that books.
    pub customer: String,
    /// The idempotency key; if empty, none is sent.
    pub key: String,
    /// The request id; if empty, the entry process generates one.
    pub id: String,
    /// The pitch that is booked; it is sent in the body.
    pub pitch: String,
    /// The deadline; if 0, the default of the configuration applies.
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
    /// The text that an engine generates for this request.
    pub fn expected_text(&self) -> String {
        expected_text(&self.text, self.tokens)
    }
}

impl From<&ModelRequest> for Request {
    fn from(model_request: &ModelRequest) -> Request {
        let key = if model_request.key.is_empty() {
            bearer_key_of(&model_request.customer)
        } else {
            model_request.key.clone()
        };
        let default_body = json!({ "model": model_request.model, "max_tokens": model_request.tokens,
            "stream": model_request.stream,
            "messages": [{ "role": "user", "content": model_request.text }] });
        let body = if model_request.body.is_empty() {
            default_body.to_string()
        } else {
            model_request.body.clone()
        };
        let request = Request::new("POST", "/v1/chat/completions").body(body);
        add_headers(request, &key, &model_request.id, model_request.deadline_ms)
    }
}

impl From<&Booking> for Request {
    fn from(booking: &Booking) -> Request {
        let body = json!({ "pitch": booking.pitch }).to_string();
        let request = Request::new("POST", &format!("/services/{SERVICE}/bookings")).body(body);
        let key = bearer_key_of(&booking.customer);
        let request = add_headers(request, &key, &booking.id, booking.deadline_ms);
        if booking.key.is_empty() {
            return request;
        }
        request.header("idempotency-key", &booking.key)
    }
}

fn add_headers(request: Request, key: &str, id: &str, deadline_ms: u64) -> Request {
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

/// Handle of a request in flight. The request is aborted when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct PendingResponse {
    reader: Arc<ResponseReader>,
    runtime: Handle,
}

#[derive(Debug)]
struct ResponseReader {
    received: Arc<Mutex<CallerResponse>>,
    /// Notified of each chunk of the body, closed when the request has ended.
    progress: watch::Receiver<bool>,
    traced: AtomicBool,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for ResponseReader {
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
        expected_text: String,
    ) -> PendingResponse {
        let received =
            Arc::new(Mutex::new(CallerResponse { expected_text, ..CallerResponse::default() }));
        let (sender, progress) = watch::channel(false);
        let task = runtime.spawn(read_response(client, address, request, received.clone(), sender));
        PendingResponse {
            reader: Arc::new(ResponseReader {
                received,
                progress,
                traced: AtomicBool::new(false),
                task,
            }),
            runtime: runtime.clone(),
        }
    }

    /// The response as far as it has arrived.
    pub fn partial_response(&self) -> CallerResponse {
        lock(&self.reader.received).clone()
    }

    /// Waits for the end of the response. On timeout, returns what has arrived, with an error.
    pub fn wait_for_end(&self, timeout: Duration) -> CallerResponse {
        if !self.wait_until(timeout, |response| response.ended || response.error.is_some()) {
            let mut response = self.partial_response();
            response.error = Some(format!("response not ended after {} ms", timeout.as_millis()));
            return response;
        }
        self.partial_response()
    }

    /// Marks the response as written to the trace, so that it appears there once. Returns whether
    /// this is the first call.
    pub(crate) fn mark_traced(&self) -> bool {
        !self.reader.traced.swap(true, Ordering::Relaxed)
    }

    /// Waits until at least `tokens` tokens have arrived. Returns false on timeout.
    pub fn wait_for_tokens(&self, tokens: usize, timeout: Duration) -> bool {
        self.wait_until(timeout, |response| response.tokens() >= tokens)
    }

    fn wait_until(&self, timeout: Duration, is_met: impl Fn(&CallerResponse) -> bool) -> bool {
        let mut progress = self.reader.progress.clone();
        let condition_met = async {
            loop {
                progress.borrow_and_update();
                if is_met(&self.partial_response()) {
                    return true;
                }
                if progress.changed().await.is_err() {
                    return is_met(&self.partial_response());
                }
            }
        };
        self.runtime
            .block_on(async { tokio::time::timeout(timeout, condition_met).await.unwrap_or(false) })
    }
}

async fn read_response(
    client: Client,
    address: SocketAddr,
    request: Request,
    received: Arc<Mutex<CallerResponse>>,
    progress: watch::Sender<bool>,
) {
    let mut response = match client.send(address, request, RESPONSE_HEAD_TIMEOUT).await {
        Ok(response) => response,
        Err(error) => {
            lock(&received).error = Some(error.to_string());
            return;
        }
    };
    {
        let mut received = lock(&received);
        received.status = response.status;
        received.request_id = response.headers.get("x-request-id").unwrap_or_default().to_owned();
    }
    let mut raw = Vec::new();
    while let Some(chunk) = response.body.recv().await {
        match chunk {
            Ok(bytes) => raw.extend_from_slice(&bytes),
            Err(error) => {
                lock(&received).error = Some(error.to_string());
                return;
            }
        }
        lock(&received).body = String::from_utf8_lossy(&raw).into_owned();
        let _ = progress.send(true);
    }
    lock(&received).ended = true;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
