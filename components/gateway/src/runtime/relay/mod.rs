//! Relays an event stream from an upstream to the caller, and resumes it at another upstream where
//! the route allows that.
//!
//! Load pattern: upstreams of several software versions in one service, of which many break off at
//! once. What two versions write does not fit together, so a stream goes on at its own version.
//! `event_sequence` decides whether what comes next is the rest of the stream.

mod resume;

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use futures_util::stream;
use http_body_util::BodyExt;
use log::info;
use tokio::time::{Instant as TokioInstant, timeout_at};

use super::HeldBytes;
use super::admission::AdmittedRequest;
use super::attempt::StartedResponse;
use super::callers::OpenRequest;
use super::crash_checks::{AnswerEnd, check_for_crash};
use super::dispatch::Attempts;
use super::log_fields::or_none;
use super::slot_guard::SlotGuard;
use super::state::SharedRef;
use super::stream_versions::StreamStart;
use crate::crash_quarantine::{Run, RunResult};
use crate::event_sequence::{EventSequence, RunEnd};
use crate::events::{EventSplitter, MAX_EVENT_BYTES};
use crate::scheduler::AttemptOutcome;

/// An event stream that is being relayed. Dropping it closes the connection to the upstream.
pub(super) struct Relay {
    shared: SharedRef,
    admitted: Rc<AdmittedRequest>,
    slot: SlotGuard,
    upstream_response: Option<StartedResponse>,
    splitter: EventSplitter,
    /// Room for the incomplete event.
    held: HeldBytes,
    sequence: EventSequence,
    first_events: Option<Bytes>,
    attempts: Attempts,
    run: Run,
    event_count: u32,
    first_event_at: Option<Instant>,
    longest_pause: Duration,
    completed: bool,
}

/// Result of waiting for the first event of a stream.
pub(super) enum RelayStart {
    /// The first events have been received.
    Events(Box<Relay>),
    /// The stream failed before its first event, or may not reach the caller.
    Broken,
    /// The request's deadline passed before the first event.
    DeadlinePassed,
}

/// Error of a stream that ends before its last event. The server closes the connection, so that the
/// caller cannot take the stream for a complete one.
#[derive(Debug)]
pub(super) struct BrokenStream;

impl fmt::Display for BrokenStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stream ended before its last event")
    }
}

impl std::error::Error for BrokenStream {}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.upstream_response.is_some() {
            self.log_stream_end("caller_left");
        }
        if let Some(stream) = self.admitted.stream
            && !self.completed
        {
            self.shared.break_off_stream(stream);
        }
    }
}

/// Result of reading from an upstream's stream.
enum ReadResult {
    Events(Bytes),
    End,
    /// The connection broke, or ended before the stream.
    Broken(String),
    /// What the upstream sent is not what follows in the stream.
    Malformed(String),
    DeadlinePassed,
}

impl Relay {
    /// Waits for the first event, so that a failure before it can still be retried or returned to
    /// the caller as an error.
    pub(super) async fn start(
        shared: SharedRef,
        admitted: Rc<AdmittedRequest>,
        slot: SlotGuard,
        upstream_response: StartedResponse,
        attempts: &Attempts,
    ) -> RelayStart {
        // On other routes, upstreams begin anew.
        let resume_after =
            admitted.metadata.resume_after.filter(|_| admitted.route.kind.may_retry());
        let mut relay = Box::new(Relay {
            sequence: EventSequence::begin(resume_after),
            held: shared.byte_budget.begin_response(slot.upstream().id()),
            shared,
            admitted,
            slot,
            upstream_response: Some(upstream_response),
            splitter: EventSplitter::default(),
            first_events: None,
            attempts: Attempts {
                excluded: attempts.excluded.clone(),
                count: attempts.count,
                upstreams_used: attempts.upstreams_used + 1,
            },
            run: Run::default(),
            event_count: 0,
            first_event_at: None,
            longest_pause: Duration::ZERO,
            completed: false,
        });
        match relay.read_first_events().await {
            ReadResult::Events(events) => {
                if relay.record_start().await == StreamStart::Unmarked {
                    relay.upstream_response = None;
                    relay.slot.release(AttemptOutcome::Abandoned);
                    return RelayStart::Broken;
                }
                relay.first_events = Some(events);
                RelayStart::Events(relay)
            }
            ReadResult::End => {
                relay.complete();
                relay.first_events = Some(Bytes::new());
                RelayStart::Events(relay)
            }
            ReadResult::Broken(reason) => {
                relay.upstream_response = None;
                relay.record_broken_run(&reason);
                RelayStart::Broken
            }
            ReadResult::Malformed(reason) => {
                relay.upstream_response = None;
                relay.record_malformed_run(&reason);
                RelayStart::Broken
            }
            ReadResult::DeadlinePassed => {
                relay.upstream_response = None;
                RelayStart::DeadlinePassed
            }
        }
    }

