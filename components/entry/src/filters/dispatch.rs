//! State machine that tracks a request after its placement. Its input is events, its output is the
//! next step for the runtime to carry out.
//!
//! A request is placed again only if the agent itself reported that it did not run, or if nothing
//! was sent. Any other retry could run it twice.

use std::time::Duration;

use bytes::Bytes;
use errors::{Outcome, Refusal, ResultCode};
use identity::DispatchEpoch;
use wire::{Envelope, RequestKey, ResponseEvent};

use super::relay::{Relay, RelayOutput};

/// Most placements of one request, including the first.
const PLACEMENT_LIMIT: u32 = 4;

/// Most reconnects to an agent in a row without a valid event of the response in between.
const RECONNECT_LIMIT: u32 = 8;

/// Pause before the second reconnect in a row; it doubles for each further one. The first reconnect
/// is made without a pause.
const INITIAL_RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause before a reconnect.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_secs(2);

/// Retry time given to the caller after the reconnects to the agent have failed, or after the last
/// placement.
const FAILED_DISPATCH_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Status of a dispatch, as reported by the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchStatus {
    /// The request did not run at the agent and never will.
    NotRun,
    /// The agent holds the request: it is queued, or it is not known whether it ran.
    Held,
    /// The request is running, or ran in part if it was cancelled.
    Running,
    /// The request ran and the agent holds its response.
    Finished,
    /// The agent process that the request was dispatched to is gone.
    ProcessGone,
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// No connection could be made; nothing was sent.
    NotSent,
    /// The request is being sent. From here on, only the agent can tell that it did not run.
    Sent,
    /// The agent sent an event on the response stream.
    Received(Envelope),
    /// The connection broke, or nothing was received for too long.
    ConnectionLost,
    /// The agent was queried and reported this status.
    StatusReceived(DispatchStatus),
    /// The agent could not be queried.
    StatusUnavailable,
    /// The caller's deadline has passed. Holds the status that the agent reported when the request
    /// was cancelled, if it replied.
    DeadlinePassed(Option<DispatchStatus>),
}

/// Output of the state machine: the step to carry out next.
#[derive(Debug, Clone, PartialEq)]
pub enum NextStep {
    /// Wait for the next event.
    Wait,
    /// Send the caller the status and content type of the response.
    Head {
        /// HTTP status of the upstream.
        status: u16,
        /// Content type of the response.
        content_type: String,
    },
    /// Send the caller the next bytes of the response.
    Data(Bytes),
    /// End the request; its response is complete.
    Complete,
    /// Place the request on another upstream.
    PlaceAgain,
    /// Register the request again with the placement index, since the registration is stale.
    RegisterAgain,
    /// Query the agent for the status of the request, on a new connection and after a pause.
    QueryAgent {
        /// Pause before the connection is made.
        pause: Duration,
    },
    /// Attach to the response stream of the request at the agent.
    Attach {
        /// Offset to read from: the number of bytes already accepted.
        offset_bytes: u64,
    },
    /// End the request with this refusal.
    Reject(Refusal),
}

/// State machine that tracks one request after its placement.
#[derive(Debug)]
pub struct DispatchTracker {
    key: RequestKey,
    placements: u32,
    consecutive_reconnects: u32,
    sent: bool,
    attached: bool,
    relay: Relay,
}

impl DispatchTracker {
    /// Starts to track a request after its first placement.
    pub fn new(key: RequestKey, epoch: DispatchEpoch) -> DispatchTracker {
        let relay = Relay::new(key.clone(), epoch);
        DispatchTracker {
            key,
            placements: 1,
            consecutive_reconnects: 0,
            sent: false,
            attached: false,
            relay,
        }
    }

    /// The epoch of the tracked dispatch.
    pub fn epoch(&self) -> DispatchEpoch {
        self.relay.epoch()
    }

    /// Tracks another dispatch of the request, after [`NextStep::PlaceAgain`].
    pub fn track_dispatch(&mut self, epoch: DispatchEpoch) {
        self.relay = Relay::new(self.key.clone(), epoch);
        self.consecutive_reconnects = 0;
        self.sent = false;
        self.attached = false;
    }

    /// Tracks another dispatch of the request, under a key of its own.
    pub fn track_dispatch_as(&mut self, key: RequestKey, epoch: DispatchEpoch) {
        self.key = key;
        self.track_dispatch(epoch);
    }

    /// Tracks a dispatch that was made earlier, possibly by another process. If it did not run, the
    /// request may still be placed again.
    pub fn attach(&mut self, epoch: DispatchEpoch) {
        self.track_dispatch(epoch);
        self.sent = true;
        self.attached = true;
    }

    /// Whether the dispatch was made earlier, so that another reader may still be attached to it.
    pub fn is_attached(&self) -> bool {
        self.attached
    }

