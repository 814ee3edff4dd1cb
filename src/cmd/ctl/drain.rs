//! `dragonflyctl drain`: a patch that gives upstreams no new work.

use identity::RequestId;
use serde_json::{Map, Value, json};

use super::config::patch::submit;
use super::connection::Connection;
use super::{Answer, Context, Failure, Outcome};

const HELP: &str = "\
dragonflyctl drain: give an upstream, or all upstreams of a host, no new work

usage: dragonflyctl drain UPSTREAM --author NAME [--undo]
       dragonflyctl drain --host HOST --author NAME [--undo]

Work in flight is finished. The order is a patch of the configuration; where another patch comes
between, it is submitted again against the new version.

example: dragonflyctl drain fast --author anna";

/// How often the order is submitted when other patches come between.
const SUBMIT_LIMIT: u32 = 5;

/// What is drained.
enum Target {
    Upstream(String),
    Host(String),
}

pub(super) fn run(mut context: Context) -> Outcome {
    if context.wants_help() {
        return Ok(Answer::text(HELP));
    }
    let draining = !context.arguments.contains("--undo");
    let author: String = context.arguments.value_from_str("--author").map_err(Failure::usage)?;
    let host = context.arguments.opt_value_from_str("--host").map_err(Failure::usage)?;
    let target = match host {
        Some(host) => Target::Host(host),
        None => Target::Upstream(context.arguments.free_from_str().map_err(Failure::usage)?),
    };
    drain(&context.connect()?, &target, draining, &author)
}

fn drain(connection: &Connection, target: &Target, draining: bool, author: &str) -> Outcome {
    let mut tries = 1;
    loop {
        let current = connection.get("/configuration")?;
        let names = find_upstreams(&current["document"]["upstreams"], target)?;
        let orders: Map<String, Value> =
            names.iter().map(|name| (name.clone(), json!({ "draining": draining }))).collect();
        let submission = json!({ "against_version": current["version"], "author": author,
            "patch_id": RequestId::random(), "patch": { "upstreams": orders } });
        match submit(connection, &submission) {
            Err(failure) if failure.is_conflict() && tries < SUBMIT_LIMIT => tries += 1,
            Err(failure) => return Err(failure),
            Ok(accepted) => {
                let verb = if draining { "drains" } else { "takes work" };
                let text = format!("version {}: {} {verb}", accepted["version"], names.join(", "));
                return Ok(Answer::new(accepted, text));
            }
        }
    }
}

fn find_upstreams(upstreams: &Value, target: &Target) -> Result<Vec<String>, Failure> {
    let known = upstreams.as_object().into_iter().flatten();
    let fits = |name: &String, upstream: &Value| match target {
        Target::Upstream(wanted) => name == wanted,
        Target::Host(wanted) => upstream["host"] == wanted.as_str(),
    };
    let found: Vec<String> = known
        .filter(|(name, upstream)| fits(name, upstream))
        .map(|(name, _)| name.clone())
        .collect();
    match (found.is_empty(), target) {
        (false, _) => Ok(found),
        (true, Target::Upstream(name)) => Err(Failure::not_found(format!("upstream {name}"))),
        (true, Target::Host(name)) => {
            Err(Failure::not_found(format!("host {name}, or it has no upstream")))
        }
    }
}
