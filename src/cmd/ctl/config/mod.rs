//! `dragonflyctl config`: shows and changes the versioned configuration.

mod check;
mod get;
mod history;
pub(super) mod patch;

use std::io::Read;
use std::path::Path;

use serde_json::Value;

use super::{CommandOutput, CommandResult, Context, Failure, show_help};

const HELP: &str = "\
dragonflyctl config: show and change the versioned configuration

usage: dragonflyctl config get|patch|check|history

example: dragonflyctl config get";

/// File name that means standard input.
const STDIN_FILE_NAME: &str = "-";

pub(super) fn run(mut context: Context) -> CommandResult {
    let command = context.arguments.subcommand().map_err(Failure::usage)?.unwrap_or_default();
    match command.as_str() {
        "get" => get::run(context),
        "patch" => patch::run(context),
        "check" => check::run(context),
        "history" => history::run(context),
        "" => show_help(context, HELP),
        other => Err(Failure::usage(format!("unknown command config {other:?}; see --help"))),
    }
}

/// Reads a patch from a file or from standard input.
fn read_patch(path: &str) -> Result<Value, Failure> {
    let mut text = String::new();
    let read = if path == STDIN_FILE_NAME {
        std::io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        std::fs::read_to_string(Path::new(path)).map(|read| text = read)
    };
    read.map_err(|error| Failure::usage(format!("{path}: {error}")))?;
    serde_json::from_str(&text).map_err(|error| Failure::usage(format!("{path}: {error}")))
}
