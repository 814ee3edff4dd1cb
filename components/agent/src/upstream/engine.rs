//! A model engine that speaks chat-completions over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use log::warn;
use tokio::sync::mpsc;
use web::{Client, Request};
use wire::{Dispatch, RequestKey, Work};

use super::Upstream;
use super::service::relay;
use crate::core::UpstreamEvent;

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
}

/// Ids of callers are unique for a customer only; the engine needs one for all.
fn engine_request_id(key: &RequestKey) -> String {
    format!("{}.{}", key.customer, key.request_id)
}
