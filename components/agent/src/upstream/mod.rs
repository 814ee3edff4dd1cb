//! Adapters to what stands behind an agent.

mod engine;
mod service;

use async_trait::async_trait;
use errors::Refusal;
use tokio::sync::mpsc;
use web::ClientResponse;
use wire::{Dispatch, Order, RequestKey};

use crate::core::UpstreamEvent;

pub use engine::HttpEngine;
pub use service::HttpService;

/// A model engine or a plain service.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Hands a request over; events arrive until one that ends the request.
    async fn start(&self, dispatch: &Dispatch, events: mpsc::Sender<UpstreamEvent>);

    /// Joins a request that was started before, on a new connection, from an offset of its answer;
    /// `None` where the upstream knows nothing of it or cannot do that.
    async fn resume(&self, key: &RequestKey, offset_bytes: u64) -> Option<ClientResponse>;

    /// Asks the upstream to stop working on a request.
    async fn abort(&self, key: &RequestKey);

    /// Passes an order on and waits until the upstream has carried it out.
    async fn order(&self, order: &Order) -> Result<(), Refusal>;
}
