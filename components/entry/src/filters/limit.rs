//! Filter that limits the request rate of each customer with a token bucket.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use errors::{Refusal, ResultCode};
use identity::CustomerId;
use schedule::retry::jitter_retry_after;

use super::{Filter, FilterContext, FilterDecision};

/// Size of a bucket, as seconds of the customer's rate: the burst that a customer may send at once.
const BURST_SECONDS: f64 = 2.0;

/// Filter that limits the request rate of each customer.
#[derive(Debug, Default)]
pub struct RateLimit {
    buckets: Mutex<HashMap<CustomerId, TokenBucket>>,
}

/// Token bucket of one customer; each request takes one token.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl Filter for RateLimit {
    fn name(&self) -> &'static str {
        "limit"
    }

    fn apply(&self, context: &mut FilterContext<'_>) -> FilterDecision {
        let document = &context.view.configuration.document;
        let Some(name) = &context.customer else { return FilterDecision::Continue };
        let Some(customer) = document.customers.get(name) else { return FilterDecision::Continue };
        let rate = f64::from(customer.requests_per_s);
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets.entry(name.clone()).or_insert_with(|| TokenBucket {
            tokens: rate * BURST_SECONDS,
            refilled_at: context.now,
        });
        match bucket.acquire_token(rate, context.now) {
            Ok(()) => FilterDecision::Continue,
            Err(wait) => {
                let refusal = Refusal::not_run(ResultCode::LimitReached);
                // The caller retries no earlier than a token is available. The jitter keeps callers
                // from retrying all at the same moment.
                let id = context.key.as_ref().map_or("", |key| key.request_id.as_str());
                FilterDecision::Reject(
                    refusal.with_retry_after(wait + jitter_retry_after(wait, id)),
                )
            }
        }
    }
}

impl TokenBucket {
    /// Acquires a token, or returns the time until one is available.
    fn acquire_token(&mut self, rate: f64, now: Instant) -> Result<(), Duration> {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * rate).min(rate * BURST_SECONDS);
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / rate))
    }
}
