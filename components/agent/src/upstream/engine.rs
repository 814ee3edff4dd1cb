//! A model engine that speaks chat-completions over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Outcome, Refusal, ResultCode};
use log::warn;
use serde_json::json;
use tokio::sync::mpsc;
use web::{Client, ClientError, Request};
use wire::{Command, Dispatch, Order, RequestKey, Work};

use super::Upstream;
use super::service::relay;
use crate::core::UpstreamEvent;

const ORDERS_PATH: &str = "/v1/orders";
const FENCING_HEADER: &str = "x-fencing-token";
const HTTP_CONFLICT: u16 = 409;

/// How long an engine may take to carry out an order; loading a model takes minutes.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);

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
        let patience = dispatch.time_left;
        relay(&self.client, self.address, request, patience, events).await;
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
    response.read().await?;
    Ok(response.status)
}

/// Ids of callers are unique for a customer only; the engine needs one for all.
fn engine_request_id(key: &RequestKey) -> String {
    format!("{}.{}", key.customer, key.request_id)
}
