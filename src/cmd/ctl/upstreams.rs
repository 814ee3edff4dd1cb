//! `dragonflyctl upstreams`: lists upstreams and their load as seen by one entry process.

use super::table::{Column, format_field};
use super::{CommandOutput, CommandResult, Context};

const HELP: &str = "\
dragonflyctl upstreams: list upstreams and their load as seen by this entry process

usage: dragonflyctl upstreams

example: dragonflyctl upstreams";

pub(super) fn run(mut context: Context) -> CommandResult {
    if context.wants_help() {
        return Ok(CommandOutput::text(HELP));
    }
    let rows = context.connect()?.get("/upstreams")?;
    let columns = [
        Column::new("UPSTREAM", |row| format_field(&row["upstream"])),
        Column::new("HOST", |row| format_field(&row["host"])),
        Column::new("ZONE", |row| format_field(&row["zone"])),
        Column::new("QUEUED", |row| format_field(&row["queued"])),
        Column::new("RUNNING", |row| format_field(&row["running"])),
        Column::new("OWN", |row| format_field(&row["own_outstanding"])),
        Column::new("DRAINING", |row| format_field(&row["draining"])),
        Column::new("LEAVING", |row| format_field(&row["leaving"])),
        Column::new("UNREACHABLE", |row| format_field(&row["unreachable"])),
    ];
    Ok(CommandOutput::table(rows, &columns))
}
