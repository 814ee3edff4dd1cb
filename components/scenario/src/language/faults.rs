//! Script functions that inject faults and end them.

use std::time::Duration;

use rhai::{Engine, Map};
use serde_json::{Value, json};

use super::run_state::SharedRunState;
use super::{CallResult, from_script, lock, script_error};
use crate::{Direction, Fleet, Relay};

/// Timeout for a process to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

const STORE: &str = "store";

type ProcessAction = fn(&mut Fleet, &str) -> anyhow::Result<()>;
type RelayAction = fn(&Relay);

/// Script functions whose argument is the name of a process.
const PROCESS_ACTIONS: [(&str, ProcessAction); 5] = [
    ("kill", |fleet, name| fleet.kill(name)),
    ("restart", |fleet, name| fleet.restart(name)),
    ("freeze", |fleet, name| fleet.process(name)?.suspend()),
    ("thaw", |fleet, name| fleet.process(name)?.resume()),
    ("terminate", |fleet, name| fleet.process(name)?.terminate()),
];

/// Script functions whose argument is the name of a relay.
const RELAY_ACTIONS: [(&str, RelayAction); 6] = [
    ("cut", Relay::close_connections),
    ("refuse", Relay::refuse_connections),
    ("mend", Relay::restore),
    ("silence_forward", |relay| relay.silence_connections(Direction::Forward)),
    ("silence_backward", |relay| relay.silence_connections(Direction::Backward)),
    ("silence", |relay| {
        relay.silence_connections(Direction::Forward);
        relay.silence_connections(Direction::Backward);
    }),
];

pub(super) fn register(engine: &mut Engine, run_state: &SharedRunState) {
    for (function, action) in PROCESS_ACTIONS {
        let shared = run_state.clone();
        engine.register_fn(function, move |name: &str| {
            apply_to_process(&shared, function, action, name)
        });
    }
    for (function, action) in RELAY_ACTIONS {
        let shared = run_state.clone();
        engine.register_fn(function, move |name: &str| {
            apply_to_relay(&shared, function, action, name)
        });
    }
    let shared = run_state.clone();
    engine.register_fn("stop", move |name: &str| stop_process(&shared, name));
    let shared = run_state.clone();
    engine.register_fn("faults", move |name: &str, argument: Map| {
        let faults: Value = from_script(argument)?;
        set_faults(&shared, name, &faults)
    });
    register_store_faults(engine, run_state);
}

fn register_store_faults(engine: &mut Engine, run_state: &SharedRunState) {
    let shared = run_state.clone();
    engine.register_fn("store_outage", move |outage: bool| {
        set_faults(&shared, STORE, &json!({ "outage": outage }))
    });
    let shared = run_state.clone();
    engine.register_fn("store_slow", move |delay_ms: i64| {
        set_faults(&shared, STORE, &json!({ "delay_ms": delay_ms }))
    });
    let shared = run_state.clone();
    engine.register_fn("lose_replies", move |count: i64| {
        set_faults(&shared, STORE, &json!({ "lost_replies": count }))
    });
}

fn apply_to_process(
    run_state: &SharedRunState,
    function: &str,
    action: ProcessAction,
    name: &str,
) -> CallResult<()> {
    let mut run_state = lock(run_state);
    run_state.trace.record(&format!("{function} {name}"));
    action(run_state.fleet()?, name).map_err(script_error)
}

fn apply_to_relay(
    run_state: &SharedRunState,
    function: &str,
    action: RelayAction,
    name: &str,
) -> CallResult<()> {
    let mut run_state = lock(run_state);
    run_state.trace.record(&format!("{function} {name}"));
    action(run_state.fleet()?.relay(name).map_err(script_error)?);
    Ok(())
}

fn stop_process(run_state: &SharedRunState, name: &str) -> CallResult<i64> {
    let mut run_state = lock(run_state);
    run_state.trace.record(&format!("stop {name}"));
    let code = run_state.fleet()?.stop(name, STOP_TIMEOUT).map_err(script_error)?;
    let code =
        code.ok_or_else(|| script_error(format!("{name} did not exit in time after SIGTERM")))?;
    run_state.trace.record(&format!("{name} exited with code {code}"));
    Ok(code.into())
}

fn set_faults(run_state: &SharedRunState, name: &str, faults: &Value) -> CallResult<()> {
    let mut run_state = lock(run_state);
    run_state.trace.record(&format!("setting faults of {name}: {faults}"));
    run_state.fleet()?.set_faults(name, faults).map_err(script_error)
}
