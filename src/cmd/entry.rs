//! `dragonflyfront-entry`: the process on the entry hosts.

use std::sync::Arc;

use anyhow::Result;
use clock::SystemClock;
use entry::{Entry, Settings};
use pico_args::Arguments;

use super::{Start, build_runtime, read_start, start_logs, wait_for_stop};

const HELP: &str = "\
dragonflyfront-entry: the process between callers and agents

usage: dragonflyfront-entry --settings FILE [--check-settings]
       dragonflyfront-entry --settings-schema

example: dragonflyfront-entry --settings entry.json";

/// Runs the program.
pub fn main(arguments: Arguments) -> Result<()> {
    let Start::Run(settings) = read_start::<Settings>(arguments, HELP)? else { return Ok(()) };
    start_logs(&settings.log_level)?;
    build_runtime()?.block_on(async {
        let handle = Entry { settings, clock: Arc::new(SystemClock) }.spawn().await?;
        let peers = handle.peers_address().map(|address| format!(" {address}"));
        let (callers, operators) = (handle.callers_address(), handle.operators_address());
        println!("ready {callers} {operators}{}", peers.unwrap_or_default());
        wait_for_stop().await?;
        handle.stop().await;
        Ok(())
    })
}
