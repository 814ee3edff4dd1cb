//! Generated replay cells and the table of their figures.

use std::time::Duration;

use agent::core::AgentRules;
use anyhow::Result;
use replay::generate::{Deployment, Disturbance, generate};
use replay::{Figures, Options, Policy, Trace, replay};
use schedule::placement::PlacementRules;
use serde_json::json;

/// A replay cell: a trace, and the age of the load reports that the policies see.
pub(super) struct Cell {
    pub(super) name: String,
    pub(super) trace: Trace,
    pub(super) report_age: Duration,
}

impl Cell {
    /// Returns the options of a replay with this project's scheduler and all rules enabled.
    pub(super) fn scheduler_options(&self, entries: usize, seed: u64) -> Options {
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

/// Load, disturbance and age of the load reports of a generated cell.
struct CellSpec {
    name: &'static str,
    load: f64,
    disturbance: Disturbance,
    report_age_s: u64,
}

const CELL_SPECS: [CellSpec; 11] = [
    cell_spec("0.7", 0.7, Disturbance::None, 1),
    cell_spec("1.0", 1.0, Disturbance::None, 1),
    cell_spec("1.5", 1.5, Disturbance::None, 1),
    cell_spec("2.0", 2.0, Disturbance::None, 1),
    cell_spec("1.0-age5", 1.0, Disturbance::None, 5),
    cell_spec("1.0-age10", 1.0, Disturbance::None, 10),
    cell_spec("0.7-burst", 0.7, Disturbance::Burst, 1),
    cell_spec("0.7-straggler", 0.7, Disturbance::Straggler, 1),
    cell_spec("2.0-burst", 2.0, Disturbance::Burst, 1),
    cell_spec("2.0-long-answers", 2.0, Disturbance::LongResponses, 1),
    cell_spec("0.7-zone-lost", 0.7, Disturbance::ZoneLost, 1),
];

const DEPLOYMENTS: [(&str, Deployment); 2] =
    [("association", Deployment::Association), ("regie", Deployment::Regie)];

const fn cell_spec(
    name: &'static str,
    load: f64,
    disturbance: Disturbance,
    report_age_s: u64,
) -> CellSpec {
    CellSpec { name, load, disturbance, report_age_s }
}

/// Generates the cells whose names contain `only`.
pub(super) fn generate_cells(only: &str, duration_s: u32, seed: u64) -> Vec<Cell> {
    let mut cells = Vec::new();
    for (deployment_name, deployment) in DEPLOYMENTS {
        for spec in &CELL_SPECS {
            let name = format!("{deployment_name}-{}", spec.name);
            if name.contains(only) {
                let trace = generate(deployment, spec.load, spec.disturbance, duration_s, seed);
                let report_age = Duration::from_secs(spec.report_age_s);
                cells.push(Cell { name, trace, report_age });
            }
        }
    }
    cells
}

/// Generates all cells and returns the one with this name.
pub(super) fn find_cell(name: &str, duration_s: u32, seed: u64) -> Option<Cell> {
    generate_cells(name, duration_s, seed).into_iter().find(|cell| cell.name == name)
}

/// Replays every cell with every policy and prints the figures.
pub(super) fn print_figures(
    cells: &[Cell],
    entries: usize,
    seed: u64,
    baseline_agents: AgentRules,
    json: bool,
) -> Result<()> {
    if !json {
        println!("{TABLE_HEADER}");
    }
    for cell in cells {
        for (policy, figures) in replay_policies(cell, entries, seed, baseline_agents) {
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

/// Replays a cell with each policy, one thread per policy. Each replay is deterministic on its own.
fn replay_policies(
    cell: &Cell,
    entries: usize,
    seed: u64,
    baseline_agents: AgentRules,
) -> Vec<(Policy, Figures)> {
    let replay_policy = |policy| {
        let agent_rules = match policy {
            Policy::Scheduler => AgentRules::default(),
            _ => baseline_agents,
        };
        let options = Options { policy, agent_rules, ..cell.scheduler_options(entries, seed) };
        (policy, replay(&cell.trace, options))
    };
    std::thread::scope(|scope| {
        let threads = Policy::ALL.map(|policy| scope.spawn(move || replay_policy(policy)));
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    })
}

const TABLE_HEADER: &str = "\
| cell | policy | weighted goodput | wasted prefill | in time t0 t1 t2 t3 % | shed t0 t1 t2 t3 | preempted | t0 first p95 ms | t0 between p95 ms | fairness | t0 shed while lower ran |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

fn print_row(cell: &str, policy: &str, figures: &Figures) {
    let tiers = &figures.tiers;
    let join = |values: Vec<String>| values.join(" ");
    let percentage = |in_time: u64, offered: u64| 100.0 * in_time as f64 / offered.max(1) as f64;
    let in_time = join(
        tiers.iter().map(|tier| format!("{:.1}", percentage(tier.in_time, tier.offered))).collect(),
    );
    let shed = join(tiers.iter().map(|tier| tier.shed.to_string()).collect());
    let preempted: u64 = tiers.iter().map(|tier| tier.preempted).sum();
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
