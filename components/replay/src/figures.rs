//! What a replay measures.

use hdrhistogram::Histogram;
use identity::TIER_COUNT;
use serde::Serialize;

/// Worth of one answer in each tier, for the figure over all tiers.
const TIER_WEIGHTS: [f64; TIER_COUNT] = [8.0, 4.0, 2.0, 1.0];

/// Customers that a trace may have.
pub(crate) const CUSTOMER_COUNT: usize = 5;

/// Microseconds that the histograms can hold: an hour.
const LONGEST_US: u64 = 3_600_000_000;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Whole and in time.
    InTime,
    /// Cancelled at its deadline, or lost with its upstream.
    Late,
    /// Refused before it ran.
    Shed,
    /// Cancelled or pushed back for a higher tier.
    Preempted,
}

/// Figures of one tier.
#[derive(Debug, Clone, Serialize)]
pub struct TierFigures {
    /// Requests that were made.
    pub offered: u64,
    /// Answers that were whole and in time.
    pub in_time: u64,
    /// Refused before they ran.
    pub shed: u64,
    /// Cancelled for a higher tier.
    pub preempted: u64,
    /// Cut at the deadline or lost.
    pub late: u64,
    /// First token, 95th percentile.
    pub first_token_p95_ms: f64,
    /// Between two tokens, 95th percentile.
    pub between_tokens_p95_ms: f64,
}

/// All figures of one replay.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// By tier, the highest first.
    pub tiers: Vec<TierFigures>,
    /// Answers in time, weighted by tier, as a share of those asked for.
    pub weighted_goodput: f64,
    /// Prompt tokens thrown away or computed again, as a share of those computed.
    pub wasted_prefill: f64,
    /// Jain's index over the customers' shares of answers in time.
    pub fairness: f64,
    /// Requests of the highest tier that were refused while lower tiers ran on the same upstream.
    pub top_tier_shed_while_lower_ran: u64,
}

/// Collects figures.
#[derive(Debug)]
pub(crate) struct Recorder {
    ends: [[u64; 4]; TIER_COUNT],
    first_token: Vec<Histogram<u64>>,
    between_tokens: Vec<Histogram<u64>>,
    customers: [(u64, u64); CUSTOMER_COUNT],
    pub(crate) computed: u64,
    pub(crate) wasted: u64,
    pub(crate) top_tier_shed_while_lower_ran: u64,
}

impl Recorder {
    pub(crate) fn new() -> Recorder {
        Recorder {
            ends: [[0; 4]; TIER_COUNT],
            first_token: histograms(),
            between_tokens: histograms(),
            customers: [(0, 0); CUSTOMER_COUNT],
            computed: 0,
            wasted: 0,
            top_tier_shed_while_lower_ran: 0,
        }
    }

    pub(crate) fn record_outcome(&mut self, tier: u8, customer: u8, outcome: RequestOutcome) {
        self.ends[usize::from(tier)][outcome as usize] += 1;
        let (asked, served) = &mut self.customers[usize::from(customer)];
        *asked += 1;
        *served += u64::from(outcome == RequestOutcome::InTime);
    }

    pub(crate) fn first_token(&mut self, tier: u8, us: u64) {
        self.first_token[usize::from(tier)].saturating_record(us);
    }

    pub(crate) fn between_tokens(&mut self, tier: u8, us: u64) {
        self.between_tokens[usize::from(tier)].saturating_record(us);
    }

    pub(crate) fn figures(&self) -> Figures {
        let tiers: Vec<TierFigures> = (0..TIER_COUNT).map(|tier| self.tier(tier)).collect();
        let weigh = |count: fn(&TierFigures) -> u64| -> f64 {
            let pairs = tiers.iter().zip(TIER_WEIGHTS);
            pairs.map(|(tier, weight)| count(tier) as f64 * weight).sum()
        };
        let weighted_goodput = weigh(|tier| tier.in_time) / weigh(|tier| tier.offered).max(1.0);
        Figures {
            weighted_goodput,
            wasted_prefill: self.wasted as f64 / self.computed.max(1) as f64,
            fairness: self.fairness(),
            top_tier_shed_while_lower_ran: self.top_tier_shed_while_lower_ran,
            tiers,
        }
    }

    fn tier(&self, tier: usize) -> TierFigures {
        let ends = &self.ends[tier];
        let p95_ms =
            |histogram: &Histogram<u64>| histogram.value_at_quantile(0.95) as f64 / 1_000.0;
        TierFigures {
            offered: ends.iter().sum(),
            in_time: ends[RequestOutcome::InTime as usize],
            shed: ends[RequestOutcome::Shed as usize],
            preempted: ends[RequestOutcome::Preempted as usize],
            late: ends[RequestOutcome::Late as usize],
            first_token_p95_ms: p95_ms(&self.first_token[tier]),
            between_tokens_p95_ms: p95_ms(&self.between_tokens[tier]),
        }
    }

    fn fairness(&self) -> f64 {
        let asked = self.customers.iter().filter(|(asked, _)| *asked > 0);
        let shares: Vec<f64> =
            asked.map(|(asked, served)| *served as f64 / *asked as f64).collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        if squares == 0.0 { 1.0 } else { sum * sum / (shares.len() as f64 * squares) }
    }
}

fn histograms() -> Vec<Histogram<u64>> {
    let one = || Histogram::new_with_bounds(1, LONGEST_US, 3).expect("bounds are constant");
    (0..TIER_COUNT).map(|_| one()).collect()
}
