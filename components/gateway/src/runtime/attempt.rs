//! Hands a request to one upstream and reads the start of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming as Body;
use link::{Connection, LinkError, LinkResponse};
use log::warn;
use tokio::time::{Instant as TokioInstant, timeout_at};

use super::admission::AdmittedRequest;
use super::slot_guard::SlotGuard;
use super::state::{Shared, UPSTREAM_TIMEOUTS};
use crate::header_codec::AttemptMetadata;
use crate::model::ResponseMetadata;
use crate::retry::AttemptResult;
use crate::scheduler::AttemptOutcome;

/// Longest idle time of a connection for a request that may be repeated; connections that the
/// upstream has closed meanwhile only cost a repeat.
const IDLE_FOR_REPEATABLE: Duration = Duration::from_secs(30);

/// The same for one that may not: a connection that the upstream closes at that moment loses it.
const IDLE_FOR_ONCE: Duration = Duration::from_secs(2);

/// How long an idle connection is kept where the upstream says nothing of it.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Taken off the time that an upstream keeps idle connections, which it states in whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Largest whole answer, the platform's largest request body.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;

/// How long an upstream is waited for that has sent nothing at all, before a request that may be
/// repeated goes to another, in multiples of the route's objective.
const SILENT_OBJECTIVES: u32 = 2;

/// An answer whose head has come.
pub(super) struct StartedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) metadata: ResponseMetadata,
    pub(super) body: Body,
    pub(super) connection: Connection,
}

/// How a hand-over began.
pub(super) enum SendResult {
    /// The head of the answer is here.
    Started(Box<StartedResponse>),
    /// There is none.
    Ended(AttemptResult),
    /// The time of the request is over; it was handed over.
    OutOfTime,
}

impl Shared {
    /// Sends a request to the upstream of its seat and waits for the head of the answer.
    pub(super) async fn send(
        &self,
        admitted: &AdmittedRequest,
        slot: &mut SlotGuard,
        resume_after: Option<u64>,
    ) -> SendResult {
        let limit = TokioInstant::from_std(admitted.deadline);
        match timeout_at(limit, self.send_in_time(admitted, slot, resume_after)).await {
            Ok(result) => result,
            Err(_) => SendResult::OutOfTime,
        }
    }

    async fn send_in_time(
        &self,
        admitted: &AdmittedRequest,
        slot: &mut SlotGuard,
        resume_after: Option<u64>,
    ) -> SendResult {
        let address = slot.upstream().address;
        let repeatable = admitted.route.kind.may_retry();
        let longest_idle = if repeatable { IDLE_FOR_REPEATABLE } else { IDLE_FOR_ONCE };
        if let Some(kept) = self.pool.take(address, self.clock.now(), longest_idle) {
            match self.send_on(kept, admitted, slot, resume_after).await {
                SendResult::Ended(AttemptResult::NotSent) => {}
                result => return result,
            }
        }
        self.metrics.upstream_connections.inc();
        match link::connect(address, UPSTREAM_TIMEOUTS).await {
            Ok(connection) => self.send_on(connection, admitted, slot, resume_after).await,
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

    async fn send_on(
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
        let answered = tokio::select! {
            answered = connection.send(request) => answered,
            () = self.silence(admitted, slot) => {
                self.record_failure(admitted, slot, "silent");
                return SendResult::Ended(AttemptResult::Silent);
            }
        };
        match answered {
            Ok(answer) => self.begin(admitted, slot, connection, answer),
            Err(LinkError::NotSent(_)) => SendResult::Ended(AttemptResult::NotSent),
            Err(LinkError::Unknown(reason)) => {
                self.record_failure(admitted, slot, &reason);
                SendResult::Ended(AttemptResult::Unknown)
            }
        }
    }

    /// Ends when a request that may be repeated does better elsewhere: the upstream has sent nothing
    /// to anybody for some time. A busy upstream is late but not silent.
    async fn silence(&self, admitted: &AdmittedRequest, slot: &SlotGuard) {
        if !admitted.route.kind.may_retry() {
            return std::future::pending().await;
        }
        let silence_timeout = admitted.route.latency_objective * SILENT_OBJECTIVES;
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

    fn begin(
        &self,
        admitted: &AdmittedRequest,
        slot: &mut SlotGuard,
        connection: Connection,
        answer: LinkResponse,
    ) -> SendResult {
        let (head, body) = Response::into_parts(answer);
        let metadata = self.header_codec.decode_response(head.status, &head.headers);
        slot.record_activity();
        if metadata.not_run {
            slot.release(if metadata.other_instance {
                AttemptOutcome::Replaced
            } else {
                AttemptOutcome::Declined
            });
            return SendResult::Ended(AttemptResult::Declined);
        }
        let echoed_id = metadata.attempt_id.as_deref();
        let other = echoed_id.is_some_and(|id| id != admitted.metadata.attempt_id);
        if other || (head.status.is_success() && (!metadata.signed || echoed_id.is_none())) {
            let signed = metadata.signed;
            let reason = format!("not the answer: echoed={echoed_id:?} signed={signed}");
            self.record_failure(admitted, slot, &reason);
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

    pub(super) fn record_failure(
        &self,
        admitted: &AdmittedRequest,
        slot: &mut SlotGuard,
        reason: &str,
    ) {
        let instance = slot.upstream().instance.clone();
        warn!(
            "upstream.failed id={} instance={instance} reason={reason:?}",
            admitted.metadata.attempt_id
        );
        slot.release(AttemptOutcome::Failed);
    }

    /// Keeps a connection for later where the upstream agrees.
    pub(super) fn keep_connection(
        &self,
        slot: &SlotGuard,
        connection: Connection,
        metadata: &ResponseMetadata,
    ) {
        if !metadata.keep_connection {
            return;
        }
        let idle = metadata.idle_timeout.unwrap_or(DEFAULT_IDLE).saturating_sub(IDLE_MARGIN);
        self.pool.put(slot.upstream().address, connection, self.clock.now(), idle);
    }
}

/// Reads the body of a whole answer in time.
pub(super) async fn read_body(admitted: &AdmittedRequest, body: Body) -> Result<Bytes, LinkError> {
    let limit = TokioInstant::from_std(admitted.deadline);
    timeout_at(limit, link::read_body(body, ANSWER_LIMIT_BYTES))
        .await
        .unwrap_or_else(|_| Err(LinkError::Unknown("out of time".to_owned())))
}

/// Shared by the tasks of one thread.
pub(super) type SharedRef = Rc<Shared>;
