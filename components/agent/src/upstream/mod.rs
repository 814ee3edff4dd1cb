//! Adapters to the upstreams that an agent can serve.
//!
//! Load pattern: upstreams in trouble that answer with a status that no answer has, with a change of
//! the protocol, or with an encoded body.

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

/// Adapter to a model engine or a plain service.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Sends a request and passes on the events of its response, until one that ends the request.
    async fn start_request(&self, dispatch: &Dispatch, events: mpsc::Sender<UpstreamEvent>);

    /// Continues the response of a request that was sent before, on a new connection and from an
    /// offset. Returns `None` if the upstream does not know the request or cannot resume responses.
    async fn resume_response(&self, key: &RequestKey, offset_bytes: u64) -> Option<ClientResponse>;

    /// Tells the upstream to stop processing a request.
    async fn abort_request(&self, key: &RequestKey);

    /// Sends an order and waits until the upstream has carried it out.
    async fn execute_order(&self, order: &Order) -> Result<(), Refusal>;
}

/// Statuses of answers. Interim responses are none, nor is a change of the protocol.
const ANSWER_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Statuses that answer a range or a condition, which requests to upstreams have none of.
const UNASKED_STATUSES: [u16; 2] = [206, 304];

/// Checks from the head of a response whether it can be an answer, with the body as the upstream wrote
/// it. The error says why not.
fn check_answer(response: &ClientResponse) -> Result<(), String> {
    let status = response.status;
    if !ANSWER_STATUSES.contains(&status) || UNASKED_STATUSES.contains(&status) {
        return Err(format!("status {status} is that of no answer"));
    }
    if response.headers.get("content-encoding").is_some() {
        return Err("the body is encoded".to_owned());
    }
    Ok(())
}
