//! What each rule costs when it is switched off.

use replay::{Figures, Options, replay};

use super::cells::Cell;

type Switch = fn(&mut Options);

const RULES: [(&str, Switch); 9] = [
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

const HEAD: &str = "\
| rule off | mean weighted goodput | mean wasted prefill | worst cell | its change | t0 first p95 ms, worst | t0 between p95 ms, worst | t0 shed while lower ran |
| --- | --- | --- | --- | --- | --- | --- | --- |";

/// Replays every cell with each rule off in turn and prints one row a rule.
pub(super) fn print(cells: &[Cell], entries: usize, seed: u64) {
    println!("{HEAD}");
    let rows: Vec<Vec<Figures>> = std::thread::scope(|scope| {
        let running =
            RULES.map(|(_, switch)| scope.spawn(move || run(cells, entries, seed, switch)));
        running.into_iter().filter_map(|thread| thread.join().ok()).collect()
    });
    for ((name, _), row) in RULES.iter().zip(&rows) {
        print_row(name, cells, &rows[0], row);
    }
}

fn run(cells: &[Cell], entries: usize, seed: u64, switch: Switch) -> Vec<Figures> {
    let replay_cell = |cell: &Cell| {
        let mut options = cell.options(entries, seed);
        switch(&mut options);
        replay(&cell.trace, options)
    };
    cells.iter().map(replay_cell).collect()
}

fn print_row(name: &str, cells: &[Cell], all_on: &[Figures], off: &[Figures]) {
    let mean =
        |value: fn(&Figures) -> f64| off.iter().map(value).sum::<f64>() / off.len().max(1) as f64;
    let worst = |value: fn(&Figures) -> f64| off.iter().map(value).fold(0.0, f64::max);
    let changes =
        all_on.iter().zip(off).map(|(on, off)| off.weighted_goodput - on.weighted_goodput);
    let lowest = cells.iter().zip(changes).min_by(|one, other| one.1.total_cmp(&other.1));
    let (cell, change) = lowest.map_or(("", 0.0), |(cell, change)| (cell.name.as_str(), change));
    let shed: u64 = off.iter().map(|figures| figures.top_tier_shed_while_lower_ran).sum();
    println!(
        "| {name} | {:.4} | {:.4} | {cell} | {change:+.4} | {:.0} | {:.1} | {shed} |",
        mean(|figures| figures.weighted_goodput),
        mean(|figures| figures.wasted_prefill),
        worst(|figures| figures.tiers[0].first_token_p95_ms),
        worst(|figures| figures.tiers[0].between_tokens_p95_ms),
    );
}
