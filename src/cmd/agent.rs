//! `dragonflyfront-agent`: the process beside an upstream.

use std::sync::Arc;

use agent::{Agent, Settings};
use anyhow::Result;
use clock::SystemClock;
use pico_args::Arguments;

use super::{Start, build_runtime, read_start, start_logs, wait_for_stop};

const HELP: &str = "\
dragonflyfront-agent: the process beside an upstream

usage: dragonflyfront-agent --settings FILE [--check-settings]
       dragonflyfront-agent --settings-schema

example: dragonflyfront-agent --settings agent.json";

/// Runs the program.
pub fn main(arguments: Arguments) -> Result<()> {
    let Start::Run(settings) = read_start::<Settings>(arguments, HELP)? else { return Ok(()) };
    start_logs(&settings.log_level)?;
    build_runtime()?.block_on(async {
        let handle = Agent { settings, clock: Arc::new(SystemClock) }.spawn().await?;
        println!("ready {}", handle.address());
        wait_for_stop().await?;
        handle.stop().await;
        Ok(())
    })
}
