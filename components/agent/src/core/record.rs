//! The agent's record of one request.

use std::time::Instant;

use errors::{Outcome, Refusal, ResultCode};
use identity::DispatchEpoch;
use wire::{Dispatch, Work};

use super::transcript::Transcript;
use super::{
    Admission, RECORD_RETENTION, RESPONSE_LIMIT_BYTES, RequestStatus, UNREAD_RESPONSE_TIMEOUT,
    UpstreamEvent,
};

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Waits in the queue.
    Queued,
    /// Sent to the upstream.
    Running,
    /// Ended after it was sent to the upstream.
    Finished,
    /// Ended without being sent to the upstream.
    NotRun,
    /// Queried before its dispatch arrived; the dispatch is refused.
    Withdrawn,
}

#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) state: RequestState,
    /// The dispatch, until the request has ended.
    pub(super) dispatch: Option<Box<Dispatch>>,
    pub(super) epoch: DispatchEpoch,
    pub(super) deadline: Instant,
    pub(super) transcript: Transcript,
    pub(super) readers: Readers,
    ended_at: Option<Instant>,
}

/// Readers of a response.
#[derive(Debug, Default)]
pub(super) struct Readers {
    count: u32,
    last_removed_at: Option<Instant>,
}

impl Readers {
    pub(super) fn add(&mut self) {
        self.count += 1;
    }

    pub(super) fn remove(&mut self, now: Instant) {
        self.count = self.count.saturating_sub(1);
        self.last_removed_at = Some(now);
    }

    pub(super) fn has_attached_reader(&self) -> bool {
        self.count > 0
    }

    /// Whether the last reader was removed more than `UNREAD_RESPONSE_TIMEOUT` ago.
    pub(super) fn is_timed_out(&self, now: Instant) -> bool {
        let is_long_ago = |at| now.saturating_duration_since(at) > UNREAD_RESPONSE_TIMEOUT;
        self.count == 0 && self.last_removed_at.is_some_and(is_long_ago)
    }
}

impl RequestRecord {
    pub(super) fn queued(dispatch: Dispatch, deadline: Instant) -> RequestRecord {
        RequestRecord {
            state: RequestState::Queued,
            epoch: dispatch.epoch,
            dispatch: Some(Box::new(dispatch)),
            deadline,
            transcript: Transcript::default(),
            readers: Readers::default(),
            ended_at: None,
        }
    }

    pub(super) fn withdrawn(epoch: DispatchEpoch, now: Instant) -> RequestRecord {
        let mut record = RequestRecord {
            state: RequestState::Withdrawn,
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

    /// Returns the admission for a further dispatch of a recorded request.
    pub(super) fn admit_duplicate(&self, epoch: DispatchEpoch) -> Admission {
        match self.state {
            _ if epoch < self.epoch => Admission::Refused(Refusal::not_run(ResultCode::Withdrawn)),
            RequestState::Queued | RequestState::Running | RequestState::Finished => {
                Admission::Accepted
            }
            RequestState::NotRun | RequestState::Withdrawn => {
                Admission::Refused(Refusal::not_run(ResultCode::Withdrawn))
            }
        }
    }

    /// Whether a dispatch with this epoch may replace the record: the epoch is newer and the
    /// recorded dispatch was not run and never will be.
    pub(super) fn is_replaceable_by(&self, epoch: DispatchEpoch) -> bool {
        matches!(self.state, RequestState::NotRun | RequestState::Withdrawn) && epoch > self.epoch
    }

    pub(super) fn status(&self) -> RequestStatus {
        match self.state {
            RequestState::Queued => RequestStatus::Queued,
            RequestState::Running => RequestStatus::Running,
            RequestState::Finished => RequestStatus::Finished,
            RequestState::NotRun => RequestStatus::NotRun,
            RequestState::Withdrawn => RequestStatus::Withdrawn,
        }
    }

    pub(super) fn is_model_call(&self) -> bool {
        matches!(self.dispatch.as_deref().map(|d| &d.work), Some(Work::Model(_)))
    }

    /// Marks the request as running and returns the dispatch to send to the upstream.
    pub(super) fn start(&mut self) -> Option<Box<Dispatch>> {
        self.state = RequestState::Running;
        self.dispatch.clone()
    }

    /// Applies an event of the upstream and returns whether it ended the request.
    pub(super) fn apply_upstream_event(&mut self, event: UpstreamEvent, now: Instant) -> bool {
        match event {
            UpstreamEvent::Started { status, content_type } => {
                self.transcript.start(status, content_type);
                false
            }
            UpstreamEvent::Data(bytes)
                if self.transcript.len_bytes() + bytes.len() > RESPONSE_LIMIT_BYTES =>
            {
                let refusal = Refusal::new(ResultCode::UpstreamFailed, self.failure_outcome());
                self.end_started(
                    refusal.with_message("The response of the upstream exceeds the size limit."),
                    now,
                );
                true
            }
            UpstreamEvent::Data(bytes) => {
                self.transcript.append(&bytes);
                false
            }
            UpstreamEvent::Finished => {
                self.transcript.finish();
                self.set_ended(RequestState::Finished, now);
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
                let refusal = Refusal::new(ResultCode::UpstreamFailed, self.failure_outcome());
                self.end_started(refusal.with_message(reason), now);
                true
            }
        }
    }

    fn failure_outcome(&self) -> Outcome {
        if self.is_model_call() { Outcome::Ran } else { Outcome::Unknown }
    }

    /// Ends a request that was sent to the upstream.
    pub(super) fn end_started(&mut self, refusal: Refusal, now: Instant) {
        self.transcript.refuse(refusal);
        self.set_ended(RequestState::Finished, now);
    }

    /// Ends a request that was not sent to the upstream.
    pub(super) fn end_not_run(&mut self, refusal: Refusal, now: Instant) {
        self.transcript.refuse(refusal);
        self.set_ended(RequestState::NotRun, now);
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        self.ended_at.is_some_and(|ended_at| now.duration_since(ended_at) > RECORD_RETENTION)
    }

    fn set_ended(&mut self, state: RequestState, now: Instant) {
        self.state = state;
        self.dispatch = None;
        self.ended_at = Some(now);
    }
}
