//! Draws on customers' allowances.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use log::info;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::peer_socket::RETRANSMIT_INTERVAL;
use super::state::Shared;
use crate::allowance::{
    Acquisition, BucketLevel, BucketRole, BucketTerms, CreditReply, CreditRequest, CustomerId,
};
use crate::broker::{ElectionKey, Message};
use crate::model::{Allowance, PeerId};

/// Questions after which a keeper that has not answered is passed over.
const QUESTIONS: u32 = 3;

/// Entries that are asked: the keeper, and the one that stands in for it.
const OWNER_CANDIDATES: usize = 2;

/// Longest wait of a request for a keeper that does not grant yet: as long as one that takes over
/// lets pass.
const OWNER_WAIT: Duration = Duration::from_millis(600);

/// Longest pause in that time before the keeper is asked again.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Silence of a keeper after which the next in the ranking stands in for it; two copies long.
const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Whether a request is within its customer's allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum AllowanceDecision {
    /// It is, and counts.
    Allowed,
    /// It is not before this time has passed.
    Denied {
        /// When the bucket is expected to hold enough.
        retry_after: Duration,
        /// Whether the entry went by its own share, as it heard nothing of the keeper.
        by_own_share: bool,
    },
}

/// A question to a keeper. Dropping it unanswered withdraws it.
struct PendingCreditRequest<'a> {
    shared: &'a Shared,
    request: CreditRequest,
    completed: bool,
}

impl Drop for PendingCreditRequest<'_> {
    fn drop(&mut self) {
        self.shared.pending_credit_requests.borrow_mut().remove(&self.request.number);
        if !self.completed {
            let now = self.shared.clock.now();
            self.shared.local_credit.borrow_mut().apply_reply(&self.request, None, now);
        }
    }
}

