//! Passes a stream on, event by event, and goes on at another upstream where the route allows.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use http_body_util::BodyExt;
use log::info;
use tokio::time::{Instant as TokioInstant, timeout_at};

use super::admission::AdmittedRequest;
use super::attempt::{SendResult, SharedRef, StartedResponse};
use super::callers::OpenRequest;
use super::dispatch::Attempts;
use super::fields::or_none;
use super::slot_guard::SlotGuard;
use super::slots;
use crate::events::{EventSplitter, count_events, last_event_id};
use crate::retry::AttemptResult;
use crate::scheduler::{AttemptOutcome, Job, Priority};

/// Longest wait for a place at which a broken stream goes on; callers wait a few times longer for its
/// next event.
const RESUMED_WITHIN: Duration = Duration::from_millis(500);

/// A stream that is being passed on. Dropping it closes the connection to the upstream.
pub(super) struct Relay {
    shared: SharedRef,
    admitted: Rc<AdmittedRequest>,
    slot: SlotGuard,
    source: Option<StartedResponse>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    first: Option<Bytes>,
    attempts: Attempts,
    events: u32,
    first_at: Option<Instant>,
    longest_pause: Duration,
}

/// How a stream began.
pub(super) enum RelayStart {
    /// Its first events are here.
    Events(Box<Relay>),
    /// It broke off before its first event.
    Broken,
    /// Its time ran out before its first event.
    OutOfTime,
}

/// The stream ends before its last event. The server closes the connection, so that it cannot be
/// taken for a whole one.
#[derive(Debug)]
pub(super) struct BrokenStream;

impl fmt::Display for BrokenStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stream broke off")
    }
}

impl std::error::Error for BrokenStream {}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.source.is_some() {
            self.log_end("caller_left");
        }
    }
}

enum Read {
    Events(Bytes),
    End,
    Broken(String),
    OutOfTime,
}

impl Relay {
    /// Waits for the first event, so that a failure before it can still be answered as one.
    pub(super) async fn begin(
        shared: SharedRef,
        admitted: Rc<AdmittedRequest>,
        slot: SlotGuard,
        source: StartedResponse,
        attempts: &Attempts,
    ) -> RelayStart {
        let mut relay = Box::new(Relay {
            last_id: admitted.metadata.resume_after,
            shared,
            admitted,
            slot,
            source: Some(source),
            splitter: EventSplitter::default(),
            first: None,
            attempts: Attempts {
                excluded: attempts.excluded.clone(),
                count: attempts.count,
                upstreams_used: attempts.upstreams_used + 1,
            },
            events: 0,
            first_at: None,
            longest_pause: Duration::ZERO,
        });
        match relay.read().await {
            Read::Events(events) => {
                relay.first = Some(events);
                RelayStart::Events(relay)
            }
            Read::End => {
                relay.finish();
                relay.first = Some(Bytes::new());
                RelayStart::Events(relay)
            }
            Read::Broken(reason) => {
                relay.source = None;
                relay.shared.record_failure(&relay.admitted, &mut relay.slot, &reason);
                RelayStart::Broken
            }
            Read::OutOfTime => {
                relay.source = None;
                RelayStart::OutOfTime
            }
        }
    }

