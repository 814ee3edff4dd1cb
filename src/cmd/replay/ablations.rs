//! Table of the effect of disabling each scheduling rule.

use replay::{Figures, Options, replay};

use super::cells::Cell;

/// Disables one rule in the options of a replay.
type DisableRule = fn(&mut Options);

const ABLATIONS: [(&str, DisableRule); 9] = [
    ("none off", |_| {}),
    ("correct_reports", |options| options.placement_rules.correct_reports = false),
    ("stragglers", |options| options.placement_rules.stragglers = false),
    ("spread", |options| options.placement_rules.spread = false),
    ("prefix_home", |options| options.placement_rules.prefix_home = false),
    ("preempt", |options| options.agent_rules.preempt = false),
    ("single_prefill", |options| options.agent_rules.single_prefill = false),
    ("adapt_limit", |options| options.agent_rules.adapt_limit = false),
    ("drop_hopeless", |options| options.agent_rules.drop_hopeless = false),
];

const TABLE_HEADER: &str = "\
| rule off | mean weighted goodput | mean wasted prefill | worst cell | its change | t0 first p95 ms, worst | t0 between p95 ms, worst | t0 shed while lower ran |
| --- | --- | --- | --- | --- | --- | --- | --- |";

/// Replays every cell with each rule disabled in turn and prints one row per rule.
pub(super) fn print_ablations(cells: &[Cell], entries: usize, seed: u64) {
    println!("{TABLE_HEADER}");
    let rows: Vec<Vec<Figures>> = std::thread::scope(|scope| {
        let threads = ABLATIONS.map(|(_, disable_rule)| {
            scope.spawn(move || replay_cells(cells, entries, seed, disable_rule))
        });
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    });
    for ((name, _), figures) in ABLATIONS.iter().zip(&rows) {
        print_row(name, cells, &rows[0], figures);
    }
}

fn replay_cells(
    cells: &[Cell],
    entries: usize,
    seed: u64,
    disable_rule: DisableRule,
) -> Vec<Figures> {
    let replay_cell = |cell: &Cell| {
        let mut options = cell.scheduler_options(entries, seed);
        disable_rule(&mut options);
        replay(&cell.trace, options)
    };
    cells.iter().map(replay_cell).collect()
}

fn print_row(name: &str, cells: &[Cell], all_enabled: &[Figures], ablated: &[Figures]) {
    let mean = |value: fn(&Figures) -> f64| {
        ablated.iter().map(value).sum::<f64>() / ablated.len().max(1) as f64
    };
    let worst = |value: fn(&Figures) -> f64| ablated.iter().map(value).fold(0.0, f64::max);
    let changes =
        all_enabled.iter().zip(ablated).map(|(on, off)| off.weighted_goodput - on.weighted_goodput);
    let worst_change = cells.iter().zip(changes).min_by(|left, right| left.1.total_cmp(&right.1));
    let (cell, change) =
        worst_change.map_or(("", 0.0), |(cell, change)| (cell.name.as_str(), change));
    let shed: u64 = ablated.iter().map(|figures| figures.top_tier_shed_while_lower_ran).sum();
    println!(
        "| {name} | {:.4} | {:.4} | {cell} | {change:+.4} | {:.0} | {:.1} | {shed} |",
        mean(|figures| figures.weighted_goodput),
        mean(|figures| figures.wasted_prefill),
        worst(|figures| figures.tiers[0].first_token_p95_ms),
        worst(|figures| figures.tiers[0].between_tokens_p95_ms),
    );
}
