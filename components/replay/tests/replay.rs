//! The replay itself: repeatable, and its traces survive their file form.

use std::time::Duration;

use agent::core::AgentRules;
use replay::generate::{Deployment, Disturbance, generate};
use replay::{Options, Policy, Trace, replay};
use schedule::placement::PlacementRules;

const SEED: u64 = 7;

fn options(policy: Policy) -> Options {
    Options {
        policy,
        report_age: Duration::from_secs(1),
        entries: 3,
        placement_rules: PlacementRules::default(),
        agent_rules: AgentRules::default(),
        seed: SEED,
    }
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let trace = generate(Deployment::Regie, 1.5, Disturbance::ZoneLost, 20, SEED);
    for policy in Policy::ALL {
        let figures = || format!("{:?}", replay(&trace, options(policy)));
        assert_eq!(figures(), figures(), "{}", policy.name());
    }
}

#[test]
fn every_request_ends_exactly_once() {
    let trace = generate(Deployment::Association, 2.0, Disturbance::ZoneLost, 20, SEED);
    for policy in Policy::ALL {
        let figures = replay(&trace, options(policy));
        for tier in &figures.tiers {
            let ended = tier.in_time + tier.shed + tier.preempted + tier.late;
            assert_eq!(ended, tier.offered, "{}", policy.name());
        }
        let offered: u64 = figures.tiers.iter().map(|tier| tier.offered).sum();
        assert_eq!(offered, trace.requests.len() as u64, "{}", policy.name());
    }
}

#[test]
fn a_trace_reads_as_it_was_written() {
    let trace = generate(Deployment::Regie, 0.7, Disturbance::Straggler, 5, SEED);
    let mut file = Vec::new();
    trace.write(&mut file).expect("written");
    assert_eq!(Trace::read(file.as_slice()).expect("read"), trace);
}

/// The users' targets for the highest tier.
const FIRST_TOKEN_TARGET_MS: f64 = 980.0;
const BETWEEN_TOKENS_TARGET_MS: f64 = 60.0;

#[test]
fn the_highest_tier_keeps_its_targets_at_twice_capacity() {
    for deployment in [Deployment::Association, Deployment::Regie] {
        let trace = generate(deployment, 2.0, Disturbance::None, 20, SEED);
        let figures = replay(&trace, options(Policy::Scheduler));
        let top = &figures.tiers[0];
        assert!(top.first_token_p95_ms <= FIRST_TOKEN_TARGET_MS, "{top:?}");
        assert!(top.between_tokens_p95_ms <= BETWEEN_TOKENS_TARGET_MS, "{top:?}");
        assert_eq!(figures.top_tier_shed_while_lower_ran, 0);
    }
}

#[test]
fn the_scheduler_is_ahead_of_every_baseline_at_twice_capacity() {
    let trace = generate(Deployment::Regie, 2.0, Disturbance::None, 20, SEED);
    let own = replay(&trace, options(Policy::Scheduler));
    for policy in Policy::ALL.into_iter().filter(|policy| *policy != Policy::Scheduler) {
        let plain = Options { agent_rules: AgentRules::OFF, ..options(policy) };
        let baseline = replay(&trace, plain);
        assert!(own.weighted_goodput > baseline.weighted_goodput, "{}", policy.name());
        assert!(own.wasted_prefill < baseline.wasted_prefill, "{}", policy.name());
    }
}
