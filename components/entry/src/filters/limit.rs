//! How much a customer may ask for: a token bucket for each customer.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use errors::{Refusal, ResultCode};
use identity::CustomerId;
use schedule::retry::jitter_retry_after;

use super::{Exchange, Filter, Step};

/// Seconds of its rate that a customer may use at once.
const BURST_S: f64 = 2.0;

/// Counts requests of customers.
#[derive(Debug, Default)]
pub struct Limit {
    buckets: Mutex<HashMap<CustomerId, Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    requests: f64,
    at: Instant,
}

impl Filter for Limit {
    fn name(&self) -> &'static str {
        "limit"
    }

    fn apply(&self, exchange: &mut Exchange<'_>) -> Step {
        let document = &exchange.view.configuration.document;
        let Some(name) = &exchange.customer else { return Step::Continue };
        let Some(customer) = document.customers.get(name) else { return Step::Continue };
        let rate = f64::from(customer.requests_per_s);
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets
            .entry(name.clone())
            .or_insert_with(|| Bucket { requests: rate * BURST_S, at: exchange.now });
        match bucket.take(rate, exchange.now) {
            Ok(()) => Step::Continue,
            Err(wait) => {
                let refusal = Refusal::not_run(ResultCode::LimitReached);
                // Never before there is room again, and not all at the same moment after it.
                let id = exchange.key.as_ref().map_or("", |key| key.request_id.as_str());
                Step::Reject(refusal.with_retry_after(wait + jitter_retry_after(wait, id)))
            }
        }
    }
}

impl Bucket {
    /// Takes one request, or says how long until there is one.
    fn take(&mut self, rate: f64, now: Instant) -> Result<(), Duration> {
        let elapsed_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.requests = (self.requests + elapsed_s * rate).min(rate * BURST_S);
        self.at = now;
        if self.requests >= 1.0 {
            self.requests -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.requests) / rate))
    }
}
