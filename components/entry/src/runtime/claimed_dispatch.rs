//! Dispatch of non-idempotent calls. A call is first claimed in the store, then dispatched and
//! tracked like any other request.

use errors::{Outcome, Refusal, ResultCode};
use identity::UpstreamId;
use log::info;
use wire::v1;

use super::agent_rpc::StreamRequest;
use super::claims::{AcquireOutcome, NonIdempotentCall};
use super::request_task::{AttemptOutcome, RequestTask, unknown_placement_refusal};
use super::target::Target;
use crate::controllers::claims::CLAIMED_EPOCH;

/// Most claims of one non-idempotent call for the same upstream, and most reads of another
/// request's claim when no upstream can take the call.
const CLAIM_ATTEMPT_LIMIT: u32 = 4;

impl RequestTask {
    /// Claims the call for an upstream and dispatches it there. The call is claimed again if the
    /// agent rejected the claim itself: another request had queried the agent about the claim, or
    /// the agent is a new process.
    pub(super) async fn try_upstream_with_claim(
        &mut self,
        upstream: &UpstreamId,
    ) -> AttemptOutcome {
        for _ in 1..CLAIM_ATTEMPT_LIMIT {
            let outcome = self.claim_and_dispatch(upstream).await;
            let claim_rejected =
                matches!(&outcome, AttemptOutcome::Refused(refusal) if is_claim_rejected(refusal));
            if !claim_rejected {
                return outcome;
            }
        }
        self.claim_and_dispatch(upstream).await
    }

    async fn claim_and_dispatch(&mut self, upstream: &UpstreamId) -> AttemptOutcome {
        let Some(call) = &mut self.non_idempotent_call else { return AttemptOutcome::PlaceAgain };
        let acquired = call.acquire(upstream).await;
        let outcome = self.continue_with_claim(upstream, acquired).await;
        if let (AttemptOutcome::PlaceAgain | AttemptOutcome::Refused(_), Some(call)) =
            (&outcome, &self.non_idempotent_call)
        {
            call.drop_agent_connection(upstream).await;
        }
        outcome
    }

    /// Ends a call that no upstream can take, with the outcome of an earlier claim on its key if
    /// there is one. If the agent named in that claim reports that its call does not run, the claim
    /// is read again, since another request may have replaced it.
    pub(super) async fn end_without_upstream(&mut self, refusal: Refusal) -> AttemptOutcome {
        let no_upstream = UpstreamId::new("");
        for _ in 0..CLAIM_ATTEMPT_LIMIT {
            let Some(call) = &mut self.non_idempotent_call else {
                return AttemptOutcome::Refused(refusal);
            };
            let acquired = call.resolve_without_upstream(refusal.clone()).await;
            let outcome = self.continue_with_claim(&no_upstream, acquired).await;
            if !matches!(outcome, AttemptOutcome::PlaceAgain) {
                return outcome;
            }
        }
        AttemptOutcome::Refused(Refusal::new(refusal.code, Outcome::Unknown))
    }

    async fn continue_with_claim(
        &mut self,
        upstream: &UpstreamId,
        acquired: AcquireOutcome,
    ) -> AttemptOutcome {
        if let Some(key) =
            self.non_idempotent_call.as_ref().and_then(NonIdempotentCall::request_key)
        {
            self.dispatch.track_dispatch_as(key.clone(), CLAIMED_EPOCH);
            self.key = key;
        }
        match acquired {
            AcquireOutcome::Dispatch(claim) => self.dispatch_claimed(upstream, claim).await,
            AcquireOutcome::Attach(upstream) => self.attach_claimed(&upstream).await,
            AcquireOutcome::PlaceAgain => AttemptOutcome::PlaceAgain,
            AcquireOutcome::Replay(stored) => {
                self.response.start(stored.status, stored.content_type);
                self.response.write_chunk(stored.body.into()).await;
                AttemptOutcome::Complete
            }
            AcquireOutcome::Refused(refusal) => AttemptOutcome::Refused(refusal),
        }
    }

    async fn dispatch_claimed(
        &mut self,
        upstream: &UpstreamId,
        claim: v1::Claim,
    ) -> AttemptOutcome {
        let target = match Target::connect(&self.shared, upstream).await {
            Ok(target) => target,
            Err(status) => {
                info!("request={} upstream={upstream} not reached: {status}", self.request_id);
                return self.on_not_sent();
            }
        };
        let target = target.with_process(&claim.agent_process);
        self.run_dispatch(target, StreamRequest::DispatchClaimed { claim }).await
    }

    /// Attaches to a call that another request dispatched under its claim.
    async fn attach_claimed(&mut self, upstream: &UpstreamId) -> AttemptOutcome {
        self.dispatch.attach(CLAIMED_EPOCH);
        self.current_upstream = upstream.clone();
        let process = self
            .non_idempotent_call
            .as_ref()
            .and_then(NonIdempotentCall::claim)
            .map(|claim| claim.agent_process);
        match (Target::connect(&self.shared, upstream).await, process) {
            (Ok(target), Some(process)) => {
                self.run_dispatch(target.with_process(&process), StreamRequest::Attach).await
            }
            _ => AttemptOutcome::Refused(unknown_placement_refusal()),
        }
    }
}

/// Whether an agent rejected the claim itself, and not the call.
pub(super) fn is_claim_rejected(refusal: &Refusal) -> bool {
    refusal.code == ResultCode::Withdrawn && refusal.outcome == Outcome::NotRun
}
