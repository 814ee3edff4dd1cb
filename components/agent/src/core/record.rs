//! One request as the agent holds it.

use std::time::Instant;

use errors::{Outcome, Refusal, ResultCode};
use identity::DispatchEpoch;
use wire::{Dispatch, Work};

use super::transcript::Transcript;
use super::{
    ANSWER_LIMIT_BYTES, Admission, KEEP_UNREAD, KEEP_WITHDRAWN, RequestStatus, UpstreamEvent,
};

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
    pub(super) epoch: DispatchEpoch,
    pub(super) deadline: Instant,
    pub(super) transcript: Transcript,
    pub(super) readers: Readers,
    ended_at: Option<Instant>,
}

/// Who reads the answer.
#[derive(Debug, Default)]
pub(super) struct Readers {
    count: u32,
    last_left_at: Option<Instant>,
}

impl Readers {
    pub(super) fn join(&mut self) {
        self.count += 1;
    }

    pub(super) fn leave(&mut self, now: Instant) {
        self.count = self.count.saturating_sub(1);
        self.last_left_at = Some(now);
    }

    pub(super) fn are_there(&self) -> bool {
        self.count > 0
    }

    pub(super) fn are_gone(&self, now: Instant) -> bool {
        let long_ago = |at| now.saturating_duration_since(at) > KEEP_UNREAD;
        self.count == 0 && self.last_left_at.is_some_and(long_ago)
    }
}

impl Record {
    pub(super) fn queued(dispatch: Dispatch, deadline: Instant) -> Record {
        Record {
            state: State::Queued,
            epoch: dispatch.epoch,
            dispatch: Some(Box::new(dispatch)),
            deadline,
            transcript: Transcript::default(),
            readers: Readers::default(),
            ended_at: None,
        }
    }

    pub(super) fn withdrawn(epoch: DispatchEpoch, now: Instant) -> Record {
        let mut record = Record {
            state: State::Withdrawn,
            dispatch: None,
            epoch,
            deadline: now,
            transcript: Transcript::default(),
            readers: Readers::default(),
            ended_at: Some(now),
        };
        record.transcript.refuse(Refusal::not_run(ResultCode::Withdrawn));
        record
    }

    /// Answers a second hand-over of the same request.
    pub(super) fn admit_again(&self, epoch: DispatchEpoch) -> Admission {
        match self.state {
            _ if epoch < self.epoch => Admission::Refused(Refusal::not_run(ResultCode::Withdrawn)),
            State::Queued | State::Running | State::Finished => Admission::Accepted,
            State::NotRun | State::Withdrawn => {
                Admission::Refused(Refusal::not_run(ResultCode::Withdrawn))
            }
        }
    }

    /// Whether a dispatch of this epoch may take the place of the record: nothing of it ever ran.
    pub(super) fn gives_way_to(&self, epoch: DispatchEpoch) -> bool {
        matches!(self.state, State::NotRun | State::Withdrawn) && epoch > self.epoch
    }

    pub(super) fn status(&self) -> RequestStatus {
        match self.state {
            State::Queued => RequestStatus::Queued,
            State::Running => RequestStatus::Running,
            State::Finished => RequestStatus::Finished,
            State::NotRun => RequestStatus::NotRun,
            State::Withdrawn => RequestStatus::Withdrawn,
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
            UpstreamEvent::Data(bytes)
                if self.transcript.len_bytes() + bytes.len() > ANSWER_LIMIT_BYTES =>
            {
                let refusal = Refusal::new(ResultCode::UpstreamFailed, self.failed_outcome());
                self.end(refusal.with_message("The answer is too long."), now);
                true
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
                let refusal = Refusal::new(ResultCode::UpstreamFailed, self.failed_outcome());
                self.end(refusal.with_message(reason), now);
                true
            }
        }
    }

    fn failed_outcome(&self) -> Outcome {
        if self.is_model() { Outcome::Ran } else { Outcome::Unknown }
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
        self.ended_at.is_some_and(|ended_at| now.duration_since(ended_at) > KEEP_WITHDRAWN)
    }

    fn close(&mut self, state: State, now: Instant) {
        self.state = state;
        self.dispatch = None;
        self.ended_at = Some(now);
    }
}
