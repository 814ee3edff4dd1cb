//! `dragonflyctl config check`: validates a patch without applying it.

use serde_json::json;

use super::{CommandOutput, CommandResult, Context, Failure, read_patch};

const HELP: &str = "\
dragonflyctl config check: check whether a patch would be accepted now; writes nothing

usage: dragonflyctl config check FILE

example: dragonflyctl config check rate.json";

pub(super) fn run(mut context: Context) -> CommandResult {
    if context.wants_help() {
        return Ok(CommandOutput::text(HELP));
    }
    let file: String = context.arguments.free_from_str().map_err(Failure::usage)?;
    let submission = json!({ "against_version": 0, "author": "check", "patch_id": "check",
        "patch": read_patch(&file)? });
    let checked = context.connect()?.post("/configuration/checks", &submission)?;
    let text = format!("valid against version {}", checked["against_version"]);
    Ok(CommandOutput::new(checked, text))
}
