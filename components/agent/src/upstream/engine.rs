//! A model engine that speaks chat-completions over HTTP.

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

use super::Upstream;
use crate::core::UpstreamEvent;

const ORDERS_PATH: &str = "/v1/orders";
const FENCING_HEADER: &str = "x-fencing-token";
const HTTP_CONFLICT: u16 = 409;

/// How long an engine may take to carry out an order; loading a model takes minutes.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);

/// How long a connection to the engine may be silent before a new one is tried.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// How long the engine may take to resume an answer.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

/// How often an answer that broke off is resumed.
const RESUME_LIMIT: u32 = 8;

/// Content type of an answer that is streamed.
const STREAM_TYPE: &str = "text/event-stream";

/// The end of a streamed answer that is whole.
const STREAM_END: &[u8] = b"[DONE]\n\n";

const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// An engine at an address.
pub struct HttpEngine {
    client: Client,
    address: SocketAddr,
}

impl HttpEngine {
    /// The engine at `address`, called through `client`.
    pub fn new(client: Client, address: SocketAddr) -> HttpEngine {
        HttpEngine { client, address }
    }
}

#[async_trait]
impl Upstream for HttpEngine {
    async fn start(&self, dispatch: &Dispatch, events: mpsc::Sender<UpstreamEvent>) {
        let Work::Model(call) = &dispatch.work else {
            let reason = "an engine takes model calls only".to_owned();
            let _ = events.send(UpstreamEvent::NotReached(reason)).await;
            return;
        };
        let request = Request::new("POST", "/v1/chat/completions")
            .header("content-type", "application/json")
            .header("x-request-id", &engine_request_id(&dispatch.key))
            .body(call.body.clone());
        let answer = Answer {
            engine: self,
            key: &dispatch.key,
            offset_bytes: 0,
            tail: Vec::new(),
            breaks: 0,
        };
        let end = answer.follow(request, dispatch.time_left, &events).await;
        let _ = events.send(end).await;
    }

    async fn resume(&self, key: &RequestKey, offset_bytes: u64) -> Option<ClientResponse> {
        let id = engine_request_id(key);
        let request =
            Request::new("GET", &format!("/v1/requests/{id}?offset_bytes={offset_bytes}"));
        let sent = self.client.send(self.address, request, RESUME_TIMEOUT).await;
        sent.ok().filter(|response| response.status == 200)
    }

    async fn abort(&self, key: &RequestKey) {
        let target = format!("/v1/requests/{}", engine_request_id(key));
        let request = Request::new("DELETE", &target);
        if let Err(error) = self.client.send(self.address, request, ABORT_TIMEOUT).await {
            warn!("request={} abort failed: {error}", key.request_id);
        }
    }

    async fn order(&self, order: &Order) -> Result<(), Refusal> {
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

/// Sends an order as the engine's own HTTP form.
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

/// An answer on its way from the engine.
struct Answer<'a> {
    engine: &'a HttpEngine,
    key: &'a RequestKey,
    offset_bytes: u64,
    tail: Vec<u8>,
    breaks: u32,
}

impl Answer<'_> {
    /// Passes the answer on; gives the event that ends it.
    async fn follow(
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
        let content_type = response.headers.get("content-type").unwrap_or_default().to_owned();
        let is_stream = content_type.starts_with(STREAM_TYPE);
        let started = UpstreamEvent::Started { status: response.status, content_type };
        let mut event = started;
        loop {
            if events.send(event).await.is_err() {
                return UpstreamEvent::Failed("nobody takes the answer".to_owned());
            }
            event = match self.next_piece(&mut response).await {
                Ok(Some(bytes)) => {
                    self.take(&bytes);
                    UpstreamEvent::Data(bytes)
                }
                Ok(None) if is_stream && !self.tail.ends_with(STREAM_END) => {
                    return UpstreamEvent::Failed("the stream ended early".to_owned());
                }
                Ok(None) => return UpstreamEvent::Finished,
                Err(reason) => return UpstreamEvent::Failed(reason),
            };
        }
    }

    /// Waits for the head; a silent connection is replaced if the engine knows the request.
    async fn wait_for_head(
        &self,
        request: Request,
        head_timeout: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let mut sending = pin!(self.engine.client.send(self.engine.address, request, head_timeout));
        loop {
            match timeout(SILENCE_LIMIT, &mut sending).await {
                Ok(Err(ClientError::Unknown(reason))) => {
                    let resumed = self.engine.resume(self.key, 0).await;
                    return resumed.ok_or(ClientError::Unknown(reason));
                }
                Ok(sent) => return sent,
                Err(_) => {
                    if let Some(resumed) = self.engine.resume(self.key, 0).await {
                        return Ok(resumed);
                    }
                }
            }
        }
    }

    /// The next piece; a connection that broke or fell silent is replaced.
    async fn next_piece(&mut self, response: &mut ClientResponse) -> Result<Option<Bytes>, String> {
        loop {
            let broken = match timeout(SILENCE_LIMIT, response.body.recv()).await {
                Ok(Some(Ok(bytes))) => return Ok(Some(bytes)),
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => Some(error.to_string()),
                Err(_) => None,
            };
            self.breaks += u32::from(broken.is_some());
            if let Some(reason) = &broken
                && self.breaks > RESUME_LIMIT
            {
                return Err(reason.clone());
            }
            match (self.engine.resume(self.key, self.offset_bytes).await, broken) {
                (Some(resumed), _) => *response = resumed,
                (None, Some(reason)) => return Err(reason),
                // The engine may be busy with a long prompt, or cannot resume.
                (None, None) => {}
            }
        }
    }

    fn take(&mut self, bytes: &Bytes) {
        self.offset_bytes += bytes.len() as u64;
        let keep = &bytes[bytes.len().saturating_sub(STREAM_END.len())..];
        self.tail.extend_from_slice(keep);
        let surplus = self.tail.len().saturating_sub(STREAM_END.len());
        self.tail.drain(..surplus);
    }
}

/// Ids of callers are unique for a customer only; the engine needs one for all.
fn engine_request_id(key: &RequestKey) -> String {
    format!("{}.{}", key.customer, key.request_id)
}