impl Shared {
    /// Takes a request's cost out of its customer's allowance. While no keeper answers, it waits, for
    /// `max_wait` at most, until the entry's own share is enough or a keeper is there.
    pub(super) async fn acquire_allowance(
        &self,
        customer: CustomerId,
        allowance: Allowance,
        cost: f64,
        max_wait: Duration,
    ) -> AllowanceDecision {
        self.local_credit.borrow_mut().record_demand(customer, cost, self.clock.now());
        let until = self.clock.now() + max_wait.min(OWNER_WAIT);
        loop {
            let decision = self.try_acquire_allowance(customer, allowance, cost).await;
            let AllowanceDecision::Denied { retry_after, by_own_share: true } = decision else {
                return decision;
            };
            let pause = retry_after.min(OWNER_POLL_INTERVAL);
            if self.clock.now() + pause > until {
                return decision;
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn try_acquire_allowance(
        &self,
        customer: CustomerId,
        allowance: Allowance,
        cost: f64,
    ) -> AllowanceDecision {
        let now = self.clock.now();
        let mut acquisition = self.local_credit.borrow_mut().acquire(customer, cost, now);
        if let Acquisition::RequestCredit(request) = acquisition {
            let reply = self.request_credit(request).await;
            let now = self.clock.now();
            self.local_credit.borrow_mut().apply_reply(&request, reply, now);
            if matches!(reply, None | Some(CreditReply::NotOwner)) {
                return self.acquire_from_own_share(customer, allowance, cost, now);
            }
            acquisition = self.local_credit.borrow_mut().acquire(customer, cost, now);
        }
        match acquisition {
            Acquisition::Granted => AllowanceDecision::Allowed,
            Acquisition::Refused(retry_after) => {
                AllowanceDecision::Denied { retry_after, by_own_share: false }
            }
            // Others took the credit meanwhile.
            Acquisition::RequestCredit(request) => {
                self.local_credit.borrow_mut().apply_reply(&request, None, now);
                AllowanceDecision::Denied { retry_after: RETRANSMIT_INTERVAL, by_own_share: false }
            }
        }
    }

    fn acquire_from_own_share(
        &self,
        customer: CustomerId,
        allowance: Allowance,
        cost: f64,
        now: Instant,
    ) -> AllowanceDecision {
        let gateway_count = self.peers.borrow().gateway_count();
        match self.local_credit.borrow_mut().acquire_from_share(
            customer,
            allowance,
            cost,
            gateway_count,
            now,
        ) {
            Acquisition::Refused(retry_after) => {
                AllowanceDecision::Denied { retry_after, by_own_share: true }
            }
            Acquisition::Granted | Acquisition::RequestCredit(_) => AllowanceDecision::Allowed,
        }
    }

    /// Asks the customer's keeper, and then the one that stands in for it; `None` where neither
    /// answers.
    async fn request_credit(&self, request: CreditRequest) -> Option<CreditReply> {
        let ranked = self.ranked_gateways(ElectionKey::Customer(request.customer));
        for owner in ranked.iter().take(OWNER_CANDIDATES) {
            match self.request_credit_from(*owner, request).await {
                None | Some(CreditReply::NotOwner) => {}
                reply => return reply,
            }
        }
        None
    }

    async fn request_credit_from(
        &self,
        owner: PeerId,
        request: CreditRequest,
    ) -> Option<CreditReply> {
        if owner == self.process_id {
            return Some(self.grant_credit(owner, request));
        }
        if !self.peer_health.borrow().is_available(owner, self.clock.now()) {
            return None;
        }
        let (sender, mut reply) = oneshot::channel();
        self.pending_credit_requests.borrow_mut().insert(request.number, sender);
        let mut open = PendingCreditRequest { shared: self, request, completed: false };
        for _ in 0..QUESTIONS {
            self.send_message(owner, Message::CreditRequest { from: self.process_id, request });
            if let Ok(answered) = timeout(RETRANSMIT_INTERVAL, &mut reply).await {
                open.completed = true;
                self.peer_health.borrow_mut().record_reply(owner);
                return answered.ok();
            }
        }
        open.completed = true;
        info!("keeper.passed_over keeper={owner}");
        self.peer_health.borrow_mut().record_timeout(owner, self.clock.now());
        None
    }

    /// What this entry is to a customer's bucket.
    pub(super) fn bucket_role(&self, customer: CustomerId) -> BucketRole {
        let ranked = self.ranked_gateways(ElectionKey::Customer(customer));
        match &ranked[..] {
            [first, ..] if *first == self.process_id => BucketRole::Owner,
            [first, second, ..] if *second == self.process_id => {
                let now = self.clock.now();
                let heard =
                    self.peers.borrow().is_reachable_within(*first, OWNER_SILENCE_TIMEOUT, now);
                if heard { BucketRole::Other } else { BucketRole::Standby }
            }
            _ => BucketRole::Other,
        }
    }

    /// Copies buckets to those that would stand in.
    pub(super) fn send_bucket_replicas(&self) {
        let levels = self.bucket_owner.borrow().active_levels(self.clock.now());
        self.send_bucket_levels(levels, false);
    }

    /// Takes in a keeper's buckets.
    pub(super) fn handle_bucket_levels(&self, levels: &[BucketLevel], handed_over: bool) {
        let now = self.clock.now();
        let mut bucket_owner = self.bucket_owner.borrow_mut();
        if handed_over {
            info!("buckets.taken_over customers={}", levels.len());
            bucket_owner.accept_handover(levels, now);
        } else {
            bucket_owner.store_replicas(levels, now);
        }
    }

    /// Sends buckets to the first other entry of each customer's ranking.
    pub(super) fn send_bucket_levels(&self, levels: Vec<BucketLevel>, handed_over: bool) {
        let mut by_gateway: HashMap<PeerId, Vec<BucketLevel>> = HashMap::new();
        for level in levels {
            let ranked = self.ranked_gateways(ElectionKey::Customer(level.customer));
            if let Some(next) = ranked.iter().find(|gateway| **gateway != self.process_id) {
                by_gateway.entry(*next).or_default().push(level);
            }
        }
        for (to, levels) in by_gateway {
            self.send_message(
                to,
                Message::BucketLevels { from: self.process_id, levels, handed_over },
            );
        }
    }

    /// Answers an entry that draws on a customer's bucket.
    pub(super) fn handle_credit_request(&self, from: PeerId, request: CreditRequest) {
        let reply = self.grant_credit(from, request);
        let number = request.number;
        self.send_message(from, Message::CreditReply { from: self.process_id, number, reply });
    }

    fn grant_credit(&self, from: PeerId, request: CreditRequest) -> CreditReply {
        let known = self.configuration();
        let allowance = known.and_then(|known| known.allowances.get(&request.customer).copied());
        let Some(allowance) = allowance else { return CreditReply::NotOwner };
        let now = self.clock.now();
        let tolerance = self.settings.borrow().allowance_tolerance;
        let bucket_role = self.bucket_role(request.customer);
        let (share, gateway_count) = {
            let peers = self.peers.borrow();
            (peers.reachable_share(now), peers.gateway_count())
        };
        let terms = BucketTerms { allowance, tolerance, share, gateway_count };
        self.bucket_owner.borrow_mut().handle_request(from, request, terms, bucket_role, now)
    }

    /// Takes in a keeper's answer. One that comes too late is dropped: the request has been decided by
    /// the entry's own share, and both must not be granted.
    pub(super) fn handle_credit_reply(&self, number: u32, reply: CreditReply) {
        if let Some(asked) = self.pending_credit_requests.borrow_mut().remove(&number)
            && asked.send(reply).is_err()
        {
            log::debug!("credit.dropped number={number}");
        }
    }
}
