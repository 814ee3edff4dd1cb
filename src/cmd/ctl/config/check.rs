//! `dragonflyctl config check`: whether a patch would be accepted now.

use serde_json::json;

use super::{Answer, Context, Failure, Outcome, read_patch};

const HELP: &str = "\
dragonflyctl config check: say whether a patch would be accepted now; nothing is written

usage: dragonflyctl config check FILE

example: dragonflyctl config check rate.json";

pub(super) fn run(mut context: Context) -> Outcome {
    if context.wants_help() {
        return Ok(Answer::text(HELP));
    }
    let file: String = context.arguments.free_from_str().map_err(Failure::usage)?;
    let submission = json!({ "against_version": 0, "author": "check", "patch_id": "check",
        "patch": read_patch(&file)? });
    let checked = context.connect()?.post("/configuration/checks", &submission)?;
    let text = format!("good against version {}", checked["against_version"]);
    Ok(Answer::new(checked, text))
}
