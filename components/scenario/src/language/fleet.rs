//! Script functions that start a fleet, call its operators' addresses and stand-ins, and read the
//! counters of the stand-ins.

use rhai::{Dynamic, Engine, Map};
use serde_json::{Value, json};

use super::run_state::SharedRunState;
use super::{CallResult, from_script, lock, script_error, to_script};
use crate::{Fleet, FleetPlan, PatchSubmission, PendingResponse};

pub(super) fn register(engine: &mut Engine, run_state: &SharedRunState) {
    let shared = run_state.clone();
    engine.register_fn("fleet", move |argument: Map| start_fleet(&shared, argument));
    let shared = run_state.clone();
    engine.register_fn("submit", move |entry: &str, argument: Map| {
        submit_patch(&shared, entry, argument)
    });
    let shared = run_state.clone();
    engine.register_fn("operators", move |entry: &str, target: &str| {
        call_operators(&shared, entry, "GET", target, String::new())
    });
    let shared = run_state.clone();
    engine.register_fn("operators", move |entry: &str, method: &str, target: &str, body: Map| {
        let body: Value = from_script(body)?;
        call_operators(&shared, entry, method, target, body.to_string())
    });
    let shared = run_state.clone();
    engine.register_fn("standin", move |name: &str, target: &str| {
        let (_, body) =
            lock(&shared).fleet()?.call_standin(name, "GET", target, "").map_err(script_error)?;
        to_script(&body)
    });
    let shared = run_state.clone();
    engine.register_fn("host_list", move |hosts: Map| set_host_list(&shared, hosts));
    register_counters(engine, run_state);
}

fn register_counters(engine: &mut Engine, run_state: &SharedRunState) {
    let shared = run_state.clone();
    engine.register_fn("starts", move |name: &str| -> CallResult<Dynamic> {
        to_script(&lock(&shared).fleet()?.starts(name).map_err(script_error)?)
    });
    let shared = run_state.clone();
    engine.register_fn("starts_of", move |id: &str| count_starts_of(&shared, id));
    let shared = run_state.clone();
    engine.register_fn("all_starts", move || -> CallResult<Dynamic> {
        to_script(&lock(&shared).fleet()?.total_starts().map_err(script_error)?)
    });
    let shared = run_state.clone();
    engine.register_fn("all_runs", move || -> CallResult<Dynamic> {
        to_script(&lock(&shared).fleet()?.total_runs().map_err(script_error)?)
    });
    let shared = run_state.clone();
    engine.register_fn("runs", move |name: &str| -> CallResult<Dynamic> {
        to_script(&lock(&shared).fleet()?.runs(name).map_err(script_error)?)
    });
    let shared = run_state.clone();
    engine.register_fn("runs_of", move |key: &str| -> CallResult<i64> {
        let runs = lock(&shared).fleet()?.total_runs().map_err(script_error)?;
        Ok(runs.get(key).copied().unwrap_or_default().into())
    });
}

fn start_fleet(run_state: &SharedRunState, argument: Map) -> CallResult<()> {
    let plan: FleetPlan = from_script(argument)?;
    let mut run_state = lock(run_state);
    run_state.fleet = None;
    run_state.trace.record("starting fleet");
    let fleet = Fleet::spawn(run_state.program_paths.clone(), plan).map_err(script_error)?;
    let names: Vec<&str> = fleet.process_names().collect();
    run_state.trace.record(&format!("fleet is ready: {}", names.join(", ")));
    run_state.fleet = Some(fleet);
    Ok(())
}

fn submit_patch(
    run_state: &SharedRunState,
    entry: &str,
    argument: Map,
) -> CallResult<PendingResponse> {
    let submission: PatchSubmission = from_script(argument)?;
    let mut run_state = lock(run_state);
    run_state.trace.record(&format!(
        "submitting patch {} of {} against version {} to {entry}",
        submission.patch_id, submission.author, submission.against_version
    ));
    run_state.fleet()?.send_patch(entry, &submission).map_err(script_error)
}

fn call_operators(
    run_state: &SharedRunState,
    entry: &str,
    method: &str,
    target: &str,
    body: String,
) -> CallResult<Dynamic> {
    let mut run_state = lock(run_state);
    let response = run_state.fleet()?.call_operators(entry, method, target, body);
    let (status, body) = response.unwrap_or_else(|error| (0, json!(error.to_string())));
    to_script(&json!({ "status": status, "body": body }))
}

fn set_host_list(run_state: &SharedRunState, hosts: Map) -> CallResult<()> {
    let hosts: Value = from_script(hosts)?;
    let mut run_state = lock(run_state);
    run_state.trace.record(&format!("setting host list to {hosts}"));
    run_state
        .fleet()?
        .call_standin("hosts", "PUT", "/", hosts.to_string())
        .map_err(script_error)?;
    Ok(())
}

/// Number of starts of a request at all engines together, whichever customer sent it.
fn count_starts_of(run_state: &SharedRunState, id: &str) -> CallResult<i64> {
    let starts = lock(run_state).fleet()?.total_starts().map_err(script_error)?;
    Ok(starts.get(id).copied().unwrap_or_default().into())
}
