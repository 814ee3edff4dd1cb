//! One request as the agent holds it.

use std::time::Instant;

use errors::{Outcome, Refusal, ResultCode};
use wire::{Dispatch, Work};

use super::transcript::Transcript;
use super::{Admission, KEEP_FINISHED, KEEP_WITHDRAWN, Settlement, UpstreamEvent};

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Waits.
    Queued,
    /// Handed to the upstream.
    Running,
    /// Ended after it was handed over.
    Finished,
    /// Ended without being handed over.
    NotRun,
    /// Never seen when it was asked after; refused since.
    Withdrawn,
}

#[derive(Debug)]
pub(super) struct Record {
    pub(super) state: State,
    pub(super) dispatch: Option<Box<Dispatch>>,
    pub(super) deadline: Instant,
    pub(super) transcript: Transcript,
    ended_at: Option<Instant>,
}

impl Record {
    pub(super) fn queued(dispatch: Dispatch, deadline: Instant) -> Record {
        Record {
            state: State::Queued,
            dispatch: Some(Box::new(dispatch)),
            deadline,
            transcript: Transcript::default(),
            ended_at: None,
        }
    }

    pub(super) fn withdrawn(now: Instant) -> Record {
        let mut record = Record {
            state: State::Withdrawn,
            dispatch: None,
            deadline: now,
            transcript: Transcript::default(),
            ended_at: Some(now),
        };
        record.transcript.refuse(Refusal::not_run(ResultCode::Withdrawn));
        record
    }

    /// Answers a second hand-over of the same request.
    pub(super) fn admit_again(&self) -> Admission {
        match self.state {
            State::Queued | State::Running | State::Finished => Admission::Held,
            State::NotRun | State::Withdrawn => {
                Admission::Refused(Refusal::not_run(ResultCode::Withdrawn))
            }
        }
    }

    pub(super) fn settlement(&self) -> Settlement {
        match self.state {
            State::Queued => Settlement::Queued,
            State::Running => Settlement::Running,
            State::Finished => Settlement::Finished,
            State::NotRun => Settlement::NotRun,
            State::Withdrawn => Settlement::Withdrawn,
        }
    }

    pub(super) fn is_model(&self) -> bool {
        matches!(self.dispatch.as_deref().map(|d| &d.work), Some(Work::Model(_)))
    }

    /// Marks the request as handed over and gives what to hand over.
    pub(super) fn start(&mut self) -> Option<Box<Dispatch>> {
        self.state = State::Running;
        self.dispatch.clone()
    }

    /// Takes what the upstream said; true where the request ended by it.
    pub(super) fn take_upstream_event(&mut self, event: UpstreamEvent, now: Instant) -> bool {
        match event {
            UpstreamEvent::Started { status, content_type } => {
                self.transcript.start(status, content_type);
                false
            }
            UpstreamEvent::Data(bytes) => {
                self.transcript.append(&bytes);
                false
            }
            UpstreamEvent::Finished => {
                self.transcript.finish();
                self.close(State::Finished, now);
                true
            }
            UpstreamEvent::NotReached(reason) => {
                self.end_not_run(
                    Refusal::not_run(ResultCode::NoUpstream).with_message(reason),
                    now,
                );
                true
            }
            UpstreamEvent::Failed(reason) => {
                let outcome = if self.is_model() { Outcome::Ran } else { Outcome::Unknown };
                let refusal = Refusal::new(ResultCode::UpstreamFailed, outcome);
                self.end(refusal.with_message(reason), now);
                true
            }
        }
    }

    /// Ends a request that was handed over.
    pub(super) fn end(&mut self, refusal: Refusal, now: Instant) {
        self.transcript.refuse(refusal);
        self.close(State::Finished, now);
    }

    /// Ends a request that was not handed over.
    pub(super) fn end_not_run(&mut self, refusal: Refusal, now: Instant) {
        self.transcript.refuse(refusal);
        self.close(State::NotRun, now);
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let keep = match self.state {
            State::Withdrawn | State::NotRun => KEEP_WITHDRAWN,
            _ => KEEP_FINISHED,
        };
        self.ended_at.is_some_and(|ended_at| now.duration_since(ended_at) > keep)
    }

    fn close(&mut self, state: State, now: Instant) {
        self.state = state;
        self.ended_at = Some(now);
    }
}