    /// Handles an event and returns the next step.
    pub fn on_event(&mut self, event: Event) -> NextStep {
        match event {
            Event::NotSent if self.sent => self.query_agent(),
            Event::NotSent => self.place_again(Refusal::not_run(ResultCode::NoUpstream)),
            Event::Sent => {
                self.sent = true;
                NextStep::Wait
            }
            Event::Received(envelope) => self.on_received(envelope),
            Event::ConnectionLost | Event::StatusUnavailable => self.query_agent(),
            Event::StatusReceived(status) => self.on_status(status),
            Event::DeadlinePassed(status) => NextStep::Reject(Refusal::new(
                ResultCode::DeadlinePassed,
                self.outcome_at_deadline(status),
            )),
        }
    }

    fn on_received(&mut self, envelope: Envelope) -> NextStep {
        let refusal = match &envelope.event {
            ResponseEvent::Refused(refusal) => Some(refusal.clone()),
            _ => None,
        };
        let output = self.relay.accept_event(envelope);
        if !matches!(output, RelayOutput::Gap | RelayOutput::WrongDispatch) {
            self.consecutive_reconnects = 0;
        }
        match (output, refusal) {
            (RelayOutput::Refused(_), Some(refusal)) if self.may_place_again(&refusal) => {
                self.place_again(refusal)
            }
            (RelayOutput::Refused(refusal), _) if is_stale_registration(&refusal) => {
                match self.place_again(refusal) {
                    NextStep::PlaceAgain => NextStep::RegisterAgain,
                    next => next,
                }
            }
            (RelayOutput::Refused(refusal), _) => NextStep::Reject(refusal),
            (RelayOutput::NoData, _) => NextStep::Wait,
            (RelayOutput::Head { status, content_type }, _) => {
                NextStep::Head { status, content_type }
            }
            (RelayOutput::Data(bytes), _) => NextStep::Data(bytes),
            (RelayOutput::Complete, _) => NextStep::Complete,
            (RelayOutput::Gap | RelayOutput::WrongDispatch, _) => self.recover_stream(),
        }
    }

    fn on_status(&mut self, status: DispatchStatus) -> NextStep {
        match status {
            DispatchStatus::NotRun => self.place_again(Refusal::not_run(ResultCode::UpstreamLost)),
            DispatchStatus::Held | DispatchStatus::Running | DispatchStatus::Finished => {
                NextStep::Attach { offset_bytes: self.relay.offset_bytes() }
            }
            DispatchStatus::ProcessGone => NextStep::Reject(self.upstream_lost_refusal()),
        }
    }

    fn outcome_at_deadline(&self, status: Option<DispatchStatus>) -> Outcome {
        match status {
            _ if !self.sent => Outcome::NotRun,
            Some(DispatchStatus::NotRun) => Outcome::NotRun,
            Some(DispatchStatus::Running | DispatchStatus::Finished) => Outcome::Ran,
            _ => self.outcome_from_response(),
        }
    }

    /// Outcome that the response shows by itself, without a status from the agent.
    fn outcome_from_response(&self) -> Outcome {
        if self.relay.has_started() { Outcome::Ran } else { Outcome::Unknown }
    }

    fn upstream_lost_refusal(&self) -> Refusal {
        Refusal::new(ResultCode::UpstreamLost, self.outcome_from_response())
            .with_retry_after(FAILED_DISPATCH_RETRY_AFTER)
    }

    /// Whether another upstream may be tried: this one did not run the request, and the reason for
    /// the refusal may not apply to another.
    fn may_place_again(&self, refusal: &Refusal) -> bool {
        let is_retryable = matches!(
            refusal.code,
            ResultCode::Draining
                | ResultCode::NoUpstream
                | ResultCode::Overloaded
                | ResultCode::Withdrawn
        );
        (is_retryable || self.attached) && refusal.outcome == Outcome::NotRun
    }

    fn place_again(&mut self, refusal: Refusal) -> NextStep {
        if self.placements >= PLACEMENT_LIMIT {
            return NextStep::Reject(refusal.with_retry_after(FAILED_DISPATCH_RETRY_AFTER));
        }
        self.placements += 1;
        NextStep::PlaceAgain
    }

    /// Queries the agent again after a lost connection. After [`RECONNECT_LIMIT`] queries in a row,
    /// the request ends with what is known of its outcome.
    fn query_agent(&mut self) -> NextStep {
        if self.consecutive_reconnects >= RECONNECT_LIMIT {
            return NextStep::Reject(self.upstream_lost_refusal());
        }
        let doublings = self.consecutive_reconnects.saturating_sub(1);
        let pause = match self.consecutive_reconnects {
            0 => Duration::ZERO,
            _ => (INITIAL_RECONNECT_PAUSE * 2_u32.pow(doublings)).min(MAX_RECONNECT_PAUSE),
        };
        self.consecutive_reconnects += 1;
        NextStep::QueryAgent { pause }
    }

    /// Replaces a response stream that has a gap or an event of another dispatch by a new one.
    fn recover_stream(&mut self) -> NextStep {
        match self.query_agent() {
            NextStep::Reject(_) => NextStep::Reject(Refusal::new(
                ResultCode::AnswerBroken,
                self.outcome_from_response(),
            )),
            next => next,
        }
    }
}

/// Whether a dispatch was refused because the placement index that allowed it has been replaced.
fn is_stale_registration(refusal: &Refusal) -> bool {
    refusal.code == ResultCode::StaleFencingToken && refusal.outcome == Outcome::NotRun
}
