//! `dragonflyctl drain`: submits a patch that marks upstreams as draining.

use identity::RequestId;
use serde_json::{Map, Value, json};

use super::config::patch::submit_patch;
use super::connection::Connection;
use super::{CommandOutput, CommandResult, Context, Failure};

const HELP: &str = "\
dragonflyctl drain: stop sending new requests to an upstream, or to all upstreams of a host

usage: dragonflyctl drain UPSTREAM --author NAME [--undo]
       dragonflyctl drain --host HOST --author NAME [--undo]

Requests in flight are finished. The command submits a patch of the configuration; if another patch
is accepted first, it submits its patch again against the new version.

example: dragonflyctl drain fast --author anna";

/// Maximum number of submissions when other patches cause version conflicts.
const MAX_SUBMISSIONS: u32 = 5;

/// Upstreams to drain.
enum Target {
    /// One upstream.
    Upstream(String),
    /// All upstreams of a host.
    Host(String),
}

pub(super) fn run(mut context: Context) -> CommandResult {
    if context.wants_help() {
        return Ok(CommandOutput::text(HELP));
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

fn drain(connection: &Connection, target: &Target, draining: bool, author: &str) -> CommandResult {
    let mut submissions = 1;
    loop {
        let current = connection.get("/configuration")?;
        let names = find_upstreams(&current["document"]["upstreams"], target)?;
        let upstream_patches: Map<String, Value> =
            names.iter().map(|name| (name.clone(), json!({ "draining": draining }))).collect();
        let submission = json!({ "against_version": current["version"], "author": author,
            "patch_id": RequestId::random(), "patch": { "upstreams": upstream_patches } });
        match submit_patch(connection, &submission) {
            Err(failure) if failure.is_version_conflict() && submissions < MAX_SUBMISSIONS => {
                submissions += 1
            }
            Err(failure) => return Err(failure),
            Ok(accepted) => {
                let state = if draining { "draining" } else { "accepting requests" };
                let text = format!("version {}: {} {state}", accepted["version"], names.join(", "));
                return Ok(CommandOutput::new(accepted, text));
            }
        }
    }
}

fn find_upstreams(upstreams: &Value, target: &Target) -> Result<Vec<String>, Failure> {
    let all_upstreams = upstreams.as_object().into_iter().flatten();
    let matches_target = |name: &String, upstream: &Value| match target {
        Target::Upstream(wanted) => name == wanted,
        Target::Host(wanted) => upstream["host"] == wanted.as_str(),
    };
    let names: Vec<String> = all_upstreams
        .filter(|(name, upstream)| matches_target(name, upstream))
        .map(|(name, _)| name.clone())
        .collect();
    match (names.is_empty(), target) {
        (false, _) => Ok(names),
        (true, Target::Upstream(name)) => Err(Failure::not_found(format!("upstream {name}"))),
        (true, Target::Host(name)) => Err(Failure::not_found(format!("upstream on host {name}"))),
    }
}
