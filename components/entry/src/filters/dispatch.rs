//! Follows a request after it was placed: what happened comes in, what to do next comes out.
//!
//! The rule behind every step: a request is placed again only where the agent itself said that it
//! was not handed over, or where nothing was sent.

use std::time::Duration;

use bytes::Bytes;
use errors::{Outcome, Refusal, ResultCode};
use identity::DispatchEpoch;
use wire::{AnswerEvent, Envelope, RequestKey};

use super::relay::{Relay, Taken};

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

/// What the agent says of a dispatch when it is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It never ran there and never will.
    NeverRun,
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
    /// The agent said something on the stream of the request.
    Said(Envelope),
    /// The connection broke or fell silent.
    ContactLost,
    /// The agent was asked what became of the request.
    Asked(Settled),
    /// The agent could not be asked.
    NotAsked,
    /// The caller's deadline has passed; what the agent said when the request was cancelled.
    DeadlinePassed(Option<Settled>),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
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
    Piece(Bytes),
    /// The answer is whole.
    Whole,
    /// Place the request on another upstream.
    PlaceAgain,
    /// Find out anew where the request is placed.
    RegisterAgain,
    /// Ask the agent, on a new connection and after a pause, what became of the request.
    Ask {
        /// The pause.
        pause: Duration,
    },
    /// Join the request at the agent, from this offset.
    Join {
        /// Bytes already held.
        offset_bytes: u64,
    },
    /// End with this.
    Answer(Refusal),
}

/// One request after it was placed.
#[derive(Debug)]
pub struct Dispatch {
    key: RequestKey,
    placements: u32,
    lost_contacts: u32,
    sent: bool,
    joined: bool,
    relay: Relay,
}

impl Dispatch {
    /// A request that has just been placed for the first time.
    pub fn new(key: RequestKey, epoch: DispatchEpoch) -> Dispatch {
        let relay = Relay::new(key.clone(), epoch);
        Dispatch { key, placements: 1, lost_contacts: 0, sent: false, joined: false, relay }
    }

    /// The dispatch that is followed.
    pub fn epoch(&self) -> DispatchEpoch {
        self.relay.epoch()
    }

    /// Follows another dispatch of the request, after `PlaceAgain`.
    pub fn follow(&mut self, epoch: DispatchEpoch) {
        self.relay = Relay::new(self.key.clone(), epoch);
        self.lost_contacts = 0;
        self.sent = false;
        self.joined = false;
    }

    /// Follows another dispatch, under a key of its own.
    pub fn follow_as(&mut self, key: RequestKey, epoch: DispatchEpoch) {
        self.key = key;
        self.follow(epoch);
    }

    /// Follows a dispatch that somebody made earlier. If it did not run, this attempt still may.
    pub fn join(&mut self, epoch: DispatchEpoch) {
        self.follow(epoch);
        self.sent = true;
        self.joined = true;
    }

    /// Whether the dispatch was made earlier, by somebody who may still follow it.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Takes what happened and says what to do.
    pub fn on_event(&mut self, event: Event) -> Next {
        match event {
            Event::NotSent if self.sent => self.seek_contact(),
            Event::NotSent => self.place_again(Refusal::not_run(ResultCode::NoUpstream)),
            Event::Sent => {
                self.sent = true;
                Next::Wait
            }
            Event::Said(envelope) => self.on_said(envelope),
            Event::ContactLost | Event::NotAsked => self.seek_contact(),
            Event::Asked(settled) => self.on_asked(settled),
            Event::DeadlinePassed(settled) => Next::Answer(Refusal::new(
                ResultCode::DeadlinePassed,
                self.outcome_at_deadline(settled),
            )),
        }
    }

    fn on_said(&mut self, envelope: Envelope) -> Next {
        let refusal = match &envelope.event {
            AnswerEvent::Refused(refusal) => Some(refusal.clone()),
            _ => None,
        };
        let taken = self.relay.take(envelope);
        if !matches!(taken, Taken::Gap | Taken::Crossed) {
            self.lost_contacts = 0;
        }
        match (taken, refusal) {
            (Taken::Refused(_), Some(refusal)) if self.may_place_again(&refusal) => {
                self.place_again(refusal)
            }
            (Taken::Refused(refusal), _) if is_outdated(&refusal) => {
                match self.place_again(refusal) {
                    Next::PlaceAgain => Next::RegisterAgain,
                    next => next,
                }
            }
            (Taken::Refused(refusal), _) => Next::Answer(refusal),
            (Taken::Nothing, _) => Next::Wait,
            (Taken::Head { status, content_type }, _) => Next::Head { status, content_type },
            (Taken::Piece(bytes), _) => Next::Piece(bytes),
            (Taken::Whole, _) => Next::Whole,
            (Taken::Gap | Taken::Crossed, _) => self.seek_answer(),
        }
    }

    fn on_asked(&mut self, settled: Settled) -> Next {
        match settled {
            Settled::NeverRun => self.place_again(Refusal::not_run(ResultCode::UpstreamLost)),
            Settled::Held | Settled::Running | Settled::Finished => {
                Next::Join { offset_bytes: self.relay.offset_bytes() }
            }
            Settled::ProcessGone => Next::Answer(self.lost()),
        }
    }

    fn outcome_at_deadline(&self, settled: Option<Settled>) -> Outcome {
        match settled {
            _ if !self.sent => Outcome::NotRun,
            Some(Settled::NeverRun) => Outcome::NotRun,
            Some(Settled::Running | Settled::Finished) => Outcome::Ran,
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
        (elsewhere || self.joined) && refusal.outcome == Outcome::NotRun
    }

    fn place_again(&mut self, refusal: Refusal) -> Next {
        if self.placements >= PLACEMENT_LIMIT {
            return Next::Answer(refusal.with_retry_after(RETRY_AFTER));
        }
        self.placements += 1;
        Next::PlaceAgain
    }

    /// Contact is sought a few times in a row; what cannot be learnt is unknown.
    fn seek_contact(&mut self) -> Next {
        if self.lost_contacts >= CONTACT_LIMIT {
            return Next::Answer(self.lost());
        }
        let doublings = self.lost_contacts.saturating_sub(1);
        let pause = match self.lost_contacts {
            0 => Duration::ZERO,
            _ => (CONTACT_PAUSE * 2_u32.pow(doublings)).min(CONTACT_PAUSE_LIMIT),
        };
        self.lost_contacts += 1;
        Next::Ask { pause }
    }

    /// A stream that cannot be trusted is left for a new one.
    fn seek_answer(&mut self) -> Next {
        match self.seek_contact() {
            Next::Answer(_) => {
                Next::Answer(Refusal::new(ResultCode::AnswerBroken, self.outcome_unasked()))
            }
            next => next,
        }
    }
}

/// The index that allowed the hand-over has been replaced.
fn is_outdated(refusal: &Refusal) -> bool {
    refusal.code == ResultCode::StaleFencingToken && refusal.outcome == Outcome::NotRun
}
