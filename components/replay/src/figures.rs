//! Figures of a replay: outcomes, latencies, goodput and fairness.

use hdrhistogram::Histogram;
use identity::TIER_COUNT;
use serde::Serialize;

/// Weight of one response of each tier in the weighted goodput.
const TIER_WEIGHTS: [f64; TIER_COUNT] = [8.0, 4.0, 2.0, 1.0];

/// Largest number of customers in a trace.
pub(crate) const MAX_CUSTOMERS: usize = 5;

/// Upper bound of the latency histograms: an hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Completed before its deadline.
    InTime,
    /// Cancelled at its deadline while it ran, or lost with its upstream.
    Late,
    /// Refused before it ran, or not started by its deadline.
    Shed,
    /// Cancelled or rejected in favour of a higher tier.
    Preempted,
}

/// Figures of one tier.
#[derive(Debug, Clone, Serialize)]
pub struct TierFigures {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that completed before their deadline.
    pub in_time: u64,
    /// Requests that were refused, or not started by their deadline.
    pub shed: u64,
    /// Requests that were cancelled or rejected in favour of a higher tier.
    pub preempted: u64,
    /// Requests that were cancelled at their deadline while they ran, or lost with their upstream.
    pub late: u64,
    /// Time from arrival to the first token, 95th percentile.
    pub first_token_p95_ms: f64,
    /// Time between two tokens, 95th percentile.
    pub between_tokens_p95_ms: f64,
}

/// All figures of one replay.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Figures by tier, the highest first.
    pub tiers: Vec<TierFigures>,
    /// Share of requests that completed in time, weighted by tier.
    pub weighted_goodput: f64,
    /// Share of computed prompt tokens that were discarded or had been computed before.
    pub wasted_prefill: f64,
    /// Jain's fairness index over each customer's share of requests that completed in time.
    pub fairness: f64,
    /// Requests of the highest tier that were shed while lower tiers ran on the same upstream.
    pub top_tier_shed_while_lower_ran: u64,
}

/// Collects the counts and latencies that the figures are computed from.
#[derive(Debug)]
pub(crate) struct Recorder {
    /// Requests by tier and outcome.
    outcomes: [[u64; 4]; TIER_COUNT],
    /// Time from arrival to the first token, by tier.
    first_token_us: Vec<Histogram<u64>>,
    /// Time between two tokens, by tier.
    token_gap_us: Vec<Histogram<u64>>,
    /// Requests that ended and that completed in time, by customer.
    customers: [(u64, u64); MAX_CUSTOMERS],
    pub(crate) computed_prefill_tokens: u64,
    pub(crate) wasted_prefill_tokens: u64,
    pub(crate) top_tier_shed_while_lower_ran: u64,
}

impl Recorder {
    pub(crate) fn new() -> Recorder {
        Recorder {
            outcomes: [[0; 4]; TIER_COUNT],
            first_token_us: new_histograms(),
            token_gap_us: new_histograms(),
            customers: [(0, 0); MAX_CUSTOMERS],
            computed_prefill_tokens: 0,
            wasted_prefill_tokens: 0,
            top_tier_shed_while_lower_ran: 0,
        }
    }

    pub(crate) fn record_outcome(&mut self, tier: u8, customer: u8, outcome: RequestOutcome) {
        self.outcomes[usize::from(tier)][outcome as usize] += 1;
        let (ended, in_time) = &mut self.customers[usize::from(customer)];
        *ended += 1;
        *in_time += u64::from(outcome == RequestOutcome::InTime);
    }

    pub(crate) fn record_first_token(&mut self, tier: u8, us: u64) {
        self.first_token_us[usize::from(tier)].saturating_record(us);
    }

    pub(crate) fn record_token_gap(&mut self, tier: u8, us: u64) {
        self.token_gap_us[usize::from(tier)].saturating_record(us);
    }

    pub(crate) fn compute_figures(&self) -> Figures {
        let tiers: Vec<TierFigures> = (0..TIER_COUNT).map(|tier| self.tier_figures(tier)).collect();
        let weighted_sum = |count: fn(&TierFigures) -> u64| -> f64 {
            let pairs = tiers.iter().zip(TIER_WEIGHTS);
            pairs.map(|(tier, weight)| count(tier) as f64 * weight).sum()
        };
        let weighted_goodput =
            weighted_sum(|tier| tier.in_time) / weighted_sum(|tier| tier.offered).max(1.0);
        Figures {
            weighted_goodput,
            wasted_prefill: self.wasted_prefill_tokens as f64
                / self.computed_prefill_tokens.max(1) as f64,
            fairness: self.fairness_index(),
            top_tier_shed_while_lower_ran: self.top_tier_shed_while_lower_ran,
            tiers,
        }
    }

    fn tier_figures(&self, tier: usize) -> TierFigures {
        let outcomes = &self.outcomes[tier];
        let p95_ms =
            |histogram: &Histogram<u64>| histogram.value_at_quantile(0.95) as f64 / 1_000.0;
        TierFigures {
            offered: outcomes.iter().sum(),
            in_time: outcomes[RequestOutcome::InTime as usize],
            shed: outcomes[RequestOutcome::Shed as usize],
            preempted: outcomes[RequestOutcome::Preempted as usize],
            late: outcomes[RequestOutcome::Late as usize],
            first_token_p95_ms: p95_ms(&self.first_token_us[tier]),
            between_tokens_p95_ms: p95_ms(&self.token_gap_us[tier]),
        }
    }

    fn fairness_index(&self) -> f64 {
        let active = self.customers.iter().filter(|(ended, _)| *ended > 0);
        let shares: Vec<f64> =
            active.map(|(ended, in_time)| *in_time as f64 / *ended as f64).collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        if squares == 0.0 { 1.0 } else { sum * sum / (shares.len() as f64 * squares) }
    }
}

fn new_histograms() -> Vec<Histogram<u64>> {
    let new_histogram =
        || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid");
    (0..TIER_COUNT).map(|_| new_histogram()).collect()
}
