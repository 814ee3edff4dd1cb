//! Token buckets of customers, at the gateway that owns them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::bucket::{Bucket, BucketTerms};
use super::{BucketLevel, CreditReply, CreditRequest, CustomerId};
use crate::model::PeerId;

/// Time after a membership change during which an owner without a replica of a bucket grants
/// nothing: until all gateways know of the change, the previous owner may still grant.
const TAKEOVER_DELAY: Duration = Duration::from_millis(600);

/// Time after its start within which a process learns the members: it reads the store once, and
/// gateways that start at the same time register.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// Share of the allowance and of the burst that a standby grants: the owner may merely be cut off,
/// and then still grants until it notices.
const STANDBY_SHARE: f64 = 0.5;

/// Time after its last credit request for which a bucket is replicated; a full bucket needs no
/// replica.
const ACTIVE_BUCKET_PERIOD: Duration = Duration::from_secs(10);

/// Time for which the new owner keeps a handed-over bucket although others may not know yet that
/// the old owner has left; covers two digests to all zones.
const HANDOVER_GRACE_PERIOD: Duration = Duration::from_millis(1_700);

/// Time for which replies are kept for duplicated or repeated credit requests.
const REPLY_RETENTION: Duration = Duration::from_secs(1);

/// Role of this gateway for a customer's token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BucketRole {
    /// Owns the bucket.
    Owner,
    /// Is next in the ranking, and the owner has fallen silent.
    Standby,
    /// Neither owner nor active standby.
    Other,
}

/// Identifies a credit request among all gateways.
type RequestKey = (PeerId, u32);

/// Buckets that this gateway owns or replicates.
#[derive(Debug)]
pub struct BucketOwner {
    buckets: HashMap<CustomerId, Bucket>,
    started_at: Instant,
    /// Time of the last membership change. A bucket that this gateway owns but has no level of is
    /// taken as owned since then.
    owner_since: Instant,
    recent_replies: HashMap<RequestKey, CreditReply>,
    reply_times: VecDeque<(Instant, RequestKey)>,
}

impl BucketOwner {
    /// Creates an owner without buckets in a process that starts at `now`.
    pub fn new(now: Instant) -> BucketOwner {
        BucketOwner {
            buckets: HashMap::new(),
            started_at: now,
            owner_since: now,
            recent_replies: HashMap::new(),
            reply_times: VecDeque::new(),
        }
    }

    /// Applies a membership change. Returns the buckets that now belong to other gateways and have
    /// to be handed over to them.
    pub fn update_members(
        &mut self,
        role: impl Fn(CustomerId) -> BucketRole,
        now: Instant,
    ) -> Vec<BucketLevel> {
        self.owner_since = now;
        let mut to_hand_over = Vec::new();
        self.buckets.retain(|customer, bucket| {
            let owns = role(*customer) == BucketRole::Owner || bucket.is_in_handover_grace(now);
            if bucket.owned && !owns {
                to_hand_over.push(bucket.to_level(*customer, now));
                return false;
            }
            let current = bucket.is_current(now);
            if owns && current {
                bucket.start_granting(now);
                bucket.owned = true;
            }
            current
        });
        to_hand_over
    }

    /// Levels of the owned buckets that were used recently, for replication.
    pub fn active_levels(&self, now: Instant) -> Vec<BucketLevel> {
        let is_active = |bucket: &Bucket| {
            now.saturating_duration_since(bucket.last_used_at) < ACTIVE_BUCKET_PERIOD
        };
        let owned = self.buckets.iter().filter(|(_, bucket)| bucket.owned && is_active(bucket));
        owned.map(|(customer, bucket)| bucket.to_level(*customer, now)).collect()
    }

