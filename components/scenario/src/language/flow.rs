//! Script functions that wait, make random choices, write to the trace and check expectations.

use std::thread;
use std::time::{Duration, Instant};

use rand::Rng;
use rhai::{Array, Dynamic, Engine, FnPtr, NativeCallContext};

use super::run_state::SharedRunState;
use super::{CallResult, lock, script_error};

/// Interval at which `eventually` checks its condition.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(25);

pub(super) fn register(engine: &mut Engine, run_state: &SharedRunState) {
    engine.register_fn("wait_ms", |ms: i64| thread::sleep(duration_from_ms(ms)));
    let shared = run_state.clone();
    engine.register_fn("say", move |text: &str| lock(&shared).trace.record(text));
    engine.on_print(|_| {});
    let shared = run_state.clone();
    engine.register_fn("expect", move |is_met: bool, text: &str| expect(&shared, is_met, text));
    let shared = run_state.clone();
    engine.register_fn(
        "eventually",
        move |context: NativeCallContext, timeout_ms: i64, is_met: FnPtr| {
            eventually(&shared, &context, timeout_ms, &is_met)
        },
    );
    let shared = run_state.clone();
    engine.register_fn("rounds", move |default: i64| lock(&shared).rounds.unwrap_or(default));
    let shared = run_state.clone();
    engine.register_fn("draw", move |bound: i64| -> CallResult<i64> {
        if bound < 1 {
            return Err(script_error("draw: the bound must be at least 1"));
        }
        Ok(lock(&shared).rng.random_range(0..bound))
    });
    let shared = run_state.clone();
    engine.register_fn("pick", move |choices: Array| -> CallResult<Dynamic> {
        if choices.is_empty() {
            return Err(script_error("pick: the array is empty"));
        }
        let index = lock(&shared).rng.random_range(0..choices.len());
        Ok(choices[index].clone())
    });
}

fn expect(run_state: &SharedRunState, is_met: bool, text: &str) -> CallResult<()> {
    if !is_met {
        return Err(script_error(format!("expectation not met: {text}")));
    }
    lock(run_state).trace.record(&format!("expectation met: {text}"));
    Ok(())
}

/// Polls the condition and returns whether it was met before the timeout.
fn eventually(
    run_state: &SharedRunState,
    context: &NativeCallContext<'_>,
    timeout_ms: i64,
    is_met: &FnPtr,
) -> CallResult<bool> {
    let trace = lock(run_state).trace.clone();
    let started_at = Instant::now();
    trace.set_muted(true);
    let result = poll_condition(context, started_at + duration_from_ms(timeout_ms), is_met);
    trace.set_muted(false);
    match &result {
        Ok(true) => {
            trace.record(&format!("condition met after {} ms", started_at.elapsed().as_millis()))
        }
        _ => trace.record(&format!("condition not met after {timeout_ms} ms")),
    }
    result
}

fn poll_condition(
    context: &NativeCallContext<'_>,
    deadline: Instant,
    is_met: &FnPtr,
) -> CallResult<bool> {
    loop {
        if is_met.call_within_context::<bool>(context, ())? {
            return Ok(true);
        }
        if Instant::now() >= deadline {
            return Ok(false);
        }
        thread::sleep(CONDITION_POLL_INTERVAL);
    }
}

fn duration_from_ms(ms: i64) -> Duration {
    Duration::from_millis(ms.max(0).unsigned_abs())
}
