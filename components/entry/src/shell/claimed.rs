//! A delivery that needs a claim before its call may be handed over.

use errors::{Outcome, Refusal};
use identity::UpstreamId;
use wire::v1;

use super::claims::{Acquired, OnceOnly};
use super::contact::Start;
use super::delivery::{Delivery, End, is_withdrawn, unclear};
use super::target::Target;
use crate::filters::relay::ANY_EPOCH;

/// How often a non-idempotent call is claimed for one upstream.
const CLAIM_LIMIT: u32 = 4;

impl Delivery {
    /// Claims a non-idempotent call, then follows the request. Where the agent refused the claim
    /// itself, because another asked after it or the agent is a new process, it is claimed anew.
    pub(super) async fn attempt(&mut self, upstream: &UpstreamId) -> End {
        if self.once.is_none() {
            return self.try_upstream(upstream).await;
        }
        for _ in 1..CLAIM_LIMIT {
            let end = self.attempt_claimed(upstream).await;
            if !matches!(&end, End::Refused(refusal) if is_withdrawn(refusal)) {
                return end;
            }
        }
        self.attempt_claimed(upstream).await
    }

    async fn attempt_claimed(&mut self, upstream: &UpstreamId) -> End {
        let Some(once) = &mut self.once else { return End::PlaceAgain };
        let acquired = once.acquire(upstream).await;
        let end = self.go_on(upstream, acquired).await;
        if let (End::PlaceAgain | End::Refused(_), Some(once)) = (&end, &self.once) {
            once.forget_process(upstream);
        }
        end
    }

    /// Ends a request that no upstream can take. The word of an agent that an earlier request does
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
            self.dispatch.rename(key.clone());
            self.key = key;
        }
        match acquired {
            Acquired::Dispatch(claim) => self.follow_claimed(upstream, claim).await,
            Acquired::Join(upstream) => self.join_claimed(&upstream).await,
            Acquired::PlaceAgain => End::PlaceAgain,
            Acquired::Replay(answer) => {
                self.on_head(answer.status, answer.content_type);
                self.answer.push(answer.body.into()).await;
                End::Whole
            }
            Acquired::Refused(refusal) => End::Refused(refusal),
        }
    }

    async fn follow_claimed(&mut self, upstream: &UpstreamId, claim: v1::Claim) -> End {
        match Target::connect(&self.shared, upstream).await {
            Ok(target) => {
                let start = Start::HandOver { registration: None, claim: Some(claim) };
                self.follow(target, start).await
            }
            Err(_) => self.not_sent(),
        }
    }

    async fn join_claimed(&mut self, upstream: &UpstreamId) -> End {
        self.dispatch.join(ANY_EPOCH);
        match Target::connect(&self.shared, upstream).await {
            Ok(target) => self.follow(target, Start::Join).await,
            Err(_) => End::Refused(unclear()),
        }
    }
}
