//! One module for each program.

pub mod agent;
pub mod ctl;
pub mod demo;
pub mod entry;
pub mod gateway;
mod logs;
pub mod replay;
pub mod standin;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use log::LevelFilter;
use pico_args::Arguments;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use settings::Validate;
use simplelog::{ConfigBuilder, SimpleLogger};

/// What the command line of a process asks for.
pub(crate) enum Start<T> {
    /// Run with these settings.
    Run(T),
    /// Everything asked for has been printed.
    Done,
}

/// Runs a program and turns its result into an exit code.
pub fn run(main: fn(Arguments) -> Result<()>) -> ExitCode {
    match main(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads `--settings FILE`, or does what `--check-settings`, `--settings-schema` or `--help` ask.
pub(crate) fn read_start<T: DeserializeOwned + Validate + JsonSchema>(
    mut arguments: Arguments,
    help: &str,
) -> Result<Start<T>> {
    if arguments.contains(["-h", "--help"]) {
        println!("{help}");
        return Ok(Start::Done);
    }
    if arguments.contains("--settings-schema") {
        println!("{}", settings::render_schema::<T>());
        return Ok(Start::Done);
    }
    let check_only = arguments.contains("--check-settings");
    let path: PathBuf = arguments.value_from_str("--settings").context("see --help")?;
    let unknown = arguments.finish();
    anyhow::ensure!(unknown.is_empty(), "unknown arguments: {unknown:?}; see --help");
    let loaded = settings::load(&path)?;
    if check_only {
        println!("{}: good", path.display());
        return Ok(Start::Done);
    }
    Ok(Start::Run(loaded))
}

/// Starts logging to standard error.
pub(crate) fn start_logs(level: &str) -> Result<()> {
    let level: LevelFilter = level.parse().with_context(|| format!("log_level: given {level}"))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_ignore_str("ntex")
        .add_filter_ignore_str("h2")
        .add_filter_ignore_str("hyper")
        .add_filter_ignore_str("tower")
        .add_filter_ignore_str("tonic")
        .build();
    SimpleLogger::init(level, config).context("logging started twice")
}

/// A runtime for the process.
pub(crate) fn build_runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build().context("runtime")
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_for_stop() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
