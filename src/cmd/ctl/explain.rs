//! `dragonflyctl explain`: shows why a request was sent to its upstream.

use serde_json::Value;

use super::table::{Column, format_field, format_timestamp, render_table};
use super::{CommandOutput, CommandResult, Context, Failure};

const HELP: &str = "\
dragonflyctl explain: show each placement of a recent request, with the load of the upstreams then

usage: dragonflyctl explain REQUEST_ID

Query the entry process that received the request; it keeps the latest 1024 placements.

example: dragonflyctl explain 9f86d081884c7d65";

pub(super) fn run(mut context: Context) -> CommandResult {
    if context.wants_help() {
        return Ok(CommandOutput::text(HELP));
    }
    let id: String = context.arguments.free_from_str().map_err(Failure::usage)?;
    let decisions = context.connect()?.get(&format!("/requests/{id}"))?;
    let sections = decisions.as_array().into_iter().flatten().map(format_decision);
    let text = sections.collect::<Vec<_>>().join("\n\n");
    Ok(CommandOutput::new(decisions, text))
}

fn format_decision(decision: &Value) -> String {
    let columns = [
        Column::new("UPSTREAM", |row| format_field(&row["upstream"])),
        Column::new("ZONE", |row| format_field(&row["zone"])),
        Column::new("QUEUED", |row| format_field(&row["queued"])),
        Column::new("RUNNING", |row| format_field(&row["running"])),
        Column::new("OWN", |row| format_field(&row["own_outstanding"])),
        Column::new("WAITING PREFILL", |row| format_field(&row["queued_prefill_tokens"])),
        Column::new("HEARD MS AGO", |row| format_field(&row["heard_ms_ago"])),
        Column::new("CLOSED", |row| format_field(&row["closed"])),
    ];
    let chosen = match &decision["chosen"] {
        Value::Null => "refused: no upstream chosen".to_owned(),
        upstream => format!("chosen {}", format_field(upstream)),
    };
    format!(
        "{} request {} of {} tier {} version {}: {chosen}\n{}",
        format_timestamp(&decision["at_ms"]),
        format_field(&decision["request_id"]),
        format_field(&decision["customer"]),
        format_field(&decision["tier"]),
        decision["version"],
        render_table(&decision["candidates"], &columns)
    )
}
