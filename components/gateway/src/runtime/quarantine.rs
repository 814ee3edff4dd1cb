//! Applies the quarantine of requests and prompt parts, and tells it the results of attempts.

use std::iter;
use std::time::Instant;

use errors::{Refusal, ResultCode};
use http::StatusCode;
use log::{info, warn};

use super::admission::{AdmittedRequest, clamp_retry_after};
use super::state::Shared;
use crate::broker::ElectionKey;
use crate::crash_quarantine::{Cause, QuarantineDecision, QuarantineNews};
use crate::model::{PeerId, Upstream, UpstreamId};

/// Whether a request that may be sent tests a quarantined cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QuarantineCheck {
    /// Nothing of it is quarantined.
    Unquarantined,
    /// It tests a cause, and is not checked again.
    Tests,
}

impl AdmittedRequest {
    /// What the request may make upstreams end by: the shared parts of its prompt, and all of it.
    pub(super) fn causes(&self) -> impl Iterator<Item = Cause> + '_ {
        let parts = self.metadata.shared_parts().map(Cause::PromptPart);
        parts.chain(iter::once_with(|| Cause::Request(self.hash())))
    }
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
        let decision = self.crash_quarantine.borrow_mut().decide(admitted.causes(), is_tester, now);
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

    /// Records an attempt under which its upstream ended, or broke off before its response began
    /// and so may have ended.
    pub(super) fn record_crash(
        &self,
        causes: impl IntoIterator<Item = Cause>,
        upstream: UpstreamId,
        at: Instant,
    ) {
        let found = self.crash_quarantine.borrow_mut().record_broken(causes, upstream, at);
        for cause in found {
            warn!("quarantine.begun cause={cause} by=own");
        }
    }

    /// Whether an upstream is announced and does not leave, so that it has no reason to end.
    pub(super) fn is_serving(&self, upstream: &Upstream) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.get(&upstream.id()).is_some_and(|announced| !announced.draining)
    }

    /// Records that an engine has survived the beginning of its answer to a request.
    pub(super) fn record_answered(&self, admitted: &AdmittedRequest) {
        self.record_sound(admitted.causes());
    }

    /// Records a complete response that is not a stream. One with a server's error does not show
    /// that the upstream has begun to run the request, and none shows that an engine has read the
    /// prompt.
    pub(super) fn record_response(&self, admitted: &AdmittedRequest, status: StatusCode) {
        if !status.is_server_error() {
            self.record_sound(iter::once(Cause::Request(admitted.hash())));
        }
    }

    /// Records that upstreams survive requests with these causes.
    pub(super) fn record_sound(&self, causes: impl Iterator<Item = Cause>) {
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
