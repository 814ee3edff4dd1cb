//! `dragonflyctl audit`: lists all submitted patches, including refused ones.

use serde_json::Value;

use super::table::{Column, format_field, format_timestamp};
use super::{CommandOutput, CommandResult, Context, Failure};

const HELP: &str = "\
dragonflyctl audit: list submitted patches, newest first, including refused ones

usage: dragonflyctl audit [--limit N]

example: dragonflyctl audit --limit 50";

/// Default number of rows.
pub(super) const DEFAULT_ROW_LIMIT: u32 = 20;

pub(super) fn run(mut context: Context) -> CommandResult {
    if context.wants_help() {
        return Ok(CommandOutput::text(HELP));
    }
    let limit = context.arguments.opt_value_from_str("--limit").map_err(Failure::usage)?;
    let limit: u32 = limit.unwrap_or(DEFAULT_ROW_LIMIT);
    let records = context.connect()?.get(&format!("/audit?limit={limit}"))?;
    let columns = [
        Column::new("WHEN", |row| format_timestamp(&row["at_ms"])),
        Column::new("WHO", |row| format_field(&row["author"])),
        Column::new("AGAINST", |row| format_field(&row["against_version"])),
        Column::new("OUTCOME", |row| format_outcome(&row["outcome"])),
        Column::new("PATCH ID", |row| format_field(&row["patch_id"])),
        Column::new("PATCH", |row| truncate_patch(format_field(&row["patch"]))),
    ];
    Ok(CommandOutput::table(records, &columns))
}

fn format_outcome(outcome: &Value) -> String {
    match &outcome["accepted"] {
        Value::Null => format!("refused: {}", format_field(&outcome["refused"]["code"])),
        version => format!("version {version}"),
    }
}

/// Maximum number of characters of a patch in the table; `--json` prints all that is stored.
const PATCH_WIDTH_CHARS: usize = 80;

fn truncate_patch(patch: String) -> String {
    if patch.chars().count() <= PATCH_WIDTH_CHARS {
        return patch;
    }
    let start: String = patch.chars().take(PATCH_WIDTH_CHARS).collect();
    format!("{start}...")
}
