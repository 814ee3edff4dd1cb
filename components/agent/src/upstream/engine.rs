//! Adapter to a model engine with a chat-completions API over HTTP.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use errors::{Outcome, Refusal, ResultCode};
use log::warn;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::timeout;
use web::{Client, ClientError, ClientResponse, Request};
use wire::{Command, Dispatch, Order, RequestKey, Work};

use super::{Upstream, check_answer};
use crate::core::UpstreamEvent;

const ORDERS_PATH: &str = "/v1/orders";
const FENCING_HEADER: &str = "x-fencing-token";
const HTTP_CONFLICT: u16 = 409;

/// Time that an engine has to carry out an order; loading a model takes minutes.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);

/// Time without data from the engine after which the response is resumed on a new connection.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that the engine has to resume a response.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

/// Most broken connections of one response; at the next one, the response fails.
const BROKEN_CONNECTION_LIMIT: u32 = 8;

/// Content type of a streamed response.
const STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// Last bytes of a complete streamed response.
const STREAM_END: &[u8] = b"[DONE]\n\n";

const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Model engine at an address.
pub struct HttpEngine {
    client: Client,
    address: SocketAddr,
}

impl HttpEngine {
    /// Creates an adapter to the engine at `address`, which it calls through `client`.
    pub fn new(client: Client, address: SocketAddr) -> HttpEngine {
        HttpEngine { client, address }
    }
}

#[async_trait]
impl Upstream for HttpEngine {
    async fn start_request(&self, dispatch: &Dispatch, events: mpsc::Sender<UpstreamEvent>) {
        let Work::Model(call) = &dispatch.work else {
            let reason = "a model engine accepts only model calls".to_owned();
            let _ = events.send(UpstreamEvent::NotReached(reason)).await;
            return;
        };
        let request = Request::new("POST", "/v1/chat/completions")
            .header("content-type", "application/json")
            .header("x-request-id", &engine_request_id(&dispatch.key))
            .body(call.body.clone());
        let relay = ResponseRelay {
            engine: self,
            key: &dispatch.key,
            offset_bytes: 0,
            tail: Vec::new(),
            broken_connections: 0,
        };
        let last_event = relay.run(request, dispatch.time_left, &events).await;
        let _ = events.send(last_event).await;
    }

    async fn resume_response(&self, key: &RequestKey, offset_bytes: u64) -> Option<ClientResponse> {
        let id = engine_request_id(key);
        let request =
            Request::new("GET", &format!("/v1/requests/{id}?offset_bytes={offset_bytes}"));
        let result = self.client.send(self.address, request, RESUME_TIMEOUT).await;
        result.ok().filter(|response| response.status == 200)
    }

    async fn abort_request(&self, key: &RequestKey) {
        let target = format!("/v1/requests/{}", engine_request_id(key));
        let request = Request::new("DELETE", &target);
        if let Err(error) = self.client.send(self.address, request, ABORT_TIMEOUT).await {
            warn!("request={} abort failed: {error}", key.request_id);
        }
    }

    async fn execute_order(&self, order: &Order) -> Result<(), Refusal> {
        match send_order(&self.client, self.address, order).await {
            Ok(status) if (200..300).contains(&status) => Ok(()),
            Ok(HTTP_CONFLICT) => Err(Refusal::not_run(ResultCode::StaleFencingToken)),
            Ok(status) => {
                let refusal = Refusal::new(ResultCode::UpstreamFailed, Outcome::Unknown);
                Err(refusal.with_message(format!("status {status}")))
            }
            Err(ClientError::NotSent(reason)) => {
                Err(Refusal::not_run(ResultCode::NoUpstream).with_message(reason))
            }
            Err(ClientError::Unknown(reason)) => {
                let refusal = Refusal::new(ResultCode::UpstreamLost, Outcome::Unknown);
                Err(refusal.with_message(reason))
            }
        }
    }
}

/// Sends an order over the engine's HTTP API and returns the status of its response.
async fn send_order(
    client: &Client,
    address: SocketAddr,
    order: &Order,
) -> Result<u16, ClientError> {
    let body = match &order.command {
        Command::LoadModel(model) => json!({ "load_model": model }),
        Command::UnloadModel(model) => json!({ "unload_model": model }),
    };
    let request = Request::new("POST", ORDERS_PATH)
        .header("content-type", "application/json")
        .header(FENCING_HEADER, &order.token.to_string())
        .body(body.to_string());
    let mut response = client.send(address, request, ORDER_TIMEOUT).await?;
    response.read_body().await?;
    Ok(response.status)
}

