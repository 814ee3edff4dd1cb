//! A non-idempotent call: claimed in the store first, then followed like any other request.

use errors::{Outcome, Refusal, ResultCode};
use identity::UpstreamId;
use log::info;
use wire::v1;

use super::claims::{Acquired, OnceOnly};
use super::contact::Start;
use super::delivery::{Delivery, End, unclear};
use super::target::Target;
use crate::controllers::claims::CLAIMED_EPOCH;

/// How often a non-idempotent call is claimed for one upstream.
const CLAIM_LIMIT: u32 = 4;

impl Delivery {
    /// Claims the call, then follows it. Where the agent refused the claim itself, because another
    /// asked after it or the agent is a new process, it is claimed anew.
    pub(super) async fn try_claimed(&mut self, upstream: &UpstreamId) -> End {
        for _ in 1..CLAIM_LIMIT {
            let end = self.claim_and_follow(upstream).await;
            let withdrawn = matches!(&end, End::Refused(refusal) if is_withdrawn(refusal));
            if !withdrawn {
                return end;
            }
        }
        self.claim_and_follow(upstream).await
    }

    async fn claim_and_follow(&mut self, upstream: &UpstreamId) -> End {
        let Some(once) = &mut self.once else { return End::PlaceAgain };
        let acquired = once.acquire(upstream).await;
        let end = self.go_on(upstream, acquired).await;
        if let (End::PlaceAgain | End::Refused(_), Some(once)) = (&end, &self.once) {
            once.forget_process(upstream).await;
        }
        end
    }

    /// Ends a call that no upstream can take. The word of an agent that an earlier request does
    /// not run is followed by another look, since the claim may have been taken over.
    pub(super) async fn give_up(&mut self, refusal: Refusal) -> End {
        let nowhere = UpstreamId::new("");
        for _ in 0..CLAIM_LIMIT {
            let Some(once) = &mut self.once else { return End::Refused(refusal) };
            let acquired = once.give_up(refusal.clone()).await;
            let end = self.go_on(&nowhere, acquired).await;
            if !matches!(end, End::PlaceAgain) {
                return end;
            }
        }
        End::Refused(Refusal::new(refusal.code, Outcome::Unknown))
    }

    async fn go_on(&mut self, upstream: &UpstreamId, acquired: Acquired) -> End {
        if let Some(key) = self.once.as_ref().and_then(OnceOnly::request_key) {
            self.dispatch.track_dispatch_as(key.clone(), CLAIMED_EPOCH);
            self.key = key;
        }
        match acquired {
            Acquired::Dispatch(claim) => self.hand_over_claimed(upstream, claim).await,
            Acquired::Join(upstream) => self.join_claimed(&upstream).await,
            Acquired::PlaceAgain => End::PlaceAgain,
            Acquired::Replay(answer) => {
                self.answer.open(answer.status, answer.content_type);
                self.answer.push(answer.body.into()).await;
                End::Whole
            }
            Acquired::Refused(refusal) => End::Refused(refusal),
        }
    }

    async fn hand_over_claimed(&mut self, upstream: &UpstreamId, claim: v1::Claim) -> End {
        let target = match Target::connect(&self.shared, upstream).await {
            Ok(target) => target,
            Err(status) => {
                info!("request={} upstream={upstream} not reached: {status}", self.request_id);
                return self.not_sent();
            }
        };
        let target = target.meant_for(&claim.agent_process);
        self.follow(target, Start::HandOverClaimed { claim }).await
    }

    /// Follows a call that another process handed over under its claim.
    async fn join_claimed(&mut self, upstream: &UpstreamId) -> End {
        self.dispatch.attach(CLAIMED_EPOCH);
        self.at = upstream.clone();
        let process = self.once.as_ref().and_then(OnceOnly::claim).map(|claim| claim.agent_process);
        match (Target::connect(&self.shared, upstream).await, process) {
            (Ok(target), Some(process)) => {
                self.follow(target.meant_for(&process), Start::Join).await
            }
            _ => End::Refused(unclear()),
        }
    }
}

/// Whether an agent refused the claim itself.
pub(super) fn is_withdrawn(refusal: &Refusal) -> bool {
    refusal.code == ResultCode::Withdrawn && refusal.outcome == Outcome::NotRun
}
