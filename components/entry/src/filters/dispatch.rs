//! Follows a request after it was placed: what happened comes in, what to do next comes out.
//!
//! The rule behind every step: a request is placed again only where the agent itself said that it
//! was not handed over, or where nothing was sent.

use std::time::Duration;

use bytes::Bytes;
use errors::{Outcome, Refusal, ResultCode};
use wire::AnswerEvent;

use super::relay::{Relay, Taken};

/// How often a request may be placed.
const PLACEMENT_LIMIT: u32 = 4;

/// How often contact is sought again after it was lost.
const CONTACT_LIMIT: u32 = 4;

/// When to come back after contact was lost for good.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The agent said something of the request.
    Said(AnswerEvent),
    /// No connection could be made; nothing was sent.
    NotSent,
    /// The connection broke or fell silent.
    ContactLost,
    /// The agent was asked, and knows the request or its answer.
    Known,
    /// The agent was asked, and the request will never run there.
    NeverRun,
    /// The agent could not be asked.
    NotAsked,
    /// The caller's deadline has passed.
    DeadlinePassed,
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
    /// Ask the agent, on a new connection, what became of the request.
    Ask,
    /// Join the request at the agent, on a new connection, from this offset.
    Join {
        /// Bytes already held.
        offset_bytes: u64,
    },
    /// End with this.
    Answer(Refusal),
}

/// One request after it was placed.
#[derive(Debug, Default)]
pub struct Dispatch {
    placements: u32,
    lost_contacts: u32,
    relay: Relay,
}

impl Dispatch {
    /// A request that has just been placed for the first time.
    pub fn new() -> Dispatch {
        Dispatch { placements: 1, ..Dispatch::default() }
    }

    /// Takes what happened and says what to do.
    pub fn on_event(&mut self, event: Event) -> Next {
        match event {
            Event::Said(said) => self.on_said(said),
            Event::NotSent => self.place_again(Refusal::not_run(ResultCode::NoUpstream)),
            Event::ContactLost => self.seek_contact(),
            Event::Known => Next::Join { offset_bytes: self.relay.offset_bytes() },
            Event::NeverRun => self.place_again(Refusal::not_run(ResultCode::UpstreamLost)),
            Event::NotAsked => self.seek_contact(),
            Event::DeadlinePassed => {
                Next::Answer(Refusal::new(ResultCode::DeadlinePassed, Outcome::Unknown))
            }
        }
    }

    fn on_said(&mut self, said: AnswerEvent) -> Next {
        self.lost_contacts = 0;
        if let AnswerEvent::Refused(refusal) = &said
            && self.may_place_again(refusal)
        {
            return self.place_again(refusal.clone());
        }
        match self.relay.take(said) {
            Taken::Nothing => Next::Wait,
            Taken::Head { status, content_type } => Next::Head { status, content_type },
            Taken::Piece(bytes) => Next::Piece(bytes),
            Taken::Whole => Next::Whole,
            Taken::Gap => Next::Join { offset_bytes: self.relay.offset_bytes() },
            Taken::Refused(refusal) => Next::Answer(refusal),
        }
    }

    /// Another upstream may do better only where this one did not run the request.
    fn may_place_again(&self, refusal: &Refusal) -> bool {
        let elsewhere = matches!(
            refusal.code,
            ResultCode::Draining | ResultCode::NoUpstream | ResultCode::Overloaded
        );
        elsewhere && refusal.outcome == Outcome::NotRun
    }

    fn place_again(&mut self, refusal: Refusal) -> Next {
        if self.placements >= PLACEMENT_LIMIT {
            return Next::Answer(refusal);
        }
        self.placements += 1;
        Next::PlaceAgain
    }

    fn seek_contact(&mut self) -> Next {
        if self.lost_contacts >= CONTACT_LIMIT {
            let refusal = Refusal::new(ResultCode::UpstreamLost, Outcome::Unknown);
            return Next::Answer(refusal.with_retry_after(RETRY_AFTER));
        }
        self.lost_contacts += 1;
        Next::Ask
    }
}
