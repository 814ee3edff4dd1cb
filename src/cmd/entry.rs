//! `dragonflyfront-entry`: accepts requests of callers and dispatches them to agents.

use std::sync::Arc;

use anyhow::Result;
use clock::SystemClock;
use entry::{Entry, Settings};
use pico_args::Arguments;

use super::{
    StartupAction, build_runtime, init_logging, parse_arguments, wait_for_shutdown_signal,
};

const HELP: &str = "\
dragonflyfront-entry: accepts requests of callers and dispatches them to agents

usage: dragonflyfront-entry --settings FILE [--check-settings]
       dragonflyfront-entry --settings-schema

example: dragonflyfront-entry --settings entry.json";

/// Runs the program.
pub fn main(arguments: Arguments) -> Result<()> {
    let StartupAction::Run(settings) = parse_arguments::<Settings>(arguments, HELP)? else {
        return Ok(());
    };
    init_logging(&settings.log_level)?;
    build_runtime()?.block_on(async {
        let handle = Entry { settings, clock: Arc::new(SystemClock) }.spawn().await?;
        let peers = handle.peers_address().map(|address| format!(" {address}"));
        let (callers, operators) = (handle.callers_address(), handle.operators_address());
        println!("ready {callers} {operators}{}", peers.unwrap_or_default());
        wait_for_shutdown_signal().await?;
        handle.stop().await;
        Ok(())
    })
}
