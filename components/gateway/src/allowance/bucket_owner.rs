//! Token buckets of customers, at the gateway that owns them.
//!
//! What a customer may use is what the operators count: any window of theirs holds its rate times
//! the window, plus its burst. The owner counts the units granted in that window. The bucket is
//! larger than the burst, so that demand may clump within the window, and only as large as the
//! operators' slack covers if the count is lost: when owner and standby die together, the next owner
//! starts with an empty bucket and an empty count.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::window_usage::{WindowUsage, window_limit};
use super::{BucketLevel, CreditReply, CreditRequest, CustomerId, Tolerance};
use crate::model::{Allowance, PeerId};

/// Time after a membership change during which an owner without a replica of a bucket grants
/// nothing: until all gateways know of the change, the previous owner may still grant.
const TAKEOVER_DELAY: Duration = Duration::from_millis(600);

/// Time after its start within which a process learns the members: it reads the store once, and
/// gateways that start at the same time register.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// Share of the operators' slack by which a bucket's capacity exceeds the burst. That much may be
/// granted twice in a window if the count of the window is lost.
const CAPACITY_SLACK_SHARE: f64 = 0.75;

/// Share of the operators' slack by which a bucket or a window may be overdrawn. Without it,
/// requests larger than the remaining level would never be granted in a shortage.
const OVERDRAFT_SHARE: f64 = 0.25;

/// Share of the allowance and of the burst that a standby grants: the owner may merely be cut off,
/// and then still grants until it notices.
const STANDBY_SHARE: f64 = 0.5;

/// Lifetime of a replica: longer than the silence after which an owner counts as gone, much shorter
/// than the operators' window.
const REPLICA_LIFETIME: Duration = Duration::from_secs(2);

/// Share of a bucket's capacity that its level must exceed before it grants prefetched credit,
/// which is for requests still to come.
const MIN_FILL_FOR_PREFETCH: f64 = 0.5;

/// Maximum prefetched credit in one reply, as a share of the bucket's capacity.
const MAX_PREFETCH_SHARE: f64 = 0.1;

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

/// Token bucket of one customer, owned or replicated.
#[derive(Debug)]
struct Bucket {
    level: f64,
    refilled_at: Instant,
    /// Units granted in the operators' window.
    usage: WindowUsage,
    /// Since when the usage is counted; `None` if it covers the whole window. Until it does, the
    /// bucket refills at the rate of the allowance only.
    counted_since: Option<Instant>,
    /// Limit that the usage was last compared with, in units for a window.
    window_limit: Option<f64>,
    /// Whether this gateway was the owner when the role was last evaluated.
    owned: bool,
    /// Since when this gateway grants from the bucket; `None` for an unused replica.
    granting_since: Option<Instant>,
    last_used_at: Instant,
    /// End of the handover grace period, in which this gateway owns the bucket although others may
    /// still rank the previous owner first.
    handover_grace_until: Option<Instant>,
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

/// Terms on which credit is granted from a bucket.
#[derive(Debug, Clone, Copy)]
pub struct BucketTerms {
    /// Allowance of the customer.
    pub allowance: Allowance,
    /// Excess that the operators tolerate.
    pub tolerance: Tolerance,
    /// Share of all gateways that this one can reach; the others may use an owner of their own.
    pub share: f64,
    /// Number of gateways in the deployment.
    pub gateway_count: usize,
}

impl Bucket {
    fn new(level: f64, refilled_at: Instant) -> Bucket {
        Bucket {
            level,
            refilled_at,
            usage: WindowUsage::default(),
            counted_since: Some(refilled_at),
            window_limit: None,
            owned: false,
            granting_since: None,
            last_used_at: refilled_at,
            handover_grace_until: None,
        }
    }

    fn from_level(level: &BucketLevel, now: Instant) -> Bucket {
        let age = |(age_ms, units): &(u32, f32)| {
            (Duration::from_millis((*age_ms).into()), f64::from(*units))
        };
        let granted: Vec<(Duration, f64)> = level.granted_by_age_ms.iter().map(age).collect();
        Bucket {
            usage: WindowUsage::from_ages(&granted, now),
            counted_since: None,
            ..Bucket::new(level.units, now)
        }
    }

