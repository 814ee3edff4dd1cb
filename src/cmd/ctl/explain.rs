//! `dragonflyctl explain`: why a request went to its upstream.

use serde_json::Value;

use super::table::{Column, moment, render, text};
use super::{Answer, Context, Failure, Outcome};

const HELP: &str = "\
dragonflyctl explain: each placement of a recent request and the upstreams as they looked then

usage: dragonflyctl explain REQUEST_ID

Ask the entry process that took the request; it keeps the newest 1024 placements.

example: dragonflyctl explain 9f86d081884c7d65";

pub(super) fn run(mut context: Context) -> Outcome {
    if context.wants_help() {
        return Ok(Answer::text(HELP));
    }
    let id: String = context.arguments.free_from_str().map_err(Failure::usage)?;
    let decisions = context.connect()?.get(&format!("/requests/{id}"))?;
    let shown = decisions.as_array().into_iter().flatten().map(show);
    let shown = shown.collect::<Vec<_>>().join("\n\n");
    Ok(Answer::new(decisions, shown))
}

fn show(decision: &Value) -> String {
    let columns = [
        Column::new("UPSTREAM", |row| text(&row["upstream"])),
        Column::new("ZONE", |row| text(&row["zone"])),
        Column::new("QUEUED", |row| text(&row["queued"])),
        Column::new("RUNNING", |row| text(&row["running"])),
        Column::new("OWN", |row| text(&row["own_outstanding"])),
        Column::new("WAITING PREFILL", |row| text(&row["queued_prefill_tokens"])),
        Column::new("HEARD MS AGO", |row| text(&row["heard_ms_ago"])),
        Column::new("CLOSED", |row| text(&row["closed"])),
    ];
    let chosen = match &decision["chosen"] {
        Value::Null => "refused: no upstream chosen".to_owned(),
        upstream => format!("chosen {}", text(upstream)),
    };
    format!(
        "{} request {} of {} tier {} version {}: {chosen}\n{}",
        moment(&decision["at_ms"]),
        text(&decision["request_id"]),
        text(&decision["customer"]),
        text(&decision["tier"]),
        decision["version"],
        render(&decision["candidates"], &columns)
    )
}
