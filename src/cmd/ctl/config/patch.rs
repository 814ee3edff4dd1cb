//! `dragonflyctl config patch`: submits a patch of the configuration.

use identity::RequestId;
use serde_json::{Value, json};

use super::{CommandOutput, CommandResult, Context, Failure, read_patch};
use crate::cmd::ctl::connection::Connection;

const HELP: &str = "\
dragonflyctl config patch: change the configuration, based on a stated version

usage: dragonflyctl config patch FILE --against VERSION --author NAME [--patch-id ID]

FILE holds an RFC 7396 object or an RFC 6902 array; - is standard input. If the outcome remains
unknown (exit code 8), submit the patch again with the printed patch id: it is applied only once.

example: dragonflyctl config patch rate.json --against 41 --author anna";

/// Maximum number of submissions of a patch while its outcome is unknown.
const MAX_SUBMISSIONS: u32 = 3;

pub(super) fn run(mut context: Context) -> CommandResult {
    if context.wants_help() {
        return Ok(CommandOutput::text(HELP));
    }
    let arguments = &mut context.arguments;
    let against: u64 = arguments.value_from_str("--against").map_err(Failure::usage)?;
    let author: String = arguments.value_from_str("--author").map_err(Failure::usage)?;
    let patch_id: Option<String> =
        arguments.opt_value_from_str("--patch-id").map_err(Failure::usage)?;
    let file: String = arguments.free_from_str().map_err(Failure::usage)?;
    let patch_id = patch_id.unwrap_or_else(|| RequestId::random().to_string());
    let submission = json!({ "against_version": against, "author": author,
        "patch_id": patch_id, "patch": read_patch(&file)? });
    let accepted = submit_patch(&context.connect()?, &submission);
    if accepted.as_ref().is_err_and(Failure::is_outcome_unknown) {
        eprintln!("patch id {patch_id}");
    }
    let accepted = accepted?;
    let text = format!("version {}", accepted["version"]);
    Ok(CommandOutput::new(accepted, text))
}

/// Submits a patch. While the outcome is unknown, submits it again with the same patch id, so that
/// it is applied only once.
pub(in crate::cmd::ctl) fn submit_patch(
    connection: &Connection,
    submission: &Value,
) -> Result<Value, Failure> {
    let mut submissions = 1;
    loop {
        match connection.post("/configuration/patches", submission) {
            Err(failure) if failure.is_outcome_unknown() && submissions < MAX_SUBMISSIONS => {
                submissions += 1
            }
            result => return result,
        }
    }
}
