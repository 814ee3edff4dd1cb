//! Follows a request after it was placed: what happened comes in, what to do next comes out.
//!
//! The rule behind every step: a request is placed again only where the agent itself said that it
//! was not handed over, or where nothing was sent.

use std::time::Duration;

use bytes::Bytes;
use errors::{Outcome, Refusal, ResultCode};
use identity::DispatchEpoch;
use wire::{Envelope, RequestKey, ResponseEvent};

use super::relay::{Relay, RelayOutput};

/// How often a request may be placed.
const PLACEMENT_LIMIT: u32 = 4;

/// How often contact is sought again in a row after it was lost.
const CONTACT_LIMIT: u32 = 8;

/// Pause before the second attempt in a row; doubled for each further one.
const CONTACT_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two attempts.
const CONTACT_PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// When to come back after contact was lost for good.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Status of a dispatch, as the agent reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchStatus {
    /// It never ran there and never will.
    NotRun,
    /// It waits or runs.
    Held,
    /// It runs; where it was cancelled, it ran in part.
    Running,
    /// It ran, and its answer is known.
    Finished,
    /// The process that it was handed to is gone.
    ProcessGone,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// No connection could be made; nothing was sent.
    NotSent,
    /// The request is being sent; from here on only the agent can say that it did not run.
    Sent,
    /// The agent sent an event on the request's stream.
    Received(Envelope),
    /// The connection broke or fell silent.
    ConnectionLost,
    /// The agent was asked what became of the request.
    StatusReceived(DispatchStatus),
    /// The agent could not be asked.
    StatusUnavailable,
    /// The caller's deadline has passed; what the agent said when the request was cancelled.
    DeadlinePassed(Option<DispatchStatus>),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum NextStep {
    /// Wait for what happens.
    Wait,
    /// Tell the caller the status and type of the answer.
    Head {
        /// HTTP status of the upstream.
        status: u16,
        /// Content type of the answer.
        content_type: String,
    },
    /// Pass a piece on to the caller.
    Data(Bytes),
    /// The answer is whole.
    Complete,
    /// Place the request on another upstream.
    PlaceAgain,
    /// Find out anew where the request is placed.
    RegisterAgain,
    /// Query the agent, on a new connection and after a pause, what became of the request.
    QueryAgent {
        /// The pause.
        pause: Duration,
    },
    /// Attach to the request at the agent, from this offset.
    Attach {
        /// Bytes already held.
        offset_bytes: u64,
    },
    /// End with this.
    Reject(Refusal),
}

/// Tracks one request after it was placed.
#[derive(Debug)]
pub struct DispatchTracker {
    key: RequestKey,
    placements: u32,
    lost_contacts: u32,
    sent: bool,
    attached: bool,
    relay: Relay,
}

impl DispatchTracker {
    /// A request that has just been placed for the first time.
    pub fn new(key: RequestKey, epoch: DispatchEpoch) -> DispatchTracker {
        let relay = Relay::new(key.clone(), epoch);
        DispatchTracker {
            key,
            placements: 1,
            lost_contacts: 0,
            sent: false,
            attached: false,
            relay,
        }
    }

    /// The dispatch that is followed.
    pub fn epoch(&self) -> DispatchEpoch {
        self.relay.epoch()
    }

    /// Tracks another dispatch of the request, after `PlaceAgain`.
    pub fn track_dispatch(&mut self, epoch: DispatchEpoch) {
        self.relay = Relay::new(self.key.clone(), epoch);
        self.lost_contacts = 0;
        self.sent = false;
        self.attached = false;
    }

    /// Tracks another dispatch, under its own key.
    pub fn track_dispatch_as(&mut self, key: RequestKey, epoch: DispatchEpoch) {
        self.key = key;
        self.track_dispatch(epoch);
    }

    /// Follows a dispatch that somebody made earlier. If it did not run, this attempt still may.
    pub fn attach(&mut self, epoch: DispatchEpoch) {
        self.track_dispatch(epoch);
        self.sent = true;
        self.attached = true;
    }