/// Relays one response of the engine and resumes it when its connection breaks or is silent.
struct ResponseRelay<'a> {
    engine: &'a HttpEngine,
    key: &'a RequestKey,
    /// Bytes of the response body received so far.
    offset_bytes: u64,
    /// Last bytes of the response body, at most as many as `STREAM_END` has.
    tail: Vec<u8>,
    broken_connections: u32,
}

impl ResponseRelay<'_> {
    /// Sends the request and passes on the events of its response. Returns the last event, which
    /// is not passed on yet.
    async fn run(
        mut self,
        request: Request,
        head_timeout: Duration,
        events: &mpsc::Sender<UpstreamEvent>,
    ) -> UpstreamEvent {
        let mut response = match self.wait_for_head(request, head_timeout).await {
            Ok(response) => response,
            Err(ClientError::NotSent(reason)) => return UpstreamEvent::NotReached(reason),
            Err(ClientError::Unknown(reason)) => return UpstreamEvent::Failed(reason),
        };
        if let Err(reason) = check_answer(&response) {
            return UpstreamEvent::Failed(reason);
        }
        let content_type = content_type(&response).to_owned();
        let is_stream = content_type.starts_with(STREAM_CONTENT_TYPE);
        let started = UpstreamEvent::Started { status: response.status, content_type };
        let mut event = started;
        loop {
            if events.send(event).await.is_err() {
                return UpstreamEvent::Failed("the response has no receiver".to_owned());
            }
            event = match self.next_chunk(&mut response).await {
                Ok(Some(bytes)) => {
                    self.record_chunk(&bytes);
                    UpstreamEvent::Data(bytes)
                }
                Ok(None) if is_stream && !self.tail.ends_with(STREAM_END) => {
                    return UpstreamEvent::Failed(
                        "the response stream ended before [DONE]".to_owned(),
                    );
                }
                Ok(None) => return UpstreamEvent::Finished,
                Err(reason) => return UpstreamEvent::Failed(reason),
            };
        }
    }

    /// Waits for the head of the response. While the engine is silent, the response is resumed on a
    /// new connection if the engine already knows the request.
    async fn wait_for_head(
        &self,
        request: Request,
        head_timeout: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let mut sending = pin!(self.engine.client.send(self.engine.address, request, head_timeout));
        loop {
            match timeout(SILENCE_TIMEOUT, &mut sending).await {
                Ok(Err(ClientError::Unknown(reason))) => {
                    let resumed = self.engine.resume_response(self.key, 0).await;
                    return resumed.ok_or(ClientError::Unknown(reason));
                }
                Ok(result) => return result,
                Err(_) => {
                    if let Some(resumed) = self.engine.resume_response(self.key, 0).await {
                        return Ok(resumed);
                    }
                }
            }
        }
    }

    /// Returns the next chunk of the response body, or `None` at its end. If the connection breaks
    /// or is silent, the response is resumed on a new one.
    async fn next_chunk(&mut self, response: &mut ClientResponse) -> Result<Option<Bytes>, String> {
        loop {
            let failure = match timeout(SILENCE_TIMEOUT, response.body.recv()).await {
                Ok(Some(Ok(bytes))) => return Ok(Some(bytes)),
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => Some(error.to_string()),
                Err(_) => None,
            };
            self.broken_connections += u32::from(failure.is_some());
            if let Some(reason) = &failure
                && self.broken_connections > BROKEN_CONNECTION_LIMIT
            {
                return Err(reason.clone());
            }
            let resumed = self.engine.resume_response(self.key, self.offset_bytes).await;
            // An error text under a status of success has another one.
            let is_rest = |resumed: &ClientResponse| {
                check_answer(resumed).is_ok() && content_type(resumed) == content_type(response)
            };
            match (resumed.filter(is_rest), failure) {
                (Some(resumed), _) => *response = resumed,
                (None, Some(reason)) => return Err(reason),
                // The engine may be busy with a long prompt or may not support resuming, so the old
                // connection is kept.
                (None, None) => {}
            }
        }
    }

    fn record_chunk(&mut self, bytes: &Bytes) {
        self.offset_bytes += bytes.len() as u64;
        let chunk_tail = &bytes[bytes.len().saturating_sub(STREAM_END.len())..];
        self.tail.extend_from_slice(chunk_tail);
        let surplus = self.tail.len().saturating_sub(STREAM_END.len());
        self.tail.drain(..surplus);
    }
}

fn content_type(response: &ClientResponse) -> &str {
    response.headers.get("content-type").unwrap_or_default()
}

/// Returns the request id for the engine. It contains the customer, since the ids of callers are
/// unique only for one customer.
fn engine_request_id(key: &RequestKey) -> String {
    format!("{}.{}", key.customer, key.request_id)
}
