//! A customer's allowance holds over all entries, and is used up.

use std::time::{Duration, Instant};

use gateway::allowance::{Allowances, Grant, Tolerance, cost};
use gateway::model::{Allowance, AllowanceUnit, RequestFacts};

const CUSTOMER: u32 = 7;
const WINDOW: Duration = Duration::from_secs(8);
const TOLERANCE: Tolerance = Tolerance { window: WINDOW, slack: 140_000.0 };
const OVERSHOOT: f64 = 0.1;
const ALLOWANCE: Allowance = Allowance {
    unit: AllowanceUnit::Tokens { plain_tokens: 200 },
    per_second: 280_000.0,
    burst: 280_000.0,
};
const STEP: Duration = Duration::from_millis(10);

/// The operators' bound on any window.
fn bound() -> f64 {
    let base = ALLOWANCE.per_second * WINDOW.as_secs_f64() + ALLOWANCE.burst;
    base * (1.0 + OVERSHOOT) + TOLERANCE.slack
}

/// Grants by step: every entry asks for `demand` units a second in requests of `size`, and hears of
/// the others every `digest` steps. `restart` empties an entry's memory.
fn play(entries: usize, demand: f64, size: f64, digest: usize, restart: Option<usize>) -> Vec<f64> {
    let start = Instant::now();
    let mut all: Vec<Allowances> = (0..entries).map(|_| Allowances::default()).collect();
    let mut ids: Vec<u64> = (0..entries as u64).collect();
    let mut asked = vec![0.0; entries];
    let mut granted = Vec::new();
    for step in 0..3_000_usize {
        let now = start + STEP * step as u32;
        if restart == Some(step) {
            all[0] = Allowances::default();
            ids[0] = 1_000;
        }
        let mut sum = 0.0;
        for (entry, allowances) in all.iter_mut().enumerate() {
            asked[entry] += demand / entries as f64 * STEP.as_secs_f64();
            while asked[entry] >= size {
                asked[entry] -= size;
                if allowances.take(CUSTOMER, ALLOWANCE, size, TOLERANCE, now) == Grant::Granted {
                    sum += size;
                }
            }
        }
        granted.push(sum);
        if step % digest == 0 {
            exchange(&mut all, &ids, now);
        }
    }
    granted
}

fn exchange(all: &mut [Allowances], ids: &[u64], now: Instant) {
    let told: Vec<Vec<_>> = all.iter().map(|allowances| allowances.granted().collect()).collect();
    for (entry, allowances) in all.iter_mut().enumerate() {
        for (peer, granted) in told.iter().enumerate().filter(|(peer, _)| *peer != entry) {
            allowances.hear_peer(ids[peer], granted, now);
        }
    }
}

fn most_in_a_window(granted: &[f64]) -> f64 {
    let steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
    granted.windows(steps).map(|window| window.iter().sum()).fold(0.0, f64::max)
}

#[test]
fn no_window_exceeds_the_bound_whatever_is_asked() {
    for (entries, digest) in [(1, 10), (4, 10), (6, 2), (30, 20)] {
        for demand in [1.0, 2.0, 6.0] {
            let granted = play(entries, demand * ALLOWANCE.per_second, 5_000.0, digest, None);
            let most = most_in_a_window(&granted);
            assert!(most <= bound(), "{entries} entries at {demand}: {most} of {}", bound());
        }
    }
}

#[test]
fn a_restarted_entry_does_not_hand_out_what_others_have_granted() {
    let granted = play(4, 6.0 * ALLOWANCE.per_second, 5_000.0, 10, Some(1_000));
    assert!(most_in_a_window(&granted) <= bound());
}

#[test]
fn what_is_allowed_is_granted_in_a_shortage() {
    for entries in [1, 4, 6] {
        let granted = play(entries, 2.0 * ALLOWANCE.per_second, 5_000.0, 10, None);
        let total: f64 = granted[500..].iter().sum();
        let seconds = (granted.len() - 500) as f64 * STEP.as_secs_f64();
        let share = total / (ALLOWANCE.per_second * seconds);
        assert!(share >= 0.95, "{entries} entries: {share}");
    }
}

#[test]
fn large_requests_are_granted_in_a_shortage_too() {
    let granted = play(4, 2.0 * ALLOWANCE.per_second, 30_000.0, 10, None);
    let total: f64 = granted[500..].iter().sum();
    let seconds = (granted.len() - 500) as f64 * STEP.as_secs_f64();
    assert!(total >= 0.8 * ALLOWANCE.per_second * seconds, "{total}");
}

#[test]
fn what_is_given_back_can_be_granted_again() {
    let now = Instant::now();
    let mut allowances = Allowances::default();
    let take =
        |allowances: &mut Allowances| allowances.take(CUSTOMER, ALLOWANCE, 5_000.0, TOLERANCE, now);
    while take(&mut allowances) == Grant::Granted {}
    assert_ne!(take(&mut allowances), Grant::Granted);
    allowances.give_back(CUSTOMER, ALLOWANCE.burst / 2.0);
    assert_eq!(take(&mut allowances), Grant::Granted);
}

#[test]
fn a_request_costs_its_tokens_or_the_plain_ones() {
    let tokens = AllowanceUnit::Tokens { plain_tokens: 200 };
    let model = RequestFacts {
        prompt_tokens: Some(1_460),
        max_output_tokens: 80,
        ..RequestFacts::default()
    };
    assert_eq!(cost(tokens, &model), 1_540.0);
    assert_eq!(cost(tokens, &RequestFacts::default()), 200.0);
    assert_eq!(cost(AllowanceUnit::Requests, &model), 1.0);
}

#[test]
fn entries_that_start_together_do_not_each_grant_the_whole_allowance() {
    let entries = 27;
    let start = Instant::now();
    let mut all: Vec<Allowances> = (0..entries).map(|_| Allowances::default()).collect();
    for (own, allowances) in all.iter_mut().enumerate() {
        (0..entries).filter(|peer| *peer != own).for_each(|peer| {
            allowances.expect_peer(peer as u64, start);
        });
    }
    let mut granted = 0.0;
    for step in 0..100 {
        let now = start + STEP * step;
        for allowances in &mut all {
            let size = 5_000.0;
            if allowances.take(CUSTOMER, ALLOWANCE, size, TOLERANCE, now) == Grant::Granted {
                granted += size;
            }
        }
    }
    let second = ALLOWANCE.per_second + ALLOWANCE.burst;
    let overdrafts = entries as f64 * 5_000.0;
    assert!(granted <= second + overdrafts, "{granted} in a second");
}
