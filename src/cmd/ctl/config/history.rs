//! `dragonflyctl config history`: accepted patches.

use super::{Answer, Context, Failure, Outcome};
use crate::cmd::ctl::audit::DEFAULT_LIMIT;
use crate::cmd::ctl::table::{Column, moment, text};

const HELP: &str = "\
dragonflyctl config history: accepted patches, the newest first; the newest 600 are kept

usage: dragonflyctl config history [--limit N]

example: dragonflyctl config history --limit 50";

pub(super) fn run(mut context: Context) -> Outcome {
    if context.wants_help() {
        return Ok(Answer::text(HELP));
    }
    let limit = context.arguments.opt_value_from_str("--limit").map_err(Failure::usage)?;
    let limit: u32 = limit.unwrap_or(DEFAULT_LIMIT);
    let entries = context.connect()?.get(&format!("/configuration/history?limit={limit}"))?;
    let columns = [
        Column::new("VERSION", |row| text(&row["version"])),
        Column::new("WHEN", |row| moment(&row["accepted_at_ms"])),
        Column::new("WHO", |row| text(&row["author"])),
        Column::new("PATCH ID", |row| text(&row["patch_id"])),
    ];
    Ok(Answer::table(entries, &columns))
}
