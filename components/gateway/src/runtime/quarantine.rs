//! Applies the quarantine of requests and prompt parts, and tells it the results of attempts.

use std::iter;

use errors::{Refusal, ResultCode};
use http::StatusCode;
use log::{info, warn};

use super::admission::{AdmittedRequest, clamp_retry_after};
use super::slot_guard::SlotGuard;
use super::state::Shared;
use crate::broker::ElectionKey;
use crate::crash_quarantine::{Cause, QuarantineDecision, QuarantineNews};
use crate::model::PeerId;

/// Whether a request that may be sent tests a quarantined cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QuarantineCheck {
    /// Nothing of it is quarantined.
    Unquarantined,
    /// It tests a cause, and is not checked again.
    Tests,
}

/// What a request may make upstreams end by: the shared parts of its prompt, and all of it.
fn causes(admitted: &AdmittedRequest) -> impl Iterator<Item = Cause> + '_ {
    let parts = admitted.metadata.shared_parts().map(Cause::PromptPart);
    parts.chain(iter::once_with(|| Cause::Request(admitted.hash())))
}

impl Shared {
    /// Refuses a request under which upstreams end, unless it is sent as a test.
    pub(super) fn check_quarantine(
        &self,
        admitted: &AdmittedRequest,
    ) -> Result<QuarantineCheck, Refusal> {
        let is_tester = |cause: Cause| {
            self.ranked_gateways(ElectionKey::Cause(cause)).first() == Some(&self.process_id)
        };
        let now = self.clock.now();
        let decision = self.crash_quarantine.borrow_mut().decide(causes(admitted), is_tester, now);
        let id = &admitted.metadata.attempt_id;
        match decision {
            QuarantineDecision::Send => Ok(QuarantineCheck::Unquarantined),
            QuarantineDecision::Test(cause) => {
                info!("quarantine.tested id={id} cause={cause}");
                Ok(QuarantineCheck::Tests)
            }
            QuarantineDecision::Refuse(cause, until_test) => {
                info!(
                    "quarantine.refused id={id} cause={cause} until_test_ms={}",
                    until_test.as_millis()
                );
                let code = match cause {
                    Cause::PromptPart(_) => ResultCode::PromptQuarantined,
                    Cause::Request(_) => ResultCode::RequestQuarantined,
                };
                let retry_after = clamp_retry_after(until_test, admitted.time_left(now));
                Err(self.not_run_refusal(code, retry_after))
            }
        }
    }

    /// Records an attempt whose upstream broke off before its response began: it may have ended
    /// under the request.
    pub(super) fn record_broken_off(&self, admitted: &AdmittedRequest, slot: &SlotGuard) {
        if slot.has_begun() {
            return;
        }
        let upstream = slot.upstream().id();
        let now = self.clock.now();
        let found =
            self.crash_quarantine.borrow_mut().record_broken(causes(admitted), upstream, now);
        for cause in found {
            warn!("quarantine.begun cause={cause} by=own");
        }
    }

    /// Records that an engine goes on answering a request after its first event.
    pub(super) fn record_answered(&self, admitted: &AdmittedRequest) {
        self.record_sound(causes(admitted));
    }

    /// Records a complete response that is not a stream. One with a server's error does not show
    /// that the upstream has begun to run the request, and none shows that an engine has read the
    /// prompt.
    pub(super) fn record_response(&self, admitted: &AdmittedRequest, status: StatusCode) {
        if !status.is_server_error() {
            self.record_sound(iter::once(Cause::Request(admitted.hash())));
        }
    }

    fn record_sound(&self, causes: impl Iterator<Item = Cause>) {
        let now = self.clock.now();
        let cleared = self.crash_quarantine.borrow_mut().record_answered(causes, now);
        for cause in cleared {
            info!("quarantine.ended cause={cause} by=own");
        }
    }

    /// Applies what another gateway knows of causes.
    pub(super) fn handle_quarantine_news<C: Copy + Into<Cause>>(
        &self,
        from: PeerId,
        news: &QuarantineNews<C>,
    ) {
        let changes = self.crash_quarantine.borrow_mut().apply_news(news, self.clock.now());
        for cause in changes.quarantined {
            warn!("quarantine.begun cause={cause} by={from}");
        }
        for cause in changes.cleared {
            info!("quarantine.ended cause={cause} by={from}");
        }
    }
}
