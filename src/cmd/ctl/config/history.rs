//! `dragonflyctl config history`: lists accepted patches.

use super::{CommandOutput, CommandResult, Context, Failure};
use crate::cmd::ctl::audit::DEFAULT_ROW_LIMIT;
use crate::cmd::ctl::table::{Column, format_field, format_timestamp};

const HELP: &str = "\
dragonflyctl config history: list accepted patches, newest first; the latest 600 are kept

usage: dragonflyctl config history [--limit N]

example: dragonflyctl config history --limit 50";

pub(super) fn run(mut context: Context) -> CommandResult {
    if context.wants_help() {
        return Ok(CommandOutput::text(HELP));
    }
    let limit = context.arguments.opt_value_from_str("--limit").map_err(Failure::usage)?;
    let limit: u32 = limit.unwrap_or(DEFAULT_ROW_LIMIT);
    let records = context.connect()?.get(&format!("/configuration/history?limit={limit}"))?;
    let columns = [
        Column::new("VERSION", |row| format_field(&row["version"])),
        Column::new("WHEN", |row| format_timestamp(&row["accepted_at_ms"])),
        Column::new("WHO", |row| format_field(&row["author"])),
        Column::new("PATCH ID", |row| format_field(&row["patch_id"])),
    ];
    Ok(CommandOutput::table(records, &columns))
}
