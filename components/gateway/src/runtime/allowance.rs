//! Charges requests to customers' allowances: requests credit from bucket owners, and grants it
//! where this gateway owns the bucket.

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

/// Number of times that a credit request is sent to a bucket owner before it counts as unavailable.
const CREDIT_REQUEST_ATTEMPTS: u32 = 3;

/// Number of gateways that a request asks for credit: the bucket owner and its standby.
const OWNER_CANDIDATES: usize = 2;

/// Longest time that a request waits for a bucket owner that does not grant yet. It equals the time
/// for which a new owner without a replica of the bucket grants nothing.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(600);

/// Longest pause during that wait before the bucket owner is asked again.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Silence of a bucket owner after which its standby grants in its place: two replica intervals.
const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Whether a request is within its customer's allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum AllowanceDecision {
    /// The request is within the allowance and has been charged to it.
    Allowed,
    /// The request exceeds the allowance.
    Denied {
        /// Time until the bucket is expected to hold enough.
        retry_after: Duration,
        /// Whether the gateway decided from its even share, as no bucket owner granted or refused.
        by_own_share: bool,
    },
}

/// A credit request whose reply is awaited.
pub(super) struct AwaitedCredit {
    owner: PeerId,
    reply: oneshot::Sender<CreditReply>,
}

/// A credit request sent to a bucket owner. Dropping it before it is completed records it
/// as unanswered.
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
    /// Charges a request's cost to its customer's allowance. While no bucket owner answers, waits
    /// for at most `max_wait` until the gateway's even share suffices or an owner answers.
    pub(super) async fn acquire_allowance(
        &self,
        customer: CustomerId,
        allowance: Allowance,
        cost: f64,
        max_wait: Duration,
    ) -> AllowanceDecision {
        self.local_credit.borrow_mut().record_demand(customer, cost, self.clock.now());
        let wait_until = self.clock.now() + max_wait.min(MAX_OWNER_WAIT);
        loop {
            let decision = self.try_acquire_allowance(customer, allowance, cost).await;
            let AllowanceDecision::Denied { retry_after, by_own_share: true } = decision else {
                return decision;
            };
            let pause = retry_after.min(OWNER_POLL_INTERVAL);
            if self.clock.now() + pause > wait_until {
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
            match reply {
                Some(CreditReply::Granted(_)) => {}
                Some(CreditReply::Exhausted(retry_after)) => {
                    return AllowanceDecision::Denied { retry_after, by_own_share: false };
                }
                Some(CreditReply::NotOwner) | None => {
                    return self.acquire_from_even_share(customer, allowance, cost, now);
                }
            }
            acquisition = self.local_credit.borrow_mut().acquire(customer, cost, now);
        }
        match acquisition {
            Acquisition::Granted => AllowanceDecision::Allowed,
            Acquisition::Refused(retry_after) => {
                AllowanceDecision::Denied { retry_after, by_own_share: false }
            }
            // Concurrent requests have used up the credit in the meantime.
            Acquisition::RequestCredit(request) => {
                self.local_credit.borrow_mut().apply_reply(&request, None, now);
                AllowanceDecision::Denied { retry_after: RETRANSMIT_INTERVAL, by_own_share: false }
            }
        }
    }

    fn acquire_from_even_share(
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

    /// Requests credit from the bucket owner, then from its standby; `None` if neither grants or
    /// refuses.
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
        let awaited = AwaitedCredit { owner, reply: sender };
        self.pending_credit_requests.borrow_mut().insert(request.number, awaited);
        let mut pending = PendingCreditRequest { shared: self, request, completed: false };
        for _ in 0..CREDIT_REQUEST_ATTEMPTS {
            self.send_message(owner, Message::CreditRequest { from: self.process_id, request });
            if let Ok(received) = timeout(RETRANSMIT_INTERVAL, &mut reply).await {
                pending.completed = true;
                self.peer_health.borrow_mut().record_reply(owner);
                return received.ok();
            }
        }
        pending.completed = true;
        info!("bucket_owner.passed_over owner={owner}");
        self.peer_health.borrow_mut().record_timeout(owner, self.clock.now());
        None
    }

    /// Role of this gateway for a customer's token bucket.
    pub(super) fn bucket_role(&self, customer: CustomerId) -> BucketRole {
        let ranked = self.ranked_gateways(ElectionKey::Customer(customer));
        match &ranked[..] {
            [first, ..] if *first == self.process_id => BucketRole::Owner,
            [first, second, ..] if *second == self.process_id => {
                let now = self.clock.now();
                let is_reachable =
                    self.peers.borrow().is_reachable_within(*first, OWNER_SILENCE_TIMEOUT, now);
                if is_reachable { BucketRole::Other } else { BucketRole::Standby }
            }
            _ => BucketRole::Other,
        }
    }

    /// Sends replicas of this gateway's active buckets to their standbys.
    pub(super) fn send_bucket_replicas(&self) {
        let levels = self.bucket_owner.borrow().active_levels(self.clock.now());
        self.send_bucket_levels(levels, false);
    }

    /// Stores replicas of another gateway's buckets, or takes over buckets that it hands over.
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

    /// Sends bucket levels to the first other gateway in each customer's election order.
    pub(super) fn send_bucket_levels(&self, levels: Vec<BucketLevel>, handed_over: bool) {
        let mut by_gateway: HashMap<PeerId, Vec<BucketLevel>> = HashMap::new();
        for level in levels {
            let ranked = self.ranked_gateways(ElectionKey::Customer(level.customer));
            if let Some(recipient) = ranked.iter().find(|gateway| **gateway != self.process_id) {
                by_gateway.entry(*recipient).or_default().push(level);
            }
        }
        for (to, levels) in by_gateway {
            self.send_message(
                to,
                Message::BucketLevels { from: self.process_id, levels, handed_over },
            );
        }
    }

    /// Replies to a gateway's credit request.
    pub(super) fn handle_credit_request(&self, from: PeerId, request: CreditRequest) {
        let reply = self.grant_credit(from, request);
        let number = request.number;
        self.send_message(from, Message::CreditReply { from: self.process_id, number, reply });
    }

    fn grant_credit(&self, from: PeerId, request: CreditRequest) -> CreditReply {
        let configuration = self.configuration();
        let allowance = configuration
            .and_then(|configuration| configuration.allowances.get(&request.customer).copied());
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

    /// Passes a bucket owner's reply on to the request that waits for it. A late reply is dropped: the
    /// request has been decided from the gateway's even share, and must not be granted from both.
    pub(super) fn handle_credit_reply(&self, owner: PeerId, number: u32, reply: CreditReply) {
        let mut pending = self.pending_credit_requests.borrow_mut();
        if pending.get(&number).is_none_or(|awaited| awaited.owner != owner) {
            return;
        }
        let awaited = pending.remove(&number);
        if awaited.is_some_and(|awaited| awaited.reply.send(reply).is_err()) {
            log::debug!("credit.dropped number={number}");
        }
    }
}
