//! The replay itself: repeatable, and its traces survive their file form.

use std::time::Duration;

use agent::core::AgentRules;
use replay::generate::{Deployment, Trouble, generate};
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
    let trace = generate(Deployment::Regie, 1.5, Trouble::ZoneLost, 20, SEED);
    for policy in Policy::ALL {
        let figures = || format!("{:?}", replay(&trace, options(policy)));
        assert_eq!(figures(), figures(), "{}", policy.name());
    }
}

#[test]
fn every_request_ends_exactly_once() {
    let trace = generate(Deployment::Association, 2.0, Trouble::ZoneLost, 20, SEED);
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
    let trace = generate(Deployment::Regie, 0.7, Trouble::Straggler, 5, SEED);
    let mut file = Vec::new();
    trace.write(&mut file).expect("written");
    assert_eq!(Trace::read(file.as_slice()).expect("read"), trace);
}
