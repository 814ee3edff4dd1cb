//! The credit that an entry has drawn.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{CreditReply, CreditRequest, CustomerId};
use crate::model::Allowance;

/// How long credit is good: what is drawn in one window must not be granted much later.
const CREDIT_LIFETIME: Duration = Duration::from_millis(1_000);

/// Span of demand_per_second for which credit is drawn prefetch_units.
const PREFETCH_PERIOD: Duration = Duration::from_millis(300);

/// Span over which demand_per_second is averaged.
const DEMAND_AVERAGING_PERIOD: Duration = Duration::from_millis(1_000);

/// Shortest time for which an empty bucket is not asked again.
const MIN_EXHAUSTED_TIME: Duration = Duration::from_millis(20);

/// Span of its even own_share of the allowance that an entry may grant by itself at once while it hears
/// nothing of the keeper: what a third of the entries grant so, while the keeper still counts them as
/// heard, stays within what the operators tolerate.
const OWN_SHARE_BURST_PERIOD: Duration = Duration::from_millis(800);

/// Span of its even own_share that an entry that is back in touch owes at most: for longer the keeper has
/// not counted it as heard.
const MAX_UNREPORTED_PERIOD: Duration = Duration::from_millis(2_000);

#[derive(Debug)]
struct Account {
    credit: f64,
    credited_at: Instant,
    /// Units a second that are asked for, decaying.
    demand_per_second: f64,
    demand_at: Instant,
    exhausted_until: Option<Instant>,
    /// The even own_share, in units.
    own_share: f64,
    own_share_at: Instant,
    /// Units granted of the even own_share that the keeper has not been told of.
    unreported: f64,
    /// Questions without an answer.
    open_requests: u32,
}

/// Whether a request is within its customer's allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Acquisition {
    /// It is, and is taken out of the credit.
    Granted,
    /// The keeper has to be asked.
    RequestCredit(CreditRequest),
    /// It is not before this time has passed.
    Refused(Duration),
}

/// Credit by customer.
#[derive(Debug)]
pub struct LocalCredit {
    accounts: HashMap<CustomerId, Account>,
    started_at: Instant,
    next_number: u32,
}

impl LocalCredit {
    /// Local credit without units. Even shares grow from `now` on.
    pub fn new(now: Instant) -> LocalCredit {
        LocalCredit { accounts: HashMap::new(), started_at: now, next_number: 0 }
    }

    fn account(&mut self, customer: CustomerId, now: Instant) -> &mut Account {
        let started_at = self.started_at;
        self.accounts.entry(customer).or_insert_with(|| Account {
            credit: 0.0,
            credited_at: now,
            demand_per_second: 0.0,
            demand_at: now,
            exhausted_until: None,
            own_share: 0.0,
            own_share_at: started_at,
            unreported: 0.0,
            open_requests: 0,
        })
    }

    /// Takes in that a request asks for `cost` units.
    pub fn record_demand(&mut self, customer: CustomerId, cost: f64, now: Instant) {
        let account = self.account(customer, now);
        let elapsed = now.saturating_duration_since(account.demand_at);
        let decay = (-elapsed.as_secs_f64() / DEMAND_AVERAGING_PERIOD.as_secs_f64()).exp();
        account.demand_per_second =
            account.demand_per_second * decay + cost / DEMAND_AVERAGING_PERIOD.as_secs_f64();
        account.demand_at = now;
    }

    /// Takes a request's cost out of the credit, if there is enough.
    pub fn acquire(&mut self, customer: CustomerId, cost: f64, now: Instant) -> Acquisition {
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
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
        let prefetch_units = if account.open_requests == 0 {
            account.demand_per_second * PREFETCH_PERIOD.as_secs_f64()
        } else {
            0.0
        };
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

    /// Takes in what the keeper said to a question, or that it said nothing.
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
                account.exhausted_until = Some(now + wait.max(MIN_EXHAUSTED_TIME))
            }
            Some(CreditReply::NotOwner) | None => account.unreported += request.unreported,
        }
    }

    /// Grants a request out of this entry's even own_share, while its customer's keeper says nothing.
    pub fn acquire_from_share(
        &mut self,
        customer: CustomerId,
        allowance: Allowance,
        cost: f64,
        gateway_count: usize,
        now: Instant,
    ) -> Acquisition {
        let per_second = allowance.per_second / gateway_count.max(1) as f64;
        let max_own_share = per_second * OWN_SHARE_BURST_PERIOD.as_secs_f64();
        let account = self.account(customer, now);
        let elapsed = now.saturating_duration_since(account.own_share_at).as_secs_f64();
        account.own_share_at = now;
        account.own_share = (account.own_share + elapsed * per_second).min(max_own_share);
        if account.own_share >= cost {
            account.own_share -= cost;
            account.unreported =
                (account.unreported + cost).min(per_second * MAX_UNREPORTED_PERIOD.as_secs_f64());
            return Acquisition::Granted;
        }
        let missing = cost - account.own_share;
        Acquisition::Refused(Duration::from_secs_f64(missing / per_second.max(f64::MIN_POSITIVE)))
    }

    /// Gives back what a request took that did not run.
    pub fn refund(&mut self, customer: CustomerId, cost: f64, now: Instant) {
        self.account(customer, now).credit += cost;
    }
}
