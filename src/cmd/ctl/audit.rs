//! `dragonflyctl audit`: every patch that was submitted, refused ones too.

use serde_json::Value;

use super::table::{Column, moment, text};
use super::{Answer, Context, Failure, Outcome};

const HELP: &str = "\
dragonflyctl audit: submitted patches, the newest first, refused ones too

usage: dragonflyctl audit [--limit N]

example: dragonflyctl audit --limit 50";

pub(super) const DEFAULT_LIMIT: u32 = 20;

pub(super) fn run(mut context: Context) -> Outcome {
    if context.wants_help() {
        return Ok(Answer::text(HELP));
    }
    let limit = context.arguments.opt_value_from_str("--limit").map_err(Failure::usage)?;
    let limit: u32 = limit.unwrap_or(DEFAULT_LIMIT);
    let records = context.connect()?.get(&format!("/audit?limit={limit}"))?;
    let columns = [
        Column::new("WHEN", |row| moment(&row["at_ms"])),
        Column::new("WHO", |row| text(&row["author"])),
        Column::new("AGAINST", |row| text(&row["against_version"])),
        Column::new("OUTCOME", |row| show_outcome(&row["outcome"])),
        Column::new("PATCH ID", |row| text(&row["patch_id"])),
        Column::new("PATCH", |row| shorten(text(&row["patch"]))),
    ];
    Ok(Answer::table(records, &columns))
}

fn show_outcome(outcome: &Value) -> String {
    match &outcome["accepted"] {
        Value::Null => format!("refused: {}", text(&outcome["refused"]["code"])),
        version => format!("version {version}"),
    }
}

/// Characters of a patch in a table; `--json` has all that is kept.
const PATCH_WIDTH: usize = 80;

fn shorten(patch: String) -> String {
    if patch.chars().count() <= PATCH_WIDTH {
        return patch;
    }
    let start: String = patch.chars().take(PATCH_WIDTH).collect();
    format!("{start}...")
}
