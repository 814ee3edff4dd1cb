//! `dragonflyctl hosts`: lists the platform's hosts and their upstreams.

use super::table::{Column, format_field};
use super::{CommandOutput, CommandResult, Context};

const HELP: &str = "\
dragonflyctl hosts: list the platform's hosts with their state and their upstreams

usage: dragonflyctl hosts

example: dragonflyctl hosts --json";

pub(super) fn run(mut context: Context) -> CommandResult {
    if context.wants_help() {
        return Ok(CommandOutput::text(HELP));
    }
    let rows = context.connect()?.get("/hosts")?;
    let columns = [
        Column::new("HOST", |row| format_field(&row["host"])),
        Column::new("STATE", |row| format_field(&row["state"])),
        Column::new("ZONES", |row| format_field(&row["zones"])),
        Column::new("UPSTREAMS", |row| format_field(&row["upstreams"])),
    ];
    Ok(CommandOutput::table(rows, &columns))
}
