//! Calls that bring about faults.

use std::time::Duration;

use rhai::{Engine, Map};
use serde_json::{Value, json};

use super::world::Shared;
use super::{Called, fail, lock, read};
use crate::{Direction, Fleet, Relay};

/// How long a planned stop may take before it counts as stuck.
const STOP_LIMIT: Duration = Duration::from_secs(60);

const STORE: &str = "store";

type ProcessFault = fn(&mut Fleet, &str) -> anyhow::Result<()>;
type LinkFault = fn(&Relay);

/// Faults of a process by its name.
const PROCESS_FAULTS: [(&str, ProcessFault); 5] = [
    ("kill", |fleet, name| fleet.kill(name)),
    ("restart", |fleet, name| fleet.restart(name)),
    ("freeze", |fleet, name| fleet.process(name)?.freeze()),
    ("thaw", |fleet, name| fleet.process(name)?.thaw()),
    ("terminate", |fleet, name| fleet.process(name)?.terminate()),
];

/// Faults of a link by its name.
const LINK_FAULTS: [(&str, LinkFault); 6] = [
    ("cut", Relay::cut),
    ("refuse", Relay::refuse),
    ("mend", Relay::restore),
    ("silence_forward", |link| link.silence(Direction::Forward)),
    ("silence_backward", |link| link.silence(Direction::Backward)),
    ("silence", |link| {
        link.silence(Direction::Forward);
        link.silence(Direction::Backward);
    }),
];

pub(super) fn register(engine: &mut Engine, world: &Shared) {
    for (call, fault) in PROCESS_FAULTS {
        let shared = world.clone();
        engine.register_fn(call, move |name: &str| process_fault(&shared, call, fault, name));
    }
    for (call, fault) in LINK_FAULTS {
        let shared = world.clone();
        engine.register_fn(call, move |name: &str| link_fault(&shared, call, fault, name));
    }
    let shared = world.clone();
    engine.register_fn("stop", move |name: &str| stop(&shared, name));
    let shared = world.clone();
    engine.register_fn("faults", move |name: &str, given: Map| {
        let faults: Value = read(given)?;
        set_faults(&shared, name, &faults)
    });
    register_store(engine, world);
}

fn register_store(engine: &mut Engine, world: &Shared) {
    let shared = world.clone();
    engine.register_fn("store_outage", move |outage: bool| {
        set_faults(&shared, STORE, &json!({ "outage": outage }))
    });
    let shared = world.clone();
    engine.register_fn("store_slow", move |delay_ms: i64| {
        set_faults(&shared, STORE, &json!({ "delay_ms": delay_ms }))
    });
    let shared = world.clone();
    engine.register_fn("lose_replies", move |count: i64| {
        set_faults(&shared, STORE, &json!({ "lost_replies": count }))
    });
}

fn process_fault(world: &Shared, call: &str, fault: ProcessFault, name: &str) -> Called<()> {
    let mut world = lock(world);
    world.trace.say(&format!("{call} {name}"));
    fault(world.fleet()?, name).map_err(fail)
}

fn link_fault(world: &Shared, call: &str, fault: LinkFault, name: &str) -> Called<()> {
    let mut world = lock(world);
    world.trace.say(&format!("{call} {name}"));
    fault(world.fleet()?.link(name).map_err(fail)?);
    Ok(())
}

fn stop(world: &Shared, name: &str) -> Called<i64> {
    let mut world = lock(world);
    world.trace.say(&format!("stop {name}"));
    let code = world.fleet()?.stop(name, STOP_LIMIT).map_err(fail)?;
    let code = code.ok_or_else(|| fail(format!("{name} runs on after SIGTERM")))?;
    world.trace.say(&format!("{name} ended with {code}"));
    Ok(code.into())
}

fn set_faults(world: &Shared, name: &str, faults: &Value) -> Called<()> {
    let mut world = lock(world);
    world.trace.say(&format!("faults of {name}: {faults}"));
    world.fleet()?.set_faults(name, faults).map_err(fail)
}
