//! `dragonflyctl upstreams`: upstreams and their load as one entry process sees them.

use super::table::{Column, text};
use super::{Answer, Context, Outcome};

const HELP: &str = "\
dragonflyctl upstreams: upstreams and their load as this entry process sees them

usage: dragonflyctl upstreams

example: dragonflyctl upstreams";

pub(super) fn run(mut context: Context) -> Outcome {
    if context.wants_help() {
        return Ok(Answer::text(HELP));
    }
    let rows = context.connect()?.get("/upstreams")?;
    let columns = [
        Column::new("UPSTREAM", |row| text(&row["upstream"])),
        Column::new("HOST", |row| text(&row["host"])),
        Column::new("ZONE", |row| text(&row["zone"])),
        Column::new("QUEUED", |row| text(&row["queued"])),
        Column::new("RUNNING", |row| text(&row["running"])),
        Column::new("OWN", |row| text(&row["own_outstanding"])),
        Column::new("DRAINING", |row| text(&row["draining"])),
        Column::new("LEAVING", |row| text(&row["leaving"])),
        Column::new("UNREACHABLE", |row| text(&row["unreachable"])),
    ];
    Ok(Answer::table(rows, &columns))
}
