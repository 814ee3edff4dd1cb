//! `dragonflyfront-agent`: runs next to an upstream and passes requests to it.

use std::sync::Arc;

use agent::{Agent, Settings};
use anyhow::Result;
use clock::SystemClock;
use pico_args::Arguments;

use super::{
    StartupAction, build_runtime, init_logging, parse_arguments, wait_for_shutdown_signal,
};

const HELP: &str = "\
dragonflyfront-agent: runs next to an upstream and passes requests to it

usage: dragonflyfront-agent --settings FILE [--check-settings]
       dragonflyfront-agent --settings-schema

example: dragonflyfront-agent --settings agent.json";

/// Runs the program.
pub fn main(arguments: Arguments) -> Result<()> {
    let StartupAction::Run(settings) = parse_arguments::<Settings>(arguments, HELP)? else {
        return Ok(());
    };
    init_logging(&settings.log_level)?;
    build_runtime()?.block_on(async {
        let handle = Agent { settings, clock: Arc::new(SystemClock) }.spawn().await?;
        println!("ready {}", handle.address());
        wait_for_shutdown_signal().await?;
        handle.stop().await;
        Ok(())
    })
}
