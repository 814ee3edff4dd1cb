//! Retries stay within the limit over all gateways.

use std::time::{Duration, Instant};

use gateway::retry_budget::{RetryBudget, RetryLimit};

const LIMIT: RetryLimit = RetryLimit { ratio: 0.2, window: Duration::from_secs(10), slack: 54.0 };

#[test]
fn all_gateways_together_stay_within_the_limit_in_any_window() {
    let start = Instant::now();
    let gateway_count = 4;
    let mut budgets: Vec<RetryBudget> =
        (0..gateway_count).map(|_| RetryBudget::new(LIMIT, start)).collect();
    let mut granted: Vec<(u64, u32)> = Vec::new();
    for step in 0..4_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        let mut retries = 0;
        for budget in &mut budgets {
            budget.record_request("models", now);
            retries += (0..3)
                .filter(|_| budget.try_acquire_retry("models", gateway_count, now))
                .count() as u32;
        }
        granted.push((step * 10, retries));
    }
    let requests_in_window = 4.0 * 1_000.0;
    let allowed = LIMIT.ratio * requests_in_window + LIMIT.slack;
    for window in granted.windows(1_000) {
        let retries: u32 = window.iter().map(|(_, retries)| retries).sum();
        assert!(f64::from(retries) <= allowed, "{retries} from {} ms", window[0].0);
    }
    assert!(
        granted.iter().map(|(_, retries)| retries).sum::<u32>() > 1_000,
        "some retries are granted"
    );
}

#[test]
fn a_service_without_requests_has_the_slack_only() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(LIMIT, start);
    let granted = (0..100).filter(|_| budget.try_acquire_retry("desk", 4, start)).count();
    assert!(granted > 0 && granted as f64 <= LIMIT.slack / 4.0, "{granted}");
}
