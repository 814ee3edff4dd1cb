//! The generated cells, and the tables of their figures.

use std::time::Duration;

use agent::core::AgentRules;
use anyhow::Result;
use replay::generate::{Deployment, Disturbance, generate};
use replay::{Figures, Options, Policy, Trace, replay};
use schedule::placement::PlacementRules;
use serde_json::json;

/// A trace with the age of the load reports.
pub(super) struct Cell {
    pub(super) name: String,
    pub(super) trace: Trace,
    pub(super) report_age: Duration,
}

impl Cell {
    /// The product with every rule on.
    pub(super) fn options(&self, entries: usize, seed: u64) -> Options {
        Options {
            policy: Policy::Scheduler,
            report_age: self.report_age,
            entries,
            placement_rules: PlacementRules::default(),
            agent_rules: AgentRules::default(),
            seed,
        }
    }
}

struct Shape {
    name: &'static str,
    load: f64,
    disturbance: Disturbance,
    report_age_s: u64,
}

const SHAPES: [Shape; 11] = [
    shape("0.7", 0.7, Disturbance::None, 1),
    shape("1.0", 1.0, Disturbance::None, 1),
    shape("1.5", 1.5, Disturbance::None, 1),
    shape("2.0", 2.0, Disturbance::None, 1),
    shape("1.0-age5", 1.0, Disturbance::None, 5),
    shape("1.0-age10", 1.0, Disturbance::None, 10),
    shape("0.7-burst", 0.7, Disturbance::Burst, 1),
    shape("0.7-straggler", 0.7, Disturbance::Straggler, 1),
    shape("2.0-burst", 2.0, Disturbance::Burst, 1),
    shape("2.0-long-answers", 2.0, Disturbance::LongResponses, 1),
    shape("0.7-zone-lost", 0.7, Disturbance::ZoneLost, 1),
];

const DEPLOYMENTS: [(&str, Deployment); 2] =
    [("association", Deployment::Association), ("regie", Deployment::Regie)];

const fn shape(
    name: &'static str,
    load: f64,
    disturbance: Disturbance,
    report_age_s: u64,
) -> Shape {
    Shape { name, load, disturbance, report_age_s }
}

/// The cells whose names contain `only`.
pub(super) fn cells(only: &str, duration_s: u32, seed: u64) -> Vec<Cell> {
    let mut cells = Vec::new();
    for (deployment_name, deployment) in DEPLOYMENTS {
        for shape in &SHAPES {
            let name = format!("{deployment_name}-{}", shape.name);
            if name.contains(only) {
                let trace = generate(deployment, shape.load, shape.disturbance, duration_s, seed);
                let report_age = Duration::from_secs(shape.report_age_s);
                cells.push(Cell { name, trace, report_age });
            }
        }
    }
    cells
}

/// The cell of that name.
pub(super) fn draw(name: &str, duration_s: u32, seed: u64) -> Option<Cell> {
    cells(name, duration_s, seed).into_iter().find(|cell| cell.name == name)
}

/// Replays every policy on every cell and prints the figures.
pub(super) fn print(
    cells: &[Cell],
    entries: usize,
    seed: u64,
    baseline_agents: AgentRules,
    json: bool,
) -> Result<()> {
    if !json {
        println!("{HEAD}");
    }
    for cell in cells {
        for (policy, figures) in replay_all(cell, entries, seed, baseline_agents) {
            if json {
                println!(
                    "{}",
                    json!({ "cell": cell.name, "policy": policy.name(), "figures": figures })
                );
            } else {
                print_row(&cell.name, policy.name(), &figures);
            }
        }
    }
    Ok(())
}

/// One thread for each policy; each replay is deterministic by itself.
fn replay_all(
    cell: &Cell,
    entries: usize,
    seed: u64,
    baseline_agents: AgentRules,
) -> Vec<(Policy, Figures)> {
    let run = |policy| {
        let agent_rules = match policy {
            Policy::Scheduler => AgentRules::default(),
            _ => baseline_agents,
        };
        let options = Options { policy, agent_rules, ..cell.options(entries, seed) };
        (policy, replay(&cell.trace, options))
    };
    std::thread::scope(|scope| {
        let running = Policy::ALL.map(|policy| scope.spawn(move || run(policy)));
        running.into_iter().filter_map(|thread| thread.join().ok()).collect()
    })
}

const HEAD: &str = "\
| cell | policy | weighted goodput | wasted prefill | in time t0 t1 t2 t3 % | shed t0 t1 t2 t3 | preempted | t0 first p95 ms | t0 between p95 ms | fairness | t0 shed while lower ran |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

fn print_row(cell: &str, policy: &str, figures: &Figures) {
    let tiers = &figures.tiers;
    let join = |values: Vec<String>| values.join(" ");
    let share = |in_time: u64, offered: u64| 100.0 * in_time as f64 / offered.max(1) as f64;
    let in_time =
        join(tiers.iter().map(|t| format!("{:.1}", share(t.in_time, t.offered))).collect());
    let shed = join(tiers.iter().map(|t| t.shed.to_string()).collect());
    let preempted: u64 = tiers.iter().map(|t| t.preempted).sum();
    println!(
        "| {cell} | {policy} | {:.4} | {:.4} | {in_time} | {shed} | {preempted} | {:.0} | {:.1} | {:.3} | {} |",
        figures.weighted_goodput,
        figures.wasted_prefill,
        tiers[0].first_token_p95_ms,
        tiers[0].between_tokens_p95_ms,
        figures.fairness,
        figures.top_tier_shed_while_lower_ran,
    );
}
