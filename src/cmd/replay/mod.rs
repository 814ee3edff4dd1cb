//! `dragonflyfront-replay`: replays traces with each placement policy and prints tables of figures.

mod ablations;
mod cells;

use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::PathBuf;
use std::time::Duration;

use agent::core::AgentRules;
use anyhow::{Context, Result};
use pico_args::Arguments;
use replay::Trace;

use cells::{Cell, find_cell, generate_cells};

const HELP: &str = "\
dragonflyfront-replay: replays traces with each placement policy

usage: dragonflyfront-replay FILE [--report-age-s N] [--entries N] [--seed N] [--json]
       dragonflyfront-replay --cells [--only TEXT] [--duration-s N] [--seed N] [--json | --ablations | --own-agents]
       dragonflyfront-replay --write CELL FILE [--duration-s N] [--seed N]

--cells replays the generated cells: combinations of deployment, load, disturbance and report age.
--write writes the trace of one cell to a file. --ablations disables each rule in turn.
--own-agents enables this project's agent rules for the baseline policies too.

example: dragonflyfront-replay --cells --only regie --duration-s 60 --seed 1";

/// Runs the program.
pub fn main(mut arguments: Arguments) -> Result<()> {
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let json = arguments.contains("--json");
    let own_agents = arguments.contains("--own-agents");
    let baseline_agents = if own_agents { AgentRules::default() } else { AgentRules::OFF };
    let run_ablations = arguments.contains("--ablations");
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let duration_s = arguments.opt_value_from_str("--duration-s")?.unwrap_or(60);
    let only: String = arguments.opt_value_from_str("--only")?.unwrap_or_default();
    let age_s = arguments.opt_value_from_str("--report-age-s")?.unwrap_or(1);
    let entries = arguments.opt_value_from_str("--entries")?.unwrap_or(3);
    if arguments.contains("--write") {
        return write_cell(&mut arguments, duration_s, seed);
    }
    let selected_cells = if arguments.contains("--cells") {
        generate_cells(&only, duration_s, seed)
    } else {
        let file: PathBuf = arguments.free_from_str().context("see --help")?;
        let name = file.display().to_string();
        let trace = Trace::read(BufReader::new(File::open(&file).with_context(|| name.clone())?))?;
        vec![Cell { name, trace, report_age: Duration::from_secs(age_s) }]
    };
    let unknown = arguments.finish();
    anyhow::ensure!(unknown.is_empty(), "unknown arguments: {unknown:?}; see --help");
    anyhow::ensure!(entries > 0, "--entries: given 0, allowed 1 or more");
    if run_ablations {
        ablations::print_ablations(&selected_cells, entries, seed);
        return Ok(());
    }
    cells::print_figures(&selected_cells, entries, seed, baseline_agents, json)
}

fn write_cell(arguments: &mut Arguments, duration_s: u32, seed: u64) -> Result<()> {
    let name: String = arguments.free_from_str().context("see --help")?;
    let file: PathBuf = arguments.free_from_str().context("see --help")?;
    let cell =
        find_cell(&name, duration_s, seed).with_context(|| format!("{name}: no such cell"))?;
    cell.trace.write(BufWriter::new(File::create(file)?))
}
