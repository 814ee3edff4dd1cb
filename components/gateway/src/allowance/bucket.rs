//! Token bucket of one customer.
//!
//! What a customer may use is what the operators count: any window of theirs holds its rate times
//! the window, plus its burst. The bucket counts the units granted in that window. It is larger than
//! the burst, so that demand may clump within the window, and only as large as the operators' slack
//! covers if the count is lost: when owner and standby die together, the next owner starts with an
//! empty bucket and an empty count.
//!
//! Load pattern: a customer that sends many times its usual just before gateways are killed or lose
//! each other.

use std::time::{Duration, Instant};

use super::window_usage::{WindowUsage, window_limit};
use super::{BucketLevel, CreditReply, CreditRequest, CustomerId, Tolerance};
use crate::model::Allowance;

/// Share of the operators' slack by which a bucket's capacity exceeds the burst. That much may be
/// granted twice in a window if the count of the window is lost.
const CAPACITY_SLACK_SHARE: f64 = 0.75;

/// Share of the operators' slack by which a bucket or a window may be overdrawn. Without it,
/// requests larger than the remaining level would never be granted in a shortage.
const OVERDRAFT_SHARE: f64 = 0.25;

/// Lifetime of a replica: longer than the silence after which an owner counts as gone, much shorter
/// than the operators' window.
const REPLICA_LIFETIME: Duration = Duration::from_secs(2);

/// Share of a bucket's capacity that its level must exceed before it grants prefetched credit,
/// which is for requests still to come.
const MIN_FILL_FOR_PREFETCH: f64 = 0.5;

/// Maximum prefetched credit in one reply, as a share of the bucket's capacity.
const MAX_PREFETCH_SHARE: f64 = 0.1;

/// Token bucket of one customer, owned or replicated.
#[derive(Debug)]
pub(super) struct Bucket {
    pub(super) level: f64,
    pub(super) refilled_at: Instant,
    /// Units granted in the operators' window.
    pub(super) usage: WindowUsage,
    /// Since when the usage is counted; `None` if it covers the whole window. Until it does, the
    /// bucket refills at the rate of the allowance only.
    pub(super) counted_since: Option<Instant>,
    /// Limit that the usage was last compared with, in units for a window.
    pub(super) window_limit: Option<f64>,
    /// Whether this gateway was the owner when the role was last evaluated.
    pub(super) owned: bool,
    /// Since when this gateway grants from the bucket; `None` for an unused replica.
    pub(super) granting_since: Option<Instant>,
    pub(super) last_used_at: Instant,
    /// End of the handover grace period, in which this gateway owns the bucket although others may
    /// still rank the previous owner first.
    pub(super) handover_grace_until: Option<Instant>,
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
    pub(super) fn new(level: f64, refilled_at: Instant) -> Bucket {
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

    pub(super) fn from_level(level: &BucketLevel, now: Instant) -> Bucket {
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

    pub(super) fn to_level(&self, customer: CustomerId, now: Instant) -> BucketLevel {
        let in_milliseconds = |(age, units): (Duration, f64)| {
            (u32::try_from(age.as_millis()).unwrap_or(u32::MAX), units as f32)
        };
        let granted_by_age_ms = self.usage.ages(now).into_iter().map(in_milliseconds).collect();
        BucketLevel { customer, units: self.level, granted_by_age_ms }
    }

    /// Whether the level is known: that of an expired replica is not.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        self.owned || now.saturating_duration_since(self.refilled_at) < REPLICA_LIFETIME
    }

    /// Starts to grant from a replica. It is not refilled for the time since it was made, since
    /// others have granted in that time.
    pub(super) fn start_granting(&mut self, now: Instant) {
        if self.granting_since.is_none() {
            self.granting_since = Some(now);
            self.refilled_at = now;
        }
    }

    pub(super) fn is_in_handover_grace(&self, now: Instant) -> bool {
        self.handover_grace_until.is_some_and(|until| now < until)
    }

    pub(super) fn grant(
        &mut self,
        request: CreditRequest,
        terms: BucketTerms,
        now: Instant,
    ) -> CreditReply {
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