    fn to_level(&self, customer: CustomerId, now: Instant) -> BucketLevel {
        let in_milliseconds = |(age, units): (Duration, f64)| {
            (u32::try_from(age.as_millis()).unwrap_or(u32::MAX), units as f32)
        };
        let granted_by_age_ms = self.usage.ages(now).into_iter().map(in_milliseconds).collect();
        BucketLevel { customer, units: self.level, granted_by_age_ms }
    }

    /// Whether the level is known: that of an expired replica is not.
    fn is_current(&self, now: Instant) -> bool {
        self.owned || now.saturating_duration_since(self.refilled_at) < REPLICA_LIFETIME
    }

    /// Starts to grant from a replica. It is not refilled for the time since it was made, since
    /// others have granted in that time.
    fn start_granting(&mut self, now: Instant) {
        if self.granting_since.is_none() {
            self.granting_since = Some(now);
            self.refilled_at = now;
        }
    }

    fn is_in_handover_grace(&self, now: Instant) -> bool {
        self.handover_grace_until.is_some_and(|until| now < until)
    }

    fn grant(&mut self, request: CreditRequest, terms: BucketTerms, now: Instant) -> CreditReply {
        let BucketTerms { allowance, tolerance, gateway_count, .. } = terms;
        let limit = window_limit(allowance, tolerance);
        self.refill(terms, limit, now);
        let granting_time = now.saturating_duration_since(self.granting_since.unwrap_or(now));
        let even_share = allowance.per_second / gateway_count.max(1) as f64;
        self.deduct(
            request.unreported.min(even_share * granting_time.as_secs_f64()),
            tolerance.window,
            now,
        );
        self.last_used_at = now;
        let used = self.usage.total(tolerance.window, now);
        let available = self.level.min(limit - used);
        let overdraft = tolerance.slack * OVERDRAFT_SHARE;
        let needed = request.needed.min(allowance.burst);
        if available <= 0.0 || available + overdraft < needed {
            let missing = (needed - overdraft).max(0.0);
            let wait = self.time_until_available(missing, limit - used, terms, now);
            return CreditReply::Exhausted(wait);
        }
        let prefetch_units = if available > allowance.burst * MIN_FILL_FOR_PREFETCH {
            request.prefetch.min(allowance.burst * MAX_PREFETCH_SHARE)
        } else {
            0.0
        };
        self.deduct(request.needed + prefetch_units, tolerance.window, now);
        CreditReply::Granted(request.needed + prefetch_units)
    }

    fn deduct(&mut self, units: f64, window: Duration, now: Instant) {
        self.level -= units;
        if units > 0.0 {
            self.usage.record(units, window, now);
        }
    }

    /// Time until `missing_units` are available, with `window_room` units left in the window.
    fn time_until_available(
        &self,
        missing_units: f64,
        window_room: f64,
        terms: BucketTerms,
        now: Instant,
    ) -> Duration {
        let per_second = (terms.allowance.per_second * terms.share).max(1.0);
        let refill_wait =
            Duration::from_secs_f64((missing_units - self.level).max(0.0) / per_second);
        let window_wait =
            self.usage.time_until_freed(missing_units - window_room, terms.tolerance.window, now);
        refill_wait.max(window_wait)
    }

    fn refill(&mut self, terms: BucketTerms, window_limit: f64, now: Instant) {
        let BucketTerms { allowance, tolerance, share, .. } = terms;
        if let Some(previous) = self.window_limit.replace(window_limit)
            && window_limit < previous
        {
            self.usage.scale(window_limit / previous);
        }
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let is_counted = self
            .counted_since
            .is_none_or(|since| now.saturating_duration_since(since) >= tolerance.window);
        let per_second = if is_counted {
            window_limit / tolerance.window.as_secs_f64().max(f64::MIN_POSITIVE)
        } else {
            allowance.per_second
        };
        // The gateways that cannot be reached grant the rest of the allowance by themselves.
        let granted_elsewhere = elapsed * allowance.per_second * (1.0 - share);
        if granted_elsewhere > 0.0 {
            self.usage.record(granted_elsewhere, tolerance.window, now);
        }
        let capacity = allowance.burst + tolerance.slack * CAPACITY_SLACK_SHARE;
        self.level = (self.level + elapsed * per_second * share).min(capacity);
        self.refilled_at = now;
    }
}
