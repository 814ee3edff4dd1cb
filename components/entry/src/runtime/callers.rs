//! Callers' HTTP: takes a request through the filters and gives its answer back.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use errors::{Refusal, ResultCode};
use tokio::runtime;
use tokio::sync::{mpsc, oneshot};
use web::{Body, Handler, Headers, Request, Response};

use super::Shared;
use super::delivery::{Delivery, Opening};

/// Pieces of an answer that wait for their caller.
const ANSWER_QUEUE: usize = 32;

pub(crate) struct Callers {
    shared: Arc<Shared>,
    runtime: runtime::Handle,
}

impl Callers {
    pub(crate) fn new(shared: Arc<Shared>, runtime: runtime::Handle) -> Callers {
        Callers { shared, runtime }
    }
}

#[async_trait]
impl Handler for Callers {
    async fn handle(&self, request: Request) -> Response {
        let (opening_sender, opening) = oneshot::channel();
        let (pieces_sender, pieces) = mpsc::channel(ANSWER_QUEUE);
        let shared = self.shared.clone();
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        self.runtime.spawn(async move {
            Delivery::begin(shared.clone(), request, opening_sender, pieces_sender).await;
            shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        });
        match opening.await {
            Ok((id, Opening::Head { status, content_type })) => {
                answer(status, content_type, id, Body::Stream(pieces))
            }
            Ok((id, Opening::Whole { status, content_type, body })) => {
                answer(status, content_type, id, Body::Buffered(body))
            }
            Ok((id, Opening::Refused(refusal))) => refuse(&refusal, &id),
            Err(_) => refuse(&Refusal::new(ResultCode::Internal, errors::Outcome::Unknown), ""),
        }
    }
}

fn answer(status: u16, content_type: String, request_id: String, body: Body) -> Response {
    let mut headers = Headers::default();
    headers.push("content-type", content_type);
    headers.push("x-request-id", request_id);
    Response { status, headers, body }
}

/// The response for a refusal.
pub(super) fn refuse(refusal: &Refusal, request_id: &str) -> Response {
    let mut response = Response::json(refusal.code.http_status(), &refusal.body());
    if !request_id.is_empty() {
        response = response.header("x-request-id", request_id);
    }
    match refusal.retry_after {
        Some(wait) => response.header("retry-after", &wait.as_secs_f64().ceil().to_string()),
        None => response,
    }
}
