//! Measures the costs per customer, request and message from which `docs/CAPACITY.md` is computed.
//!
//! Build it with `--release`.

mod dispatches;
mod events;
mod path;
mod process;
mod snapshot;

use std::process::ExitCode;

use anyhow::{Result, bail};
use pico_args::Arguments;

const HELP: &str = "\
measure: costs per customer, request and message for docs/CAPACITY.md

usage: measure snapshot --customers N    active configuration: size, memory, time
       measure transcripts --requests N  agent core: memory and time per request
       measure events                    messages between agent and entry: size of each kind
       measure path --tokens N --calls N latency added by entry and agent, and their CPU time

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
