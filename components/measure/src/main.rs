//! Measures the slopes that `docs/CAPACITY.md` is worked out from; build it with `--release`.

mod dispatches;
mod events;
mod path;
mod process;
mod snapshot;

use std::process::ExitCode;

use anyhow::{Result, bail};
use pico_args::Arguments;

const HELP: &str = "\
measure: slopes for docs/CAPACITY.md

usage: measure snapshot --customers N    configuration in force: bytes, memory, time
       measure transcripts --requests N  agent's core: memory and time
       measure events                    messages between agent and entry: bytes of each kind
       measure path --tokens N --calls N what entry and agent add, and their processor time

example: cargo run --release -p measure -- snapshot --customers 15000";

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut arguments: Arguments) -> Result<()> {
    match arguments.subcommand()?.as_deref() {
        Some("snapshot") => snapshot::measure(arguments.value_from_str("--customers")?),
        Some("transcripts") => dispatches::measure(arguments.value_from_str("--requests")?),
        Some("path") => path::measure(
            arguments.value_from_str("--tokens")?,
            arguments.value_from_str("--calls")?,
        ),
        Some("events") => events::measure(),
        Some(other) => bail!("unknown measurement {other:?}; see --help"),
        None => {
            println!("{HELP}");
            Ok(())
        }
    }
}
