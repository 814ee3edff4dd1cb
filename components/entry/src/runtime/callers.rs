//! HTTP handler for callers' requests: starts a task for each request and returns its response.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use errors::{Refusal, ResultCode};
use tokio::runtime;
use tokio::sync::{mpsc, oneshot};
use web::{Body, Handler, Headers, Request, Response};

use super::Shared;
use super::request_task::{InitialResponse, RequestTask};

/// Most chunks of a streamed response that wait for the caller to read them.
const CHUNK_QUEUE_CAPACITY: usize = 32;

/// HTTP handler for callers' requests.
pub(crate) struct CallerHandler {
    shared: Arc<Shared>,
    runtime: runtime::Handle,
}

impl CallerHandler {
    pub(crate) fn new(shared: Arc<Shared>, runtime: runtime::Handle) -> CallerHandler {
        CallerHandler { shared, runtime }
    }
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, request: Request) -> Response {
        let (initial_sender, initial_response) = oneshot::channel();
        let (chunk_sender, chunks) = mpsc::channel(CHUNK_QUEUE_CAPACITY);
        let shared = self.shared.clone();
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        self.runtime.spawn(async move {
            RequestTask::handle_request(shared.clone(), request, initial_sender, chunk_sender)
                .await;
            shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        });
        match initial_response.await {
            Ok((id, InitialResponse::Head { status, content_type })) => {
                build_response(status, content_type, id, Body::Stream(chunks))
            }
            Ok((id, InitialResponse::Complete { status, content_type, body })) => {
                build_response(status, content_type, id, Body::Buffered(body))
            }
            Ok((id, InitialResponse::Refused(refusal))) => refusal_response(&refusal, &id),
            Err(_) => {
                refusal_response(&Refusal::new(ResultCode::Internal, errors::Outcome::Unknown), "")
            }
        }
    }
}

fn build_response(status: u16, content_type: String, request_id: String, body: Body) -> Response {
    let mut headers = Headers::default();
    headers.push("content-type", content_type);
    headers.push("x-request-id", request_id);
    Response { status, headers, body }
}

/// Builds the HTTP response for a refusal.
pub(super) fn refusal_response(refusal: &Refusal, request_id: &str) -> Response {
    let mut response = Response::json(refusal.code.http_status(), &refusal.body());
    if !request_id.is_empty() {
        response = response.header("x-request-id", request_id);
    }
    match refusal.retry_after {
        Some(wait) => response.header("retry-after", &wait.as_secs_f64().ceil().to_string()),
        None => response,
    }
}
