//! Sends a request to one upstream and reads the head of its response.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming as Body;
use link::{Connection, LinkError, LinkResponse};
use log::warn;
use tokio::time::{Instant as TokioInstant, timeout_at};

use super::HeldBytes;
use super::admission::AdmittedRequest;
use super::slot_guard::SlotGuard;
use super::state::{Shared, UPSTREAM_TIMEOUTS};
use crate::event_sequence::is_event_stream;
use crate::header_codec::AttemptMetadata;
use crate::model::{RequestMetadata, ResponseMetadata};
use crate::response_match::{belongs_to_request, is_answer_status, is_unencoded};
use crate::retry::AttemptResult;
use crate::scheduler::AttemptOutcome;

/// Longest idle time of a connection for a request that may be retried: if the upstream has closed
/// the connection in the meantime, that only costs a retry.
const MAX_IDLE_RETRYABLE: Duration = Duration::from_secs(30);

/// Longest idle time of a connection for a request that may not be retried: it is lost if the
/// upstream closes the connection at that moment.
const MAX_IDLE_NON_RETRYABLE: Duration = Duration::from_secs(2);

/// Time that an idle connection is kept if the upstream does not state its idle timeout.
pub(super) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Safety margin subtracted from an upstream's idle timeout, which it states in whole seconds.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// Largest body of a complete response, equal to the platform's largest request body.
const RESPONSE_LIMIT_BYTES: usize = 4 << 20;

/// Time without any response from an upstream after which a retryable request is sent to another,
/// in multiples of the route's latency objective.
const SILENCE_TIMEOUT_OBJECTIVE_MULTIPLE: u32 = 2;

/// A response whose head has been received.
pub(super) struct StartedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) metadata: ResponseMetadata,
    pub(super) body: Body,
    pub(super) connection: Connection,
}

impl StartedResponse {
    /// Whether the response has another end than that of its connection.
    pub(super) fn is_framed(&self) -> bool {
        is_framed(&self.headers)
    }

    /// Whether the content type is that of an event stream, or is not given.
    pub(super) fn is_event_stream(&self) -> bool {
        let content_type = self.headers.get(CONTENT_TYPE);
        is_event_stream(content_type.map(|given| given.to_str().unwrap_or_default()))
    }
}

/// Whether a response has a length or comes in chunks.
pub(super) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Result of sending a request to an upstream, up to the head of the response. The body has not
/// been read yet.
pub(super) enum SendResult {
    /// The head of the response has been received.
    Started(Box<StartedResponse>),
    /// The attempt has ended without a response.
    Ended(AttemptResult),
    /// The request's deadline has passed after it may have been sent.
    DeadlinePassed,
}

impl Shared {
    /// Sends a request to the upstream of its slot and waits for the head of the response.
    pub(super) async fn send_request(
        &self,
        admitted: &AdmittedRequest,
        slot: &mut SlotGuard,
        resume_after: Option<u64>,
    ) -> SendResult {
        let deadline = TokioInstant::from_std(admitted.deadline);
        match timeout_at(deadline, self.send_before_deadline(admitted, slot, resume_after)).await {
            Ok(result) => result,
            Err(_) => SendResult::DeadlinePassed,
        }
    }

    async fn send_before_deadline(
        &self,
        admitted: &AdmittedRequest,
        slot: &mut SlotGuard,
        resume_after: Option<u64>,
    ) -> SendResult {
        let address = slot.upstream().address;
        let retryable = admitted.route.kind.may_retry();
        let max_idle = if retryable { MAX_IDLE_RETRYABLE } else { MAX_IDLE_NON_RETRYABLE };
        if let Some(idle) = self.pool.take(address, self.clock.now(), max_idle) {
            match self.send_on_connection(idle, admitted, slot, resume_after).await {
                SendResult::Ended(AttemptResult::NotSent) => {}
                result => return result,
            }
        }
        self.metrics.upstream_connections.inc();
        match link::connect(address, UPSTREAM_TIMEOUTS).await {
            Ok(connection) => {
                self.send_on_connection(connection, admitted, slot, resume_after).await
            }
            Err(error) => {
                let instance = &slot.upstream().instance;
                warn!(
                    "upstream.unreachable id={} instance={instance} reason={error}",
                    admitted.metadata.attempt_id
                );
                slot.release(AttemptOutcome::Unreachable);
                SendResult::Ended(AttemptResult::NotSent)
            }
        }
    }

    async fn send_on_connection(
        &self,
        mut connection: Connection,
        admitted: &AdmittedRequest,
        slot: &mut SlotGuard,
        resume_after: Option<u64>,
    ) -> SendResult {
        let request = match self.encode_request(admitted, slot, resume_after) {
            Ok(request) => request,
            Err(error) => {
                warn!("request.unwritable id={} reason={error}", admitted.metadata.attempt_id);
                return SendResult::Ended(AttemptResult::NotSent);
            }
        };
        let response = tokio::select! {
            response = connection.send(request) => response,
            () = self.wait_until_unresponsive(admitted, slot) => {
                self.record_failure(admitted, slot, "silent");
                return SendResult::Ended(AttemptResult::Silent);
            }
        };
        match response {
            Ok(response) => self.check_response(admitted, slot, connection, response),
            Err(LinkError::NotSent(_) | LinkError::Refused(_)) => {
                SendResult::Ended(AttemptResult::NotSent)
            }
            Err(LinkError::Unknown(reason)) => {
                self.record_crash(admitted.causes(), slot.upstream().id(), self.clock.now());
                self.record_failure(admitted, slot, &reason);
                SendResult::Ended(AttemptResult::Unknown)
            }
        }
    }

