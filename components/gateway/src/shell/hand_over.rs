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

use super::admission::Call;
use super::seat::Seat;
use super::state::{Shared, UPSTREAM_TIMEOUTS};
use crate::dialect::HandOverFacts;
use crate::model::AnswerFacts;
use crate::outcome::HandOver;
use crate::scheduler::Ending;

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
pub(super) struct Started {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) facts: AnswerFacts,
    pub(super) body: Body,
    pub(super) connection: Connection,
}

/// How a hand-over began.
pub(super) enum Began {
    /// The head of the answer is here.
    Started(Box<Started>),
    /// There is none.
    Ended(HandOver),
    /// The time of the request is over; it was handed over.
    OutOfTime,
}

impl Shared {
    /// Sends a request to the upstream of its seat and waits for the head of the answer.
    pub(super) async fn send(
        &self,
        call: &Call,
        seat: &mut Seat,
        resume_after: Option<u64>,
    ) -> Began {
        let limit = TokioInstant::from_std(call.limit_at);
        match timeout_at(limit, self.send_in_time(call, seat, resume_after)).await {
            Ok(began) => began,
            Err(_) => Began::OutOfTime,
        }
    }

    async fn send_in_time(&self, call: &Call, seat: &mut Seat, resume_after: Option<u64>) -> Began {
        let address = seat.upstream().address;
        let repeatable = call.route.kind.may_repeat();
        let longest_idle = if repeatable { IDLE_FOR_REPEATABLE } else { IDLE_FOR_ONCE };
        if let Some(kept) = self.pool.take(address, self.clock.now(), longest_idle) {
            match self.send_on(kept, call, seat, resume_after).await {
                Began::Ended(HandOver::NotSent) => {}
                began => return began,
            }
        }
        self.metrics.upstream_connections.inc();
        match link::connect(address, UPSTREAM_TIMEOUTS).await {
            Ok(connection) => self.send_on(connection, call, seat, resume_after).await,
            Err(error) => {
                let instance = &seat.upstream().instance;
                warn!(
                    "upstream.unreachable id={} instance={instance} reason={error}",
                    call.facts.attempt_id
                );
                seat.end(Ending::Unreachable);
                Began::Ended(HandOver::NotSent)
            }
        }
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        call: &Call,
        seat: &mut Seat,
        resume_after: Option<u64>,
    ) -> Began {
        let request = match self.write_request(call, seat, resume_after) {
            Ok(request) => request,
            Err(error) => {
                warn!("request.unwritable id={} reason={error}", call.facts.attempt_id);
                return Began::Ended(HandOver::NotSent);
            }
        };
        let answered = tokio::select! {
            answered = connection.send(request) => answered,
            () = self.silence(call, seat) => {
                self.note_failure(call, seat, "silent");
                return Began::Ended(HandOver::Silent);
            }
        };
        match answered {
            Ok(answer) => self.begin(call, seat, connection, answer),
            Err(LinkError::NotSent(_)) => Began::Ended(HandOver::NotSent),
            Err(LinkError::Unknown(reason)) => {
                self.note_failure(call, seat, &reason);
                Began::Ended(HandOver::Unknown)
            }
        }
    }

    /// Ends when a request that may be repeated does better elsewhere: the upstream has sent nothing
    /// to anybody for some time. A busy upstream is late but not silent.
    async fn silence(&self, call: &Call, seat: &Seat) {
        if !call.route.kind.may_repeat() {
            return std::future::pending().await;
        }
        let patience = call.route.latency_objective * SILENT_OBJECTIVES;
        loop {
            tokio::time::sleep(patience).await;
            if self.contacts.borrow().is_silent(seat.upstream().id(), self.clock.now()) {
                return;
            }
        }
    }

    fn write_request(
        &self,
        call: &Call,
        seat: &Seat,
        resume_after: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let facts = HandOverFacts {
            instance: &seat.upstream().instance,
            customer: call.customer.as_ref().map(|customer| customer.name.as_str()),
            time_left: call.facts.patience.map(|_| call.time_left(self.clock.now())),
            resume_after,
        };
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(call.target.clone())
            .body(Full::new(call.body.clone()))?;
        *request.headers_mut() = self.dialect.write_request(&call.headers, facts);
        Ok(request)
    }

    fn begin(
        &self,
        call: &Call,
        seat: &mut Seat,
        connection: Connection,
        answer: LinkResponse,
    ) -> Began {
        let (head, body) = Response::into_parts(answer);
        let facts = self.dialect.read_answer(head.status, &head.headers);
        seat.heard();
        if facts.not_run {
            seat.end(if facts.other_instance { Ending::Replaced } else { Ending::Declined });
            return Began::Ended(HandOver::Declined);
        }
        let echoed = facts.attempt_id.as_deref();
        let other = echoed.is_some_and(|id| id != call.facts.attempt_id);
        if other || (head.status.is_success() && (!facts.signed || echoed.is_none())) {
            let signed = facts.signed;
            let reason = format!("not the answer: echoed={echoed:?} signed={signed}");
            self.note_failure(call, seat, &reason);
            return Began::Ended(HandOver::Unknown);
        }
        let started =
            Started { status: head.status, headers: head.headers, facts, body, connection };
        Began::Started(Box::new(started))
    }

    pub(super) fn note_failure(&self, call: &Call, seat: &mut Seat, reason: &str) {
        let instance = seat.upstream().instance.clone();
        warn!("upstream.failed id={} instance={instance} reason={reason:?}", call.facts.attempt_id);
        seat.end(Ending::Failed);
    }

    /// Keeps a connection for later where the upstream agrees.
    pub(super) fn keep(&self, seat: &Seat, connection: Connection, facts: &AnswerFacts) {
        if !facts.keep_connection {
            return;
        }
        let idle = facts.idle_timeout.unwrap_or(DEFAULT_IDLE).saturating_sub(IDLE_MARGIN);
        self.pool.put(seat.upstream().address, connection, self.clock.now(), idle);
    }
}

/// Reads the body of a whole answer in time.
pub(super) async fn read_body(call: &Call, body: Body) -> Result<Bytes, LinkError> {
    let limit = TokioInstant::from_std(call.limit_at);
    timeout_at(limit, link::read_whole(body, ANSWER_LIMIT_BYTES))
        .await
        .unwrap_or_else(|_| Err(LinkError::Unknown("out of time".to_owned())))
}

/// Shared by the tasks of one thread.
pub(super) type SharedRef = Rc<Shared>;
