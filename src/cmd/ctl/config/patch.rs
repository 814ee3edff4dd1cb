//! `dragonflyctl config patch`: a change against a stated version.

use identity::RequestId;
use serde_json::{Value, json};

use super::{Answer, Context, Failure, Outcome, read_patch};
use crate::cmd::ctl::connection::Connection;

const HELP: &str = "\
dragonflyctl config patch: change the configuration, against a stated version

usage: dragonflyctl config patch FILE --against VERSION --author NAME [--patch-id ID]

FILE holds an RFC 7396 object or an RFC 6902 array; - is standard input. Where the outcome stays
unknown (exit code 8), run it again with the patch id that was printed: it is applied once.

example: dragonflyctl config patch rate.json --against 41 --author anna";

/// How often a patch is submitted while its outcome is unknown.
const SUBMIT_LIMIT: u32 = 3;

pub(super) fn run(mut context: Context) -> Outcome {
    if context.wants_help() {
        return Ok(Answer::text(HELP));
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
    let accepted = submit(&context.connect()?, &submission);
    if accepted.as_ref().is_err_and(Failure::is_unknown) {
        eprintln!("patch id {patch_id}");
    }
    let accepted = accepted?;
    let text = format!("version {}", accepted["version"]);
    Ok(Answer::new(accepted, text))
}

/// Submits a patch, again with the same id while its outcome is unknown.
pub(in crate::cmd::ctl) fn submit(
    connection: &Connection,
    submission: &Value,
) -> Result<Value, Failure> {
    let mut tries = 1;
    loop {
        match connection.post("/configuration/patches", submission) {
            Err(failure) if failure.is_unknown() && tries < SUBMIT_LIMIT => tries += 1,
            result => return result,
        }
    }
}
