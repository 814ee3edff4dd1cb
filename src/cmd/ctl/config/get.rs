//! `dragonflyctl config get`: shows the configuration document and its version.

use super::{CommandOutput, CommandResult, Context, Failure};

const HELP: &str = "\
dragonflyctl config get: show the latest configuration, or the active one while the store is down

usage: dragonflyctl config get [--pointer JSON_POINTER]

example: dragonflyctl config get --pointer /customers/gate";

pub(super) fn run(mut context: Context) -> CommandResult {
    if context.wants_help() {
        return Ok(CommandOutput::text(HELP));
    }
    let pointer: Option<String> =
        context.arguments.opt_value_from_str("--pointer").map_err(Failure::usage)?;
    let mut configuration = context.connect()?.get("/configuration")?;
    if let Some(pointer) = pointer {
        let selected = configuration["document"].pointer(&pointer).cloned();
        configuration["document"] = selected.ok_or_else(|| Failure::not_found(pointer))?;
    }
    let document = serde_json::to_string_pretty(&configuration["document"])
        .map_err(|error| Failure::Internal(error.to_string()))?;
    let source = if configuration["source"] == "store" {
        ""
    } else {
        " (active version; the store does not respond)"
    };
    let text = format!("version {}{source}\n{document}", configuration["version"]);
    Ok(CommandOutput::new(configuration, text))
}
