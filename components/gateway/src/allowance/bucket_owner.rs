//! Buckets of customers, at the entry that keeps them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::{BucketLevel, CreditReply, CreditRequest, CustomerId, Tolerance};
use crate::model::{Allowance, PeerId};

/// How long after members came or went a keeper without a copy of a bucket grants nothing: until all
/// entries know, the one before may grant as well.
const TAKEOVER_DELAY: Duration = Duration::from_millis(600);

/// How long after its start a process learns who the members are: a reading of the store, and the
/// entries that start with it.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// How much more than the allowance a bucket regains: callers whose requests are counted at the edge of
/// a window get theirs, and the operators tolerate 1.1.
const REFILL_FACTOR: f64 = 1.05;

/// Part of the operators' slack by which a bucket may be overdrawn. Requests larger than what is left
/// would never be granted in a shortage otherwise.
const OVERDRAFT_SHARE: f64 = 0.25;

/// Part of the allowance that an entry grants while it stands in: the keeper may be cut off, and grant
/// as well until it notices.
const STANDBY_SHARE: f64 = 0.5;

/// How long a copy is current: longer than the silence after which a keeper is taken as gone, much
/// shorter than the operators' window.
const REPLICA_LIFETIME: Duration = Duration::from_secs(2);

/// Part of a full bucket above which entries get credit for requests that are still to come.
const MIN_FILL_FOR_PREFETCH: f64 = 0.5;

/// Part of what a bucket holds that one entry gets prefetch_units at most.
const MAX_PREFETCH_SHARE: f64 = 0.1;

/// How long after the last draw a bucket is still copied; a full one needs no copy.
const ACTIVE_BUCKET_PERIOD: Duration = Duration::from_secs(10);

/// How long a bucket that was handed over is kept by the new keeper while others may not know yet that
/// the old one has left; two digests to all zones.
const HANDOVER_GRACE_PERIOD: Duration = Duration::from_millis(1_700);

/// How long answers are remembered for questions that come again.
const REPLY_RETENTION: Duration = Duration::from_secs(1);

/// What an entry is to a customer's bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BucketRole {
    /// It keeps it.
    Owner,
    /// It is the next in the ranking, and the keeper has fallen silent.
    Standby,
    /// Neither.
    Other,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    refilled_at: Instant,
    /// Whether this entry was its keeper when it was last looked at.
    owned: bool,
    /// Since when this entry grants of it; a copy has not begun.
    granting_since: Option<Instant>,
    last_used_at: Instant,
    /// Until when this entry keeps it although others may rank the one before first.
    handover_grace_until: Option<Instant>,
}

/// A question of an entry.
type RequestKey = (PeerId, u32);

/// The buckets that this entry keeps.
#[derive(Debug)]
pub struct BucketOwner {
    buckets: HashMap<CustomerId, Bucket>,
    started_at: Instant,
    /// Since when this entry keeps the customers that it has no bucket of.
    owner_since: Instant,
    recent_replies: HashMap<RequestKey, CreditReply>,
    reply_times: VecDeque<(Instant, RequestKey)>,
}

impl BucketOwner {
    /// A keeper that starts at `now`.
    pub fn new(now: Instant) -> BucketOwner {
        BucketOwner {
            buckets: HashMap::new(),
            started_at: now,
            owner_since: now,
            recent_replies: HashMap::new(),
            reply_times: VecDeque::new(),
        }
    }

    /// Takes in that members came or went. Gives back the buckets to hand over, as others keep them
    /// now.
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
                to_hand_over.push(BucketLevel { customer: *customer, units: bucket.level });
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

    /// The buckets that this entry keeps and that were is_active on lately, for copies.
    pub fn active_levels(&self, now: Instant) -> Vec<BucketLevel> {
        let is_active = |bucket: &Bucket| {
            now.saturating_duration_since(bucket.last_used_at) < ACTIVE_BUCKET_PERIOD
        };
        let owned = self.buckets.iter().filter(|(_, bucket)| bucket.owned && is_active(bucket));
        owned
            .map(|(customer, bucket)| BucketLevel { customer: *customer, units: bucket.level })
            .collect()
    }