    async fn record_start(&self) -> StreamStart {
        let Some(stream) = self.admitted.stream else { return StreamStart::Begun };
        self.shared.begin_stream(stream, self.slot.upstream(), self.admitted.deadline).await
    }

    /// The stream of events from the first one on; `open_request` is held until the last.
    pub(super) fn into_event_stream(
        self: Box<Self>,
        open_request: OpenRequest,
    ) -> impl Stream<Item = Result<ntex::util::Bytes, BrokenStream>> + Unpin + 'static {
        Box::pin(stream::unfold(Some((self, open_request)), |relay| async move {
            let (mut relay, open_request) = relay?;
            match relay.next_events().await {
                Some(Ok(events)) => {
                    let events = ntex::util::Bytes::copy_from_slice(&events);
                    Some((Ok(events), Some((relay, open_request))))
                }
                Some(Err(broken)) => Some((Err(broken), None)),
                None => None,
            }
        }))
    }

    async fn next_events(&mut self) -> Option<Result<Bytes, BrokenStream>> {
        if let Some(events) = self.first_events.take() {
            return Some(Ok(events));
        }
        loop {
            self.upstream_response.as_ref()?;
            let result = self.read_events().await;
            match &result {
                ReadResult::Events(events) => return Some(Ok(events.clone())),
                ReadResult::End => {
                    self.complete();
                    return None;
                }
                ReadResult::Broken(reason) => self.record_broken_run(reason),
                ReadResult::Malformed(reason) => self.record_malformed_run(reason),
                ReadResult::DeadlinePassed => {
                    self.upstream_response = None;
                    self.log_stream_end("timeout");
                    return Some(Err(BrokenStream));
                }
            }
            self.upstream_response = None;
            if !self.resume().await {
                self.log_stream_end("broken");
                return Some(Err(BrokenStream));
            }
        }
    }

    /// Reads up to the first event, with the comments before it.
    async fn read_first_events(&mut self) -> ReadResult {
        let mut first = BytesMut::new();
        loop {
            match self.read_events().await {
                ReadResult::Events(events) => first.extend_from_slice(&events),
                other => return other,
            }
            if self.sequence.has_events() {
                return ReadResult::Events(first.freeze());
            }
            if first.len() > MAX_EVENT_BYTES {
                return ReadResult::Malformed("no event follows the comments".to_owned());
            }
        }
    }

    async fn read_events(&mut self) -> ReadResult {
        let deadline = TokioInstant::from_std(self.admitted.deadline);
        loop {
            let Some(response) = &mut self.upstream_response else { return ReadResult::End };
            let frame = match timeout_at(deadline, response.body.frame()).await {
                Err(_) => return ReadResult::DeadlinePassed,
                Ok(None) if self.splitter.has_partial() => {
                    return ReadResult::Broken("stream ended within an event".to_owned());
                }
                Ok(None) => {
                    return match self.sequence.end_run(response.is_framed()) {
                        RunEnd::Complete => ReadResult::End,
                        RunEnd::Broken => {
                            ReadResult::Broken("stream ended without an event".to_owned())
                        }
                    };
                }
                Ok(Some(Err(error))) => return ReadResult::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            let pushed = self.splitter.push(&bytes);
            if let Err(error) = self.held.hold(self.splitter.partial_bytes()) {
                return ReadResult::Broken(error.to_string());
            }
            match pushed {
                Ok(Some(events)) => {
                    return match self.sequence.accept(&events) {
                        Ok(count) => {
                            self.record_events(count);
                            ReadResult::Events(events)
                        }
                        Err(error) => ReadResult::Malformed(error.to_string()),
                    };
                }
                Ok(None) => {}
                Err(error) => return ReadResult::Broken(error.to_string()),
            }
            self.slot.record_activity();
        }
    }

    fn record_events(&mut self, count: u32) {
        if count == 0 {
            self.slot.record_activity();
            return;
        }
        self.event_count += count;
        if self.run.record_events(self.shared.clock.now()) == RunResult::Answered {
            self.shared.record_answered(&self.admitted);
        }
        if self.first_event_at.is_none() {
            self.first_event_at = Some(self.shared.clock.now());
            self.slot.record_first_event();
        } else {
            let tokens = count.saturating_mul(self.admitted.tokens_per_event);
            self.longest_pause = self.longest_pause.max(self.slot.record_events(tokens));
        }
    }

    /// Records that the upstream's connection broke.
    fn record_broken_run(&mut self, reason: &str) {
        let upstream = self.slot.upstream();
        if self.run.has_begun() {
            check_for_crash(&self.shared, self.admitted.causes(), upstream, AnswerEnd::Broken);
        } else {
            let now = self.shared.clock.now();
            self.shared.record_crash(self.admitted.causes(), upstream.id(), now);
        }
        self.shared.record_failure(&self.admitted, &mut self.slot, reason);
    }

    /// Records that the upstream sent something else than the stream, which says nothing of what the
    /// request does to it.
    fn record_malformed_run(&mut self, reason: &str) {
        self.shared.record_failure(&self.admitted, &mut self.slot, reason);
    }

    fn record_complete_run(&mut self, is_framed: bool) {
        if !is_framed {
            let upstream = self.slot.upstream();
            let causes = self.admitted.causes();
            check_for_crash(&self.shared, causes, upstream, AnswerEnd::Unframed);
        } else if self.run.record_completion() == RunResult::Answered {
            self.shared.record_answered(&self.admitted);
        }
    }

    fn complete(&mut self) {
        if let Some(response) = self.upstream_response.take() {
            self.record_complete_run(response.is_framed());
            self.shared.keep_connection(&self.slot, response.connection, &response.metadata);
        }
        self.slot.release(AttemptOutcome::Served);
        self.shared.record_served(&self.admitted);
        self.completed = true;
        if let Some(stream) = self.admitted.stream {
            self.shared.complete_stream(stream);
        }
        self.log_stream_end("complete");
    }

    fn log_stream_end(&self, outcome: &str) {
        let now = self.shared.clock.now();
        let ms_since_arrival =
            |at: Instant| at.saturating_duration_since(self.admitted.arrived).as_millis();
        let in_time = self.meets_objectives();
        info!(
            "stream.end id={} route={} instance={} version={} resumes={} resume_after={} broker={} outcome={outcome} in_time={in_time} tier={} route_tier={} prompt_tokens={} output_limit={} output_estimate={} attempts={} assigned_ms={} first_ms={} end_ms={} events={} longest_pause_ms={}",
            self.admitted.metadata.attempt_id,
            self.admitted.route.name,
            self.slot.upstream().instance,
            self.slot.upstream().version,
            or_none(self.admitted.metadata.resumes.as_deref()),
            or_none(self.admitted.metadata.resume_after),
            self.slot.broker(),
            self.admitted.priority.tier,
            self.admitted.priority.route_tier,
            self.admitted.metadata.prompt_tokens.unwrap_or(0),
            self.admitted.metadata.max_output_tokens,
            self.admitted.metadata.output_estimate.unwrap_or(0),
            self.attempts.count,
            ms_since_arrival(self.slot.assigned_at()),
            or_none(self.first_event_at.map(ms_since_arrival)),
            ms_since_arrival(now),
            self.event_count,
            self.longest_pause.as_millis(),
        );
    }

    /// Whether the first event and all further ones arrived within the route's objectives.
    fn meets_objectives(&self) -> bool {
        let route = &self.admitted.route;
        let objective_at = self.admitted.arrived + route.latency_objective;
        self.first_event_at.is_some_and(|at| at <= objective_at)
            && route.pause_objective.is_none_or(|longest| self.longest_pause <= longest)
    }
}
