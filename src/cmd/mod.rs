//! One module per program.

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

/// Action that the command line of a program requests.
pub(crate) enum StartupAction<T> {
    /// Run with the loaded settings.
    Run(T),
    /// Exit: the requested output has been printed.
    Exit,
}

/// Runs a program and converts its result into an exit code.
pub fn run(main: fn(Arguments) -> Result<()>) -> ExitCode {
    match main(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Loads the file given by `--settings`, or handles `--check-settings`, `--settings-schema` or
/// `--help`.
pub(crate) fn parse_arguments<T: DeserializeOwned + Validate + JsonSchema>(
    mut arguments: Arguments,
    help: &str,
) -> Result<StartupAction<T>> {
    if arguments.contains(["-h", "--help"]) {
        println!("{help}");
        return Ok(StartupAction::Exit);
    }
    if arguments.contains("--settings-schema") {
        println!("{}", settings::render_schema::<T>());
        return Ok(StartupAction::Exit);
    }
    let check_only = arguments.contains("--check-settings");
    let path: PathBuf = arguments.value_from_str("--settings").context("see --help")?;
    let unknown = arguments.finish();
    anyhow::ensure!(unknown.is_empty(), "unknown arguments: {unknown:?}; see --help");
    let loaded = settings::load(&path)?;
    if check_only {
        println!("{}: valid", path.display());
        return Ok(StartupAction::Exit);
    }
    Ok(StartupAction::Run(loaded))
}

/// Initializes logging to standard error.
pub(crate) fn init_logging(level: &str) -> Result<()> {
    let level: LevelFilter =
        level.parse().with_context(|| format!("log_level: invalid value {level}"))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_ignore_str("ntex")
        .add_filter_ignore_str("h2")
        .add_filter_ignore_str("hyper")
        .add_filter_ignore_str("tower")
        .add_filter_ignore_str("tonic")
        .build();
    SimpleLogger::init(level, config).context("logging is already initialized")
}

/// Builds the multi-threaded tokio runtime of a program.
pub(crate) fn build_runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("tokio runtime cannot be created")
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_for_shutdown_signal() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
