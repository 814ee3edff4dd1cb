//! `dragonflyctl hosts`: the platform's hosts and what runs on them.

use super::table::{Column, text};
use super::{Answer, Context, Outcome};

const HELP: &str = "\
dragonflyctl hosts: hosts that the platform lists, their state and their upstreams

usage: dragonflyctl hosts

example: dragonflyctl hosts --json";

pub(super) fn run(mut context: Context) -> Outcome {
    if context.wants_help() {
        return Ok(Answer::text(HELP));
    }
    let rows = context.connect()?.get("/hosts")?;
    let columns = [
        Column::new("HOST", |row| text(&row["host"])),
        Column::new("STATE", |row| text(&row["state"])),
        Column::new("ZONES", |row| text(&row["zones"])),
        Column::new("UPSTREAMS", |row| text(&row["upstreams"])),
    ];
    Ok(Answer::table(rows, &columns))
}
