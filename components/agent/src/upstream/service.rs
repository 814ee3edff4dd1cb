//! Adapter to a plain HTTP service.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Refusal, ResultCode};
use tokio::sync::mpsc;
use web::{Client, ClientError, ClientResponse, Request};
use wire::{Dispatch, Order, RequestKey, Work};

use super::{Upstream, check_answer};
use crate::core::UpstreamEvent;

/// Plain HTTP service at an address.
pub struct HttpService {
    client: Client,
    address: SocketAddr,
}

impl HttpService {
    /// Creates an adapter to the service at `address`, which it calls through `client`.
    pub fn new(client: Client, address: SocketAddr) -> HttpService {
        HttpService { client, address }
    }
}

#[async_trait]
impl Upstream for HttpService {
    async fn start_request(&self, dispatch: &Dispatch, events: mpsc::Sender<UpstreamEvent>) {
        let Work::Service(call) = &dispatch.work else {
            let reason = "a plain service accepts only service calls".to_owned();
            let _ = events.send(UpstreamEvent::NotReached(reason)).await;
            return;
        };
        let mut request = Request::new(&call.method, &call.target)
            .header("x-request-id", dispatch.key.request_id.as_str())
            .body(call.body.clone());
        if !call.content_type.is_empty() {
            request = request.header("content-type", &call.content_type);
        }
        if !call.idempotency_key.is_empty() {
            request = request.header("idempotency-key", &call.idempotency_key);
        }
        let head_timeout = dispatch.time_left;
        relay_response(&self.client, self.address, request, head_timeout, events).await;
    }

    async fn resume_response(
        &self,
        _key: &RequestKey,
        _offset_bytes: u64,
    ) -> Option<ClientResponse> {
        None
    }

    async fn abort_request(&self, _key: &RequestKey) {}

    async fn execute_order(&self, _order: &Order) -> Result<(), Refusal> {
        let refusal = Refusal::not_run(ResultCode::NotPermitted);
        Err(refusal.with_message("A plain service accepts no orders."))
    }
}

/// Sends a request and passes on its response as it is received.
async fn relay_response(
    client: &Client,
    address: SocketAddr,
    request: Request,
    head_timeout: Duration,
    events: mpsc::Sender<UpstreamEvent>,
) {
    let mut response = match client.send(address, request, head_timeout).await {
        Ok(response) => response,
        Err(ClientError::NotSent(reason)) => {
            let _ = events.send(UpstreamEvent::NotReached(reason)).await;
            return;
        }
        Err(ClientError::Unknown(reason)) => {
            let _ = events.send(UpstreamEvent::Failed(reason)).await;
            return;
        }
    };
    if let Err(reason) = check_answer(&response) {
        let _ = events.send(UpstreamEvent::Failed(reason)).await;
        return;
    }
    let content_type = response.headers.get("content-type").unwrap_or_default().to_owned();
    let started = UpstreamEvent::Started { status: response.status, content_type };
    if events.send(started).await.is_err() {
        return;
    }
    while let Some(chunk) = response.body.recv().await {
        let event = match chunk {
            Ok(bytes) => UpstreamEvent::Data(bytes),
            Err(error) => UpstreamEvent::Failed(error.to_string()),
        };
        let is_failure = matches!(event, UpstreamEvent::Failed(_));
        if events.send(event).await.is_err() || is_failure {
            return;
        }
    }
    let _ = events.send(UpstreamEvent::Finished).await;
}
