//! Credit that this gateway has acquired from bucket owners.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{CreditReply, CreditRequest, CustomerId};
use crate::model::Allowance;

/// Lifetime of credit: units acquired in one window must not be granted much later.
const CREDIT_LIFETIME: Duration = Duration::from_millis(1_000);

/// Period of demand for which credit is prefetched.
const PREFETCH_PERIOD: Duration = Duration::from_millis(300);

/// Number of further requests that prefetched credit must be expected to cover. Credit that is not
/// used within its lifetime is lost to the customer, which with many gateways and few requests at
/// each would be most of it.
const MIN_PREFETCHED_REQUESTS: f64 = 2.0;

/// Time constant of the moving average of demand.
const DEMAND_AVERAGING_PERIOD: Duration = Duration::from_millis(1_000);

/// Minimum time for which the owner of an exhausted bucket is not asked again.
const MIN_EXHAUSTED_TIME: Duration = Duration::from_millis(20);

/// Maximum time for which it is not asked again: a smaller request may be granted sooner.
const MAX_EXHAUSTED_TIME: Duration = Duration::from_millis(100);

/// Units that a gateway without contact to the owner may grant at once, as a period of its even
/// share of the allowance. If a third of the gateways grant this much while the owner still counts
/// them as reachable, the total stays within what the operators tolerate.
const EVEN_SHARE_BURST_PERIOD: Duration = Duration::from_millis(800);

/// Maximum of unreported units when a gateway regains contact to the owner, as a period of its even
/// share: for any longer time the owner has not counted it as reachable.
const MAX_UNREPORTED_PERIOD: Duration = Duration::from_millis(2_000);

/// Credit and even share of one customer.
#[derive(Debug)]
struct Account {
    credit: f64,
    credited_at: Instant,
    /// Requested units per second, as an exponentially decaying average.
    demand_per_second: f64,
    demand_at: Instant,
    exhausted_until: Option<Instant>,
    /// Units available from the even share.
    even_share: f64,
    even_share_at: Instant,
    /// Units granted from the even share that have not been reported to the owner.
    unreported: f64,
    /// Credit requests without a reply.
    open_requests: u32,
}

/// Result of acquiring a request's cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Acquisition {
    /// The cost is covered and has been deducted.
    Granted,
    /// The bucket owner has to be asked for credit.
    RequestCredit(CreditRequest),
    /// The request exceeds the allowance; it may be repeated after this time.
    Refused(Duration),
}

/// Credit accounts by customer.
#[derive(Debug)]
pub struct LocalCredit {
    accounts: HashMap<CustomerId, Account>,
    started_at: Instant,
    last_request_number: u32,
}

impl LocalCredit {
    /// Creates empty accounts. Even shares accumulate from `now` on; credit requests are numbered
    /// after `first_number`.
    pub fn new(first_number: u32, now: Instant) -> LocalCredit {
        LocalCredit { accounts: HashMap::new(), started_at: now, last_request_number: first_number }
    }

    fn account(&mut self, customer: CustomerId, now: Instant) -> &mut Account {
        let started_at = self.started_at;
        self.accounts.entry(customer).or_insert_with(|| Account {
            credit: 0.0,
            credited_at: now,
            demand_per_second: 0.0,
            demand_at: now,
            exhausted_until: None,
            even_share: 0.0,
            even_share_at: started_at,
            unreported: 0.0,
            open_requests: 0,
        })
    }

    /// Records that a request needs `cost` units.
    pub fn record_demand(&mut self, customer: CustomerId, cost: f64, now: Instant) {
        let account = self.account(customer, now);
        let elapsed = now.saturating_duration_since(account.demand_at);
        let decay = (-elapsed.as_secs_f64() / DEMAND_AVERAGING_PERIOD.as_secs_f64()).exp();
        account.demand_per_second =
            account.demand_per_second * decay + cost / DEMAND_AVERAGING_PERIOD.as_secs_f64();
        account.demand_at = now;
    }

    /// Deducts a request's cost from the credit, if there is enough.
    pub fn acquire(&mut self, customer: CustomerId, cost: f64, now: Instant) -> Acquisition {
        self.last_request_number = self.last_request_number.wrapping_add(1);
        let number = self.last_request_number;
        let account = self.account(customer, now);
        if now.saturating_duration_since(account.credited_at) > CREDIT_LIFETIME {
            account.credit = 0.0;
        }
        if account.credit >= cost {
            account.credit -= cost;
            return Acquisition::Granted;
        }
        if let Some(until) = account.exhausted_until.filter(|until| now < *until) {
            return Acquisition::Refused(until.saturating_duration_since(now));
        }
        let expected_units = account.demand_per_second * PREFETCH_PERIOD.as_secs_f64();
        let is_worth_prefetching =
            account.open_requests == 0 && expected_units >= MIN_PREFETCHED_REQUESTS * cost;
        let prefetch_units = if is_worth_prefetching { expected_units } else { 0.0 };
        account.open_requests += 1;
        let unreported = std::mem::take(&mut account.unreported);
        Acquisition::RequestCredit(CreditRequest {
            customer,
            number,
            needed: cost,
            prefetch: prefetch_units,
            unreported,
        })
    }

    /// Applies the owner's reply to a credit request; `None` if no reply arrived.
    pub fn apply_reply(
        &mut self,
        request: &CreditRequest,
        reply: Option<CreditReply>,
        now: Instant,
    ) {
        let account = self.account(request.customer, now);
        account.open_requests = account.open_requests.saturating_sub(1);
        match reply {
            Some(CreditReply::Granted(units)) => {
                account.credit += units;
                account.credited_at = now;
                account.exhausted_until = None;
            }
            Some(CreditReply::Exhausted(wait)) => {
                account.exhausted_until =
                    Some(now + wait.clamp(MIN_EXHAUSTED_TIME, MAX_EXHAUSTED_TIME));
            }
            Some(CreditReply::NotOwner) | None => account.unreported += request.unreported,
        }
    }

    /// Deducts a request's cost from this gateway's even share, while the bucket owner does not
    /// reply.
    pub fn acquire_from_share(
        &mut self,
        customer: CustomerId,
        allowance: Allowance,
        cost: f64,
        gateway_count: usize,
        now: Instant,
    ) -> Acquisition {
        let per_second = allowance.per_second / gateway_count.max(1) as f64;
        let max_even_share = per_second * EVEN_SHARE_BURST_PERIOD.as_secs_f64();
        let account = self.account(customer, now);
        let elapsed = now.saturating_duration_since(account.even_share_at).as_secs_f64();
        account.even_share_at = now;
        account.even_share = (account.even_share + elapsed * per_second).min(max_even_share);
        if account.even_share >= cost {
            account.even_share -= cost;
            account.unreported =
                (account.unreported + cost).min(per_second * MAX_UNREPORTED_PERIOD.as_secs_f64());
            return Acquisition::Granted;
        }
        let missing = cost - account.even_share;
        Acquisition::Refused(Duration::from_secs_f64(missing / per_second.max(f64::MIN_POSITIVE)))
    }

    /// Refunds the cost of a request that did not run.
    pub fn refund(&mut self, customer: CustomerId, cost: f64, now: Instant) {
        self.account(customer, now).credit += cost;
    }
}