    /// Completes when a retryable request should be tried at another upstream, because this one has
    /// sent nothing to any request of this gateway for some time. A busy upstream is late but not
    /// silent.
    async fn wait_until_unresponsive(&self, admitted: &AdmittedRequest, slot: &SlotGuard) {
        if !admitted.route.kind.may_retry() {
            return std::future::pending().await;
        }
        let silence_timeout = admitted.route.latency_objective * SILENCE_TIMEOUT_OBJECTIVE_MULTIPLE;
        loop {
            tokio::time::sleep(silence_timeout).await;
            if self.reachability.borrow().is_unresponsive(slot.upstream().id(), self.clock.now()) {
                return;
            }
        }
    }

    fn encode_request(
        &self,
        admitted: &AdmittedRequest,
        slot: &SlotGuard,
        resume_after: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let metadata = AttemptMetadata {
            instance: &slot.upstream().instance,
            customer: admitted.customer.as_ref().map(|customer| customer.name.as_str()),
            time_left: admitted.metadata.timeout.map(|_| admitted.time_left(self.clock.now())),
            resume_after,
        };
        let mut request = Request::builder()
            .method(admitted.method.clone())
            .uri(admitted.target.clone())
            .body(Full::new(admitted.body.clone()))?;
        *request.headers_mut() = self.header_codec.encode_request(&admitted.headers, metadata);
        Ok(request)
    }

    /// Checks from the head of a response whether it can be the answer to the request, and whether the
    /// upstream ran that. One that belongs to another request says nothing of this one or of the upstream.
    fn check_response(
        &self,
        admitted: &AdmittedRequest,
        slot: &mut SlotGuard,
        connection: Connection,
        response: LinkResponse,
    ) -> SendResult {
        let (head, body) = Response::into_parts(response);
        let metadata = self.header_codec.decode_response(head.status, &head.headers);
        slot.record_activity();
        let attempt_id = &admitted.metadata.attempt_id;
        let is_success = head.status.is_success();
        if !is_answer_status(head.status, &admitted.headers) {
            let reason = format!("status {} is that of no answer", head.status.as_u16());
            self.record_failure(admitted, slot, &reason);
            return SendResult::Ended(AttemptResult::Unknown);
        }
        if !belongs_to_request(&metadata, is_success, attempt_id, connection.request_count()) {
            let ResponseMetadata { attempt_id: echoed_id, signed, .. } = &metadata;
            let reason = format!(
                "response does not match the request: echoed={echoed_id:?} signed={signed}"
            );
            self.record_failure(admitted, slot, &reason);
            return SendResult::Ended(AttemptResult::Unknown);
        }
        self.record_notices(slot, &metadata);
        if metadata.not_run {
            slot.release(if metadata.other_instance {
                AttemptOutcome::Replaced
            } else {
                AttemptOutcome::Declined
            });
            return SendResult::Ended(AttemptResult::Declined);
        }
        if !is_unencoded(&head.headers) {
            self.record_failure(admitted, slot, "the body is encoded");
            return SendResult::Ended(AttemptResult::Unknown);
        }
        let started = StartedResponse {
            status: head.status,
            headers: head.headers,
            metadata,
            body,
            connection,
        };
        SendResult::Started(Box::new(started))
    }

    /// Logs a failed attempt and releases its slot.
    pub(super) fn record_failure(
        &self,
        admitted: &AdmittedRequest,
        slot: &mut SlotGuard,
        reason: &str,
    ) {
        let instance = slot.upstream().instance.clone();
        warn!(
            "upstream.failed id={} route={} instance={instance} reason={reason:?} begun={} request={} parts={}",
            admitted.metadata.attempt_id,
            admitted.route.name,
            slot.has_begun(),
            admitted.hash(),
            describe_shared_parts(&admitted.metadata),
        );
        slot.release(AttemptOutcome::Failed);
    }

    /// Returns a connection to the pool if the upstream keeps it open.
    pub(super) fn keep_connection(
        &self,
        slot: &SlotGuard,
        connection: Connection,
        metadata: &ResponseMetadata,
    ) {
        if !metadata.keep_connection {
            return;
        }
        let idle_timeout = metadata
            .idle_timeout
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .saturating_sub(IDLE_TIMEOUT_MARGIN);
        self.pool.put(slot.upstream().address, connection, self.clock.now(), idle_timeout);
    }
}

/// Reads the complete body of a response, until the request's deadline.
pub(super) async fn read_body(
    admitted: &AdmittedRequest,
    body: Body,
    held: &mut HeldBytes,
) -> Result<Bytes, LinkError> {
    let deadline = TokioInstant::from_std(admitted.deadline);
    let hold = |bytes| held.hold(bytes).map_err(|error| error.to_string());
    timeout_at(deadline, link::read_held_body(body, RESPONSE_LIMIT_BYTES, hold))
        .await
        .unwrap_or_else(|_| Err(LinkError::Unknown("deadline passed".to_owned())))
}

/// Ids of the parts that other prompts may share, for the log.
fn describe_shared_parts(metadata: &RequestMetadata) -> String {
    let ids: Vec<String> = metadata.shared_parts().map(|part| format!("{part:x}")).collect();
    ids.join(",")
}