    /// The events from the first one on; `open` is held until the last.
    pub(super) fn into_events(
        self: Box<Self>,
        open: OpenRequest,
    ) -> impl Stream<Item = Result<ntex::util::Bytes, BrokenStream>> + Unpin + 'static {
        Box::pin(stream::unfold(Some((self, open)), |relay| async move {
            let (mut relay, open) = relay?;
            match relay.next().await {
                Some(Ok(events)) => {
                    let events = ntex::util::Bytes::copy_from_slice(&events);
                    Some((Ok(events), Some((relay, open))))
                }
                Some(Err(broken)) => Some((Err(broken), None)),
                None => None,
            }
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, BrokenStream>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        loop {
            self.source.as_ref()?;
            let reason = match self.read().await {
                Read::Events(events) => return Some(Ok(events)),
                Read::End => {
                    self.finish();
                    return None;
                }
                Read::Broken(reason) => reason,
                Read::OutOfTime => {
                    self.source = None;
                    self.log_end("timeout");
                    return Some(Err(BrokenStream));
                }
            };
            self.source = None;
            self.shared.record_failure(&self.admitted, &mut self.slot, &reason);
            if !self.resume().await {
                self.log_end("broken");
                return Some(Err(BrokenStream));
            }
        }
    }

    async fn read(&mut self) -> Read {
        let limit = TokioInstant::from_std(self.admitted.deadline);
        loop {
            let Some(source) = &mut self.source else { return Read::End };
            let frame = match timeout_at(limit, source.body.frame()).await {
                Err(_) => return Read::OutOfTime,
                Ok(None) if self.splitter.has_partial() => {
                    return Read::Broken("ended within an event".to_owned());
                }
                Ok(None) => return Read::End,
                Ok(Some(Err(error))) => return Read::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            if let Some(events) = self.splitter.push(&bytes) {
                self.record_events(&events);
                return Read::Events(events);
            }
            self.slot.record_activity();
        }
    }

    fn record_events(&mut self, events: &[u8]) {
        self.last_id = last_event_id(events).or(self.last_id);
        let count = count_events(events);
        self.events += count;
        if self.first_at.is_none() {
            self.first_at = Some(self.shared.clock.now());
            self.slot.record_first_event();
        } else {
            let tokens = count.saturating_mul(self.admitted.tokens_per_event);
            self.longest_pause = self.longest_pause.max(self.slot.record_events(tokens));
        }
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            self.shared.keep_connection(&self.slot, source.connection, &source.metadata);
        }
        self.slot.release(AttemptOutcome::Served);
        self.log_end("whole");
    }

    fn log_end(&self, outcome: &str) {
        let now = self.shared.clock.now();
        let since = |at: Instant| at.saturating_duration_since(self.admitted.arrived).as_millis();
        let in_time = self.is_in_time();
        info!(
            "stream.end id={} route={} instance={} outcome={outcome} in_time={in_time} tier={} route_tier={} prompt_tokens={} output_limit={} output_estimate={} hand_overs={} placed_ms={} first_ms={} end_ms={} events={} longest_pause_ms={}",
            self.admitted.metadata.attempt_id,
            self.admitted.route.name,
            self.slot.upstream().instance,
            self.admitted.priority.tier,
            self.admitted.priority.route_tier,
            self.admitted.metadata.prompt_tokens.unwrap_or(0),
            self.admitted.metadata.max_output_tokens,
            self.admitted.metadata.output_estimate.unwrap_or(0),
            self.attempts.count,
            since(self.slot.assigned_at()),
            or_none(self.first_at.map(since)),
            since(now),
            self.events,
            self.longest_pause.as_millis(),
        );
    }

    /// Whether the stream had its first event, and every further one, within the route's objectives.
    fn is_in_time(&self) -> bool {
        let route = &self.admitted.route;
        let objective_at = self.admitted.arrived + route.latency_objective;
        self.first_at.is_some_and(|at| at <= objective_at)
            && route.pause_objective.is_none_or(|longest| self.longest_pause <= longest)
    }

    /// Goes on at another upstream after the last whole event.
    async fn resume(&mut self) -> bool {
        self.splitter.reset();
        let admitted = self.admitted.clone();
        let resumable = admitted.route.kind.may_retry();
        while resumable && self.attempts.upstreams_used < admitted.route.max_upstreams {
            self.attempts.excluded.push(self.slot.upstream().id());
            if !self.shared.may_retry(&admitted, &self.attempts, true) {
                return false;
            }
            self.attempts.count += 1;
            let Ok(slot) = slots::acquire(&self.shared, self.resume_job()).await else {
                return false;
            };
            self.slot = slot;
            let result = self.shared.send(&admitted, &mut self.slot, self.last_id).await;
            info!(
                "stream.resume id={} instance={} after={}",
                admitted.metadata.attempt_id,
                self.slot.upstream().instance,
                or_none(self.last_id)
            );
            match result {
                SendResult::Started(started) if started.status.is_success() => {
                    self.attempts.upstreams_used += 1;
                    self.source = Some(*started);
                    return true;
                }
                SendResult::Ended(AttemptResult::NotSent | AttemptResult::Declined) => {}
                SendResult::Started(_) | SendResult::Ended(_) => self.attempts.upstreams_used += 1,
                SendResult::OutOfTime => return false,
            }
        }
        false
    }

    /// A broken stream goes before all that has not begun.
    fn resume_job(&self) -> Job {
        let now = self.shared.clock.now();
        Job {
            priority: Priority { tier: 0, route_tier: 0 },
            session_part: None,
            is_last_attempt: true,
            objective_at: now + RESUMED_WITHIN,
            queue_deadline: now + RESUMED_WITHIN,
            excluded: self.attempts.excluded.clone(),
            ..self.admitted.job()
        }
    }
}
