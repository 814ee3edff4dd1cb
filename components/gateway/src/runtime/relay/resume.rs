//! Resumes a stream that broke off at another upstream.
//!
//! Load pattern: an upstream ends with all its streams, which ask for slots elsewhere at the same time.
//! They go before requests that have not begun, and wait for a slot for a short time only.

use std::time::Duration;

use http::StatusCode;
use log::info;

use super::Relay;
use crate::model::VersionId;
use crate::retry::AttemptResult;
use crate::runtime::attempt::{SendResult, StartedResponse};
use crate::runtime::slots;
use crate::scheduler::{Job, Priority};

/// Longest time that a broken stream waits for the slot at which it resumes; callers wait a few
/// times longer for its next event.
const RESUME_WAIT_LIMIT: Duration = Duration::from_millis(500);

impl Relay {
    /// Resumes the stream after the last complete event, at another upstream of its version; returns
    /// whether that succeeded.
    pub(super) async fn resume(&mut self) -> bool {
        self.splitter.reset();
        self.run = self.run.resume();
        let Some(after) = self.sequence.begin_further_run() else { return false };
        let admitted = self.admitted.clone();
        while self.attempts.upstreams_used < admitted.route.max_upstreams {
            self.attempts.excluded.push(self.slot.upstream().id());
            if !self.shared.may_retry(&admitted, &self.attempts, true) {
                return false;
            }
            self.attempts.count += 1;
            // An upstream that has started again at another version may have begun the stream.
            let stream = admitted.stream;
            let Some(version) = stream.and_then(|id| self.shared.stream_version(id)) else {
                return false;
            };
            let Ok(slot) = slots::acquire(&self.shared, self.resume_job(version)).await else {
                return false;
            };
            self.held = self.shared.byte_budget.begin_response(slot.upstream().id());
            self.slot = slot;
            let result = self.shared.send_request(&admitted, &mut self.slot, Some(after)).await;
            info!(
                "stream.resume id={} instance={} version={} after={after}",
                admitted.metadata.attempt_id,
                self.slot.upstream().instance,
                self.slot.upstream().version,
            );
            match result {
                SendResult::Started(started) if goes_on(&started) => {
                    self.attempts.upstreams_used += 1;
                    self.upstream_response = Some(*started);
                    return true;
                }
                SendResult::Started(started) => {
                    self.attempts.upstreams_used += 1;
                    let status = started.status.as_u16();
                    self.record_malformed_run(&format!("no event stream, but status {status}"));
                }
                SendResult::Ended(AttemptResult::NotSent | AttemptResult::Declined) => {}
                SendResult::Ended(_) => self.attempts.upstreams_used += 1,
                SendResult::DeadlinePassed => return false,
            }
        }
        false
    }

    /// Describes the resumed stream for the scheduler.
    fn resume_job(&self, version: VersionId) -> Job {
        let now = self.shared.clock.now();
        Job {
            priority: Priority::RESUMED,
            session_part: None,
            is_last_attempt: true,
            objective_at: now + RESUME_WAIT_LIMIT,
            queue_deadline: now + RESUME_WAIT_LIMIT,
            version: Some(version),
            excluded: self.attempts.excluded.clone(),
            ..self.admitted.to_job()
        }
    }
}

/// Whether a response may be the rest of a stream. The caller has the status of the first run.
fn goes_on(started: &StartedResponse) -> bool {
    started.status == StatusCode::OK && started.is_event_stream()
}
