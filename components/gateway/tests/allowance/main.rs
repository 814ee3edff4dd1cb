//! Customers' allowances: over all gateways no window exceeds the bound, and the allowance can be
//! used in full.

mod buckets;
mod fleet;

use std::time::Duration;

use gateway::allowance::{BucketTerms, CreditRequest, CustomerId, Tolerance};
use gateway::model::{Allowance, AllowanceUnit};

const WINDOW: Duration = Duration::from_secs(8);
const TOLERANCE: Tolerance = Tolerance { window: WINDOW, slack: 140_000.0 };

const ALLOWANCE: Allowance = Allowance {
    unit: AllowanceUnit::Tokens { plain_tokens: 200 },
    per_second: 280_000.0,
    burst: 280_000.0,
};

/// Simulated time between two steps.
const STEP: Duration = Duration::from_millis(10);

fn customer() -> CustomerId {
    CustomerId::of("seller")
}

fn terms(share: f64) -> BucketTerms {
    BucketTerms { allowance: ALLOWANCE, tolerance: TOLERANCE, share, gateway_count: 30 }
}

fn request_of(needed: f64) -> CreditRequest {
    CreditRequest { customer: customer(), number: 1, needed, prefetch: 0.0, unreported: 0.0 }
}