    /// Takes in copies of another entry's buckets. What this entry keeps itself it knows better.
    pub fn store_replicas(&mut self, levels: &[BucketLevel], now: Instant) {
        for BucketLevel { customer, units } in levels {
            if self.buckets.get(customer).is_none_or(|bucket| !bucket.owned) {
                self.buckets.insert(*customer, Bucket::new(*units, now));
            }
        }
    }

    /// Takes over buckets that another entry hands over. Where both have granted, the emptier bucket
    /// counts.
    pub fn accept_handover(&mut self, levels: &[BucketLevel], now: Instant) {
        for BucketLevel { customer, units } in levels {
            let owned = self.buckets.get(customer).filter(|bucket| bucket.owned);
            let units = owned.map_or(*units, |bucket| bucket.level.min(*units));
            let bucket = Bucket {
                owned: true,
                granting_since: Some(now),
                handover_grace_until: Some(now + HANDOVER_GRACE_PERIOD),
                ..Bucket::new(units, now)
            };
            self.buckets.insert(*customer, bucket);
        }
    }

    /// Answers an entry.
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

    /// Whether members came or went only while this process started. Whoever kept its buckets before
    /// has handed them over, or is gone: then only even shares were granted since, which entries tell
    /// when they draw.
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
        bucket.start_granting(now);
        bucket.owned = role == BucketRole::Owner || in_handover_grace;
        let share = if bucket.owned { terms.share } else { terms.share * STANDBY_SHARE };
        bucket.grant(request, BucketTerms { share, ..terms }, now)
    }
}

/// On which terms a bucket is is_active on.
#[derive(Debug, Clone, Copy)]
pub struct BucketTerms {
    /// What the customer may ask for.
    pub allowance: Allowance,
    /// What the operators allow beside it.
    pub tolerance: Tolerance,
    /// Part of all entries that the keeper hears: the others may draw on a keeper of their own.
    pub share: f64,
    /// Entries of the deployment.
    pub gateway_count: usize,
}

impl Bucket {
    fn new(level: f64, refilled_at: Instant) -> Bucket {
        Bucket {
            level,
            refilled_at,
            owned: false,
            granting_since: None,
            last_used_at: refilled_at,
            handover_grace_until: None,
        }
    }

    /// Whether its level is existing: a copy that is old is not.
    fn is_current(&self, now: Instant) -> bool {
        self.owned || now.saturating_duration_since(self.refilled_at) < REPLICA_LIFETIME
    }

    /// Begins to grant of a copy. What it would have gained since it was made others have granted.
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
        let BucketTerms { allowance, tolerance, share, gateway_count } = terms;
        self.refill(allowance, share, now);
        let granting_time = now.saturating_duration_since(self.granting_since.unwrap_or(now));
        let even_share = allowance.per_second / gateway_count.max(1) as f64;
        self.level -= request.unreported.min(even_share * granting_time.as_secs_f64());
        self.last_used_at = now;
        let overdraft = tolerance.slack * OVERDRAFT_SHARE;
        let needed = request.needed.min(allowance.burst);
        if self.level <= 0.0 || self.level + overdraft < needed {
            let missing = (needed - overdraft).max(0.0) - self.level;
            let per_second = (allowance.per_second * share).max(1.0);
            return CreditReply::Exhausted(Duration::from_secs_f64(missing.max(0.0) / per_second));
        }
        let prefetch_units = if self.level > allowance.burst * MIN_FILL_FOR_PREFETCH {
            request.prefetch.min(allowance.burst * MAX_PREFETCH_SHARE)
        } else {
            0.0
        };
        self.level -= request.needed + prefetch_units;
        CreditReply::Granted(request.needed + prefetch_units)
    }

    fn refill(&mut self, allowance: Allowance, share: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let gained = elapsed * allowance.per_second * REFILL_FACTOR * share;
        self.level = (self.level + gained).min(allowance.burst);
        self.refilled_at = now;
    }
}
