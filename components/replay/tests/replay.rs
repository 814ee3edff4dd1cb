//! Tests of the replay: determinism, accounting of outcomes, the trace file format, and the
//! scheduler's figures compared with targets and baselines.

use std::time::Duration;

use agent::core::AgentRules;
use replay::generate::{Deployment, Disturbance, generate};
use replay::{Options, Policy, Trace, replay};
use schedule::placement::PlacementRules;

const SEED: u64 = 7;

fn options_for(policy: Policy) -> Options {
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
fn figures_are_the_same_for_the_same_seed() {
    let trace = generate(Deployment::Regie, 1.5, Disturbance::ZoneLost, 20, SEED);
    for policy in Policy::ALL {
        let figures = || format!("{:?}", replay(&trace, options_for(policy)));
        assert_eq!(figures(), figures(), "{}", policy.name());
    }
}

#[test]
fn every_request_has_exactly_one_outcome() {
    let trace = generate(Deployment::Association, 2.0, Disturbance::ZoneLost, 20, SEED);
    for policy in Policy::ALL {
        let figures = replay(&trace, options_for(policy));
        for tier in &figures.tiers {
            let outcomes = tier.in_time + tier.shed + tier.preempted + tier.late;
            assert_eq!(outcomes, tier.offered, "{}", policy.name());
        }
        let offered: u64 = figures.tiers.iter().map(|tier| tier.offered).sum();
        assert_eq!(offered, trace.requests.len() as u64, "{}", policy.name());
    }
}

#[test]
fn trace_is_unchanged_after_writing_and_reading() {
    let trace = generate(Deployment::Regie, 0.7, Disturbance::Straggler, 5, SEED);
    let mut file = Vec::new();
    trace.write(&mut file).expect("written");
    assert_eq!(Trace::read(file.as_slice()).expect("read"), trace);
}

/// The users' latency targets for the highest tier, as 95th percentiles.
const FIRST_TOKEN_TARGET_MS: f64 = 980.0;
const BETWEEN_TOKENS_TARGET_MS: f64 = 60.0;

#[test]
fn highest_tier_meets_its_latency_targets_at_twice_the_capacity() {
    for deployment in [Deployment::Association, Deployment::Regie] {
        let trace = generate(deployment, 2.0, Disturbance::None, 20, SEED);
        let figures = replay(&trace, options_for(Policy::Scheduler));
        let top_tier = &figures.tiers[0];
        assert!(top_tier.first_token_p95_ms <= FIRST_TOKEN_TARGET_MS, "{top_tier:?}");
        assert!(top_tier.between_tokens_p95_ms <= BETWEEN_TOKENS_TARGET_MS, "{top_tier:?}");
        assert_eq!(figures.top_tier_shed_while_lower_ran, 0);
    }
}

#[test]
fn scheduler_outperforms_every_baseline_at_twice_the_capacity() {
    let trace = generate(Deployment::Regie, 2.0, Disturbance::None, 20, SEED);
    let scheduler = replay(&trace, options_for(Policy::Scheduler));
    for policy in Policy::ALL.into_iter().filter(|policy| *policy != Policy::Scheduler) {
        let baseline_options = Options { agent_rules: AgentRules::OFF, ..options_for(policy) };
        let baseline = replay(&trace, baseline_options);
        assert!(scheduler.weighted_goodput > baseline.weighted_goodput, "{}", policy.name());
        assert!(scheduler.wasted_prefill < baseline.wasted_prefill, "{}", policy.name());
    }
}
