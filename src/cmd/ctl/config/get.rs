//! `dragonflyctl config get`: the document and its number.

use super::{Answer, Context, Failure, Outcome};

const HELP: &str = "\
dragonflyctl config get: the newest configuration; while the store is down, the one in force

usage: dragonflyctl config get [--pointer JSON_POINTER]

example: dragonflyctl config get --pointer /customers/gate";

pub(super) fn run(mut context: Context) -> Outcome {
    if context.wants_help() {
        return Ok(Answer::text(HELP));
    }
    let pointer: Option<String> =
        context.arguments.opt_value_from_str("--pointer").map_err(Failure::usage)?;
    let mut found = context.connect()?.get("/configuration")?;
    if let Some(pointer) = pointer {
        let part = found["document"].pointer(&pointer).cloned();
        found["document"] = part.ok_or_else(|| Failure::not_found(pointer))?;
    }
    let document = serde_json::to_string_pretty(&found["document"])
        .map_err(|error| Failure::Internal(error.to_string()))?;
    let source = if found["source"] == "store" { "" } else { " (the store does not answer)" };
    let text = format!("version {}{source}\n{document}", found["version"]);
    Ok(Answer::new(found, text))
}
