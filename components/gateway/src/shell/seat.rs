//! A place at an upstream, given back when it is dropped.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::state::Shared;
use crate::broker::Ticket;
use crate::model::{PeerId, Upstream};
use crate::scheduler::{Ending, Observed};

/// Holds a place for one hand-over.
pub(super) struct Seat {
    shared: Rc<Shared>,
    /// Who gave it.
    broker: PeerId,
    ticket: Ticket,
    upstream: Upstream,
    at: Instant,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    output_tokens: u32,
    open: bool,
}

impl Seat {
    pub(super) fn new(
        shared: Rc<Shared>,
        broker: PeerId,
        ticket: Ticket,
        upstream: Upstream,
    ) -> Seat {
        let at = shared.clock.now();
        shared.begin_holding(ticket, upstream.id(), at);
        Seat {
            shared,
            broker,
            ticket,
            upstream,
            at,
            first_event_at: None,
            last_event_at: None,
            output_tokens: 0,
            open: true,
        }
    }

    /// Moves the place out; what stays behind gives nothing back.
    pub(super) fn take(&mut self) -> Seat {
        let open = std::mem::take(&mut self.open);
        Seat { shared: self.shared.clone(), upstream: self.upstream.clone(), open, ..*self }
    }

    pub(super) fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// When the place was given.
    pub(super) fn at(&self) -> Instant {
        self.at
    }

    /// Takes in the first event of the answer, or the head of a plain one.
    pub(super) fn first_event(&mut self) {
        let now = self.shared.clock.now();
        self.first_event_at = Some(now);
        self.last_event_at = Some(now);
        self.heard();
    }

    /// Takes in further events of the answer; gives back the pause before them.
    pub(super) fn further_events(&mut self, tokens: u32) -> Duration {
        let now = self.shared.clock.now();
        let before = self.last_event_at.replace(now).unwrap_or(now);
        self.output_tokens = self.output_tokens.saturating_add(tokens);
        self.heard();
        now.saturating_duration_since(before)
    }

    /// Takes in that the upstream has sent something.
    pub(super) fn heard(&self) {
        let now = self.shared.clock.now();
        self.shared.contacts.borrow_mut().hear(self.upstream.id(), now);
    }

    /// Gives the place back.
    pub(super) fn end(&mut self, ending: Ending) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        let observed = self.observed(ending);
        self.shared.end_holding(self.broker, self.ticket, self.upstream.id(), observed);
    }

    fn observed(&self, ending: Ending) -> Observed {
        let first_event = self.first_event_at.map(|at| at.saturating_duration_since(self.at));
        let output = self
            .first_event_at
            .zip(self.last_event_at)
            .map(|(first, last)| (last.saturating_duration_since(first), self.output_tokens));
        Observed { ending, first_event, output: output.filter(|(_, tokens)| *tokens > 0) }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.end(Ending::Abandoned);
    }
}