    /// Whether the dispatch was made earlier, by somebody who may still follow it.
    pub fn is_attached(&self) -> bool {
        self.attached
    }

    /// Takes what happened and says what to do.
    pub fn on_event(&mut self, event: Event) -> NextStep {
        match event {
            Event::NotSent if self.sent => self.seek_contact(),
            Event::NotSent => self.place_again(Refusal::not_run(ResultCode::NoUpstream)),
            Event::Sent => {
                self.sent = true;
                NextStep::Wait
            }
            Event::Received(envelope) => self.on_received(envelope),
            Event::ConnectionLost | Event::StatusUnavailable => self.seek_contact(),
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
            self.lost_contacts = 0;
        }
        match (output, refusal) {
            (RelayOutput::Refused(_), Some(refusal)) if self.may_place_again(&refusal) => {
                self.place_again(refusal)
            }
            (RelayOutput::Refused(refusal), _) if is_outdated(&refusal) => {
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
            (RelayOutput::Gap | RelayOutput::WrongDispatch, _) => self.seek_answer(),
        }
    }

    fn on_status(&mut self, status: DispatchStatus) -> NextStep {
        match status {
            DispatchStatus::NotRun => self.place_again(Refusal::not_run(ResultCode::UpstreamLost)),
            DispatchStatus::Held | DispatchStatus::Running | DispatchStatus::Finished => {
                NextStep::Attach { offset_bytes: self.relay.offset_bytes() }
            }
            DispatchStatus::ProcessGone => NextStep::Reject(self.lost()),
        }
    }

    fn outcome_at_deadline(&self, status: Option<DispatchStatus>) -> Outcome {
        match status {
            _ if !self.sent => Outcome::NotRun,
            Some(DispatchStatus::NotRun) => Outcome::NotRun,
            Some(DispatchStatus::Running | DispatchStatus::Finished) => Outcome::Ran,
            _ => self.outcome_unasked(),
        }
    }

    fn outcome_unasked(&self) -> Outcome {
        if self.relay.has_started() { Outcome::Ran } else { Outcome::Unknown }
    }

    fn lost(&self) -> Refusal {
        Refusal::new(ResultCode::UpstreamLost, self.outcome_unasked()).with_retry_after(RETRY_AFTER)
    }

    /// Another upstream may do better only where this one did not run the request.
    fn may_place_again(&self, refusal: &Refusal) -> bool {
        let elsewhere = matches!(
            refusal.code,
            ResultCode::Draining
                | ResultCode::NoUpstream
                | ResultCode::Overloaded
                | ResultCode::Withdrawn
        );
        (elsewhere || self.attached) && refusal.outcome == Outcome::NotRun
    }

    fn place_again(&mut self, refusal: Refusal) -> NextStep {
        if self.placements >= PLACEMENT_LIMIT {
            return NextStep::Reject(refusal.with_retry_after(RETRY_AFTER));
        }
        self.placements += 1;
        NextStep::PlaceAgain
    }

    /// Contact is sought a few times in a row; what cannot be learnt is unknown.
    fn seek_contact(&mut self) -> NextStep {
        if self.lost_contacts >= CONTACT_LIMIT {
            return NextStep::Reject(self.lost());
        }
        let doublings = self.lost_contacts.saturating_sub(1);
        let pause = match self.lost_contacts {
            0 => Duration::ZERO,
            _ => (CONTACT_PAUSE * 2_u32.pow(doublings)).min(CONTACT_PAUSE_LIMIT),
        };
        self.lost_contacts += 1;
        NextStep::QueryAgent { pause }
    }

    /// A stream that cannot be trusted is left for a new one.
    fn seek_answer(&mut self) -> NextStep {
        match self.seek_contact() {
            NextStep::Reject(_) => {
                NextStep::Reject(Refusal::new(ResultCode::AnswerBroken, self.outcome_unasked()))
            }
            next => next,
        }
    }
}

/// The index that allowed the hand-over has been replaced.
fn is_outdated(refusal: &Refusal) -> bool {
    refusal.code == ResultCode::StaleFencingToken && refusal.outcome == Outcome::NotRun
}
