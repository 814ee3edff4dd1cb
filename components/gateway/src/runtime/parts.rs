//! Applies the quarantine of prompt parts to requests, and the results of attempts to the
//! quarantine.

use errors::{Refusal, ResultCode};
use log::{info, warn};

use super::admission::{AdmittedRequest, clamp_retry_after};
use super::slot_guard::SlotGuard;
use super::state::Shared;
use crate::broker::ElectionKey;
use crate::model::PeerId;
use crate::part_quarantine::{PartDecision, PartId, PartNews};

/// Whether a request that may be sent tests a quarantined part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartCheck {
    /// It has no quarantined part.
    Unquarantined,
    /// It tests one, and is not checked again.
    Tests,
}

impl Shared {
    /// Refuses a request whose prompt has a quarantined part, unless it tests that part.
    pub(super) fn check_parts(&self, admitted: &AdmittedRequest) -> Result<PartCheck, Refusal> {
        let is_tester = |part: PartId| {
            self.ranked_gateways(ElectionKey::PromptPart(part)).first() == Some(&self.process_id)
        };
        let now = self.clock.now();
        let parts = admitted.metadata.shared_parts();
        let decision = self.part_quarantine.borrow_mut().decide(parts, is_tester, now);
        let id = &admitted.metadata.attempt_id;
        match decision {
            PartDecision::Send => Ok(PartCheck::Unquarantined),
            PartDecision::Test(part) => {
                info!("part.tested id={id} part={part:x}");
                Ok(PartCheck::Tests)
            }
            PartDecision::Refuse(part, until_test) => {
                info!(
                    "part.refused id={id} part={part:x} until_test_ms={}",
                    until_test.as_millis()
                );
                let retry_after = clamp_retry_after(until_test, admitted.time_left(now));
                Err(self.not_run_refusal(ResultCode::PromptQuarantined, retry_after))
            }
        }
    }

    /// Records an attempt that failed. If an engine had not begun to answer, each shared part of
    /// the prompt may be why.
    pub(super) fn record_failed_parts(&self, admitted: &AdmittedRequest, slot: &SlotGuard) {
        if slot.has_begun() || !admitted.route.kind.is_stream() {
            return;
        }
        let parts = admitted.metadata.shared_parts();
        let upstream = slot.upstream().id();
        let now = self.clock.now();
        let found = self.part_quarantine.borrow_mut().record_broken(parts, upstream, now);
        for part in found {
            warn!("part.quarantined part={part:x} by=own");
        }
    }

    /// Records that an engine goes on answering after its first event.
    pub(super) fn record_answered_parts(&self, admitted: &AdmittedRequest) {
        let parts = admitted.metadata.shared_parts();
        let cleared = self.part_quarantine.borrow_mut().record_answered(parts, self.clock.now());
        for part in cleared {
            info!("part.cleared part={part:x} by=own");
        }
    }

    /// Applies what another gateway knows of prompt parts.
    pub(super) fn handle_part_news(&self, from: PeerId, news: &PartNews) {
        let changes = self.part_quarantine.borrow_mut().apply_news(news, self.clock.now());
        for part in changes.quarantined {
            warn!("part.quarantined part={part:x} by={from}");
        }
        for part in changes.cleared {
            info!("part.cleared part={part:x} by={from}");
        }
    }
}
