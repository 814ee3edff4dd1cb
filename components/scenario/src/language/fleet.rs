//! Calls that start a fleet, submit patches and read what stand-ins counted.

use rhai::{Dynamic, Engine, Map};
use serde_json::{Value, json};

use super::world::Shared;
use super::{Called, fail, lock, read, show};
use crate::{Fleet, PendingResponse, Plan, Submission};

pub(super) fn register(engine: &mut Engine, world: &Shared) {
    let shared = world.clone();
    engine.register_fn("fleet", move |given: Map| start(&shared, given));
    let shared = world.clone();
    engine.register_fn("submit", move |entry: &str, given: Map| submit(&shared, entry, given));
    let shared = world.clone();
    engine.register_fn("operators", move |entry: &str, target: &str| {
        operators(&shared, entry, "GET", target, String::new())
    });
    let shared = world.clone();
    engine.register_fn("operators", move |entry: &str, method: &str, target: &str, body: Map| {
        let body: Value = read(body)?;
        operators(&shared, entry, method, target, body.to_string())
    });
    let shared = world.clone();
    engine.register_fn("standin", move |name: &str, target: &str| {
        let (_, body) =
            lock(&shared).fleet()?.call_standin(name, "GET", target, "").map_err(fail)?;
        show(&body)
    });
    let shared = world.clone();
    engine.register_fn("host_list", move |hosts: Map| host_list(&shared, hosts));
    register_counts(engine, world);
}

fn register_counts(engine: &mut Engine, world: &Shared) {
    let shared = world.clone();
    engine.register_fn("starts", move |name: &str| -> Called<Dynamic> {
        show(&lock(&shared).fleet()?.starts(name).map_err(fail)?)
    });
    let shared = world.clone();
    engine.register_fn("starts_of", move |id: &str| starts_of(&shared, id));
    let shared = world.clone();
    engine.register_fn("all_starts", move || -> Called<Dynamic> {
        show(&lock(&shared).fleet()?.total_starts().map_err(fail)?)
    });
    let shared = world.clone();
    engine.register_fn("all_runs", move || -> Called<Dynamic> {
        show(&lock(&shared).fleet()?.total_runs().map_err(fail)?)
    });
    let shared = world.clone();
    engine.register_fn("runs", move |name: &str| -> Called<Dynamic> {
        show(&lock(&shared).fleet()?.runs(name).map_err(fail)?)
    });
    let shared = world.clone();
    engine.register_fn("runs_of", move |key: &str| -> Called<i64> {
        let runs = lock(&shared).fleet()?.total_runs().map_err(fail)?;
        Ok(runs.get(key).copied().unwrap_or_default().into())
    });
}

fn start(world: &Shared, given: Map) -> Called<()> {
    let plan: Plan = read(given)?;
    let mut world = lock(world);
    world.fleet = None;
    world.trace.say("fleet starts");
    let fleet = Fleet::spawn(world.programs.clone(), plan).map_err(fail)?;
    let names: Vec<&str> = fleet.process_names().collect();
    world.trace.say(&format!("fleet runs: {}", names.join(", ")));
    world.fleet = Some(fleet);
    Ok(())
}

fn submit(world: &Shared, entry: &str, given: Map) -> Called<PendingResponse> {
    let submission: Submission = read(given)?;
    let mut world = lock(world);
    world.trace.say(&format!(
        "patch {} by {} against version {} at {entry}",
        submission.patch_id, submission.author, submission.against_version
    ));
    world.fleet()?.submit(entry, &submission).map_err(fail)
}

fn operators(
    world: &Shared,
    entry: &str,
    method: &str,
    target: &str,
    body: String,
) -> Called<Dynamic> {
    let mut world = lock(world);
    let called = world.fleet()?.call_operators(entry, method, target, body);
    let (status, body) = called.unwrap_or_else(|error| (0, json!(error.to_string())));
    show(&json!({ "status": status, "body": body }))
}

fn host_list(world: &Shared, hosts: Map) -> Called<()> {
    let hosts: Value = read(hosts)?;
    let mut world = lock(world);
    world.trace.say(&format!("host list becomes {hosts}"));
    world.fleet()?.call_standin("hosts", "PUT", "/", hosts.to_string()).map_err(fail)?;
    Ok(())
}

/// How often a request was started, at all engines together and whoever asked.
fn starts_of(world: &Shared, id: &str) -> Called<i64> {
    let starts = lock(world).fleet()?.total_starts().map_err(fail)?;
    Ok(starts.get(id).copied().unwrap_or_default().into())
}
