//! A place at an upstream, freed when it is dropped.

use std::rc::Rc;
use std::time::Duration;

use super::state::Shared;
use crate::scheduler::{Assignment, Ending};

/// Holds a place for one hand-over.
pub(super) struct Seat {
    shared: Rc<Shared>,
    assignment: Assignment,
    open: bool,
}

impl Seat {
    pub(super) fn new(shared: Rc<Shared>, assignment: Assignment) -> Seat {
        Seat { shared, assignment, open: true }
    }

    /// Moves the place out; what stays behind frees nothing.
    pub(super) fn take(&mut self) -> Seat {
        let open = std::mem::take(&mut self.open);
        Seat { shared: self.shared.clone(), assignment: self.assignment.clone(), open }
    }

    pub(super) fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Takes in the first event of the answer.
    pub(super) fn first_event(&mut self) {
        let now = self.shared.clock.now();
        self.shared.scheduler.borrow_mut().first_event(&mut self.assignment, now);
    }

    /// Takes in further events of the answer; gives back the pause before them.
    pub(super) fn further_events(&mut self, count: u32) -> Duration {
        let now = self.shared.clock.now();
        self.shared.scheduler.borrow_mut().further_events(&mut self.assignment, count, now)
    }

    /// Takes in that the upstream has sent something.
    pub(super) fn heard(&self) {
        let now = self.shared.clock.now();
        self.shared.scheduler.borrow_mut().heard(&self.assignment.instance, now);
    }

    /// Frees the place.
    pub(super) fn end(&mut self, ending: Ending) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        let now = self.shared.clock.now();
        self.shared.scheduler.borrow_mut().ended(&mut self.assignment, ending, now);
        self.shared.wake_waiters(now);
        self.shared.note_load_change();
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.end(Ending::Abandoned);
    }
}