    /// Stores replicas of another gateway's buckets. Buckets that this gateway owns are not
    /// overwritten.
    pub fn store_replicas(&mut self, levels: &[BucketLevel], now: Instant) {
        for level in levels {
            if self.buckets.get(&level.customer).is_none_or(|bucket| !bucket.owned) {
                self.buckets.insert(level.customer, Bucket::from_level(level, now));
            }
        }
    }

    /// Accepts buckets that another gateway hands over. If both gateways have granted from a
    /// bucket, the lower level and the larger count are used.
    pub fn accept_handover(&mut self, levels: &[BucketLevel], now: Instant) {
        for level in levels {
            let handed_over = Bucket::from_level(level, now);
            let own = self.buckets.remove(&level.customer).filter(|bucket| bucket.owned);
            let (units, usage) = match own {
                Some(own) => {
                    (own.level.min(handed_over.level), own.usage.larger(handed_over.usage))
                }
                None => (handed_over.level, handed_over.usage),
            };
            let bucket = Bucket {
                usage,
                counted_since: None,
                owned: true,
                granting_since: Some(now),
                handover_grace_until: Some(now + HANDOVER_GRACE_PERIOD),
                ..Bucket::new(units, now)
            };
            self.buckets.insert(level.customer, bucket);
        }
    }

    /// Handles a credit request.
    pub fn handle_request(
        &mut self,
        from: PeerId,
        request: CreditRequest,
        terms: BucketTerms,
        role: BucketRole,
        now: Instant,
    ) -> CreditReply {
        self.expire_replies(now);
        let request_key = (from, request.number);
        if let Some(reply) = self.recent_replies.get(&request_key) {
            return *reply;
        }
        let reply = self.decide_reply(request, terms, role, now);
        self.recent_replies.insert(request_key, reply);
        self.reply_times.push_back((now, request_key));
        reply
    }

    /// Whether the membership has changed only while this process started. A previous owner has
    /// then handed its buckets over or is gone. In the meantime gateways have granted from their
    /// even shares only, and they report those units with their credit requests.
    fn owns_since_startup(&self) -> bool {
        self.owner_since.saturating_duration_since(self.started_at) < STARTUP_PERIOD
    }

    fn expire_replies(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) > REPLY_RETENTION;
        while let Some((_, request_key)) = self.reply_times.pop_front_if(|(at, _)| is_expired(*at))
        {
            self.recent_replies.remove(&request_key);
        }
    }

    fn decide_reply(
        &mut self,
        request: CreditRequest,
        terms: BucketTerms,
        role: BucketRole,
        now: Instant,
    ) -> CreditReply {
        let takeover_at = self.owner_since + TAKEOVER_DELAY;
        let is_stale = |bucket: &Bucket| !bucket.is_current(now);
        if self.buckets.get(&request.customer).is_some_and(is_stale) {
            self.buckets.remove(&request.customer);
        }
        let existing = self.buckets.get(&request.customer);
        let in_handover_grace = existing.is_some_and(|bucket| bucket.is_in_handover_grace(now));
        let may_grant = match role {
            BucketRole::Owner => existing.is_some() || now >= takeover_at,
            BucketRole::Standby => existing.is_some(),
            BucketRole::Other => in_handover_grace,
        };
        if !may_grant {
            return CreditReply::NotOwner;
        }
        let refilled_at = if self.owns_since_startup() { self.owner_since } else { takeover_at };
        let new_bucket =
            || Bucket { granting_since: Some(refilled_at), ..Bucket::new(0.0, refilled_at) };
        let bucket = self.buckets.entry(request.customer).or_insert_with(new_bucket);
        if role == BucketRole::Standby && bucket.granting_since.is_none() {
            bucket.level = bucket.level.min(terms.allowance.burst * STANDBY_SHARE);
        }
        bucket.start_granting(now);
        bucket.owned = role == BucketRole::Owner || in_handover_grace;
        let share = if bucket.owned { terms.share } else { terms.share * STANDBY_SHARE };
        bucket.grant(request, BucketTerms { share, ..terms }, now)
    }
}
