//! Calls that wait, draw by the seed, say and expect.

use std::thread;
use std::time::{Duration, Instant};

use rand::Rng;
use rhai::{Array, Dynamic, Engine, FnPtr, NativeCallContext};

use super::world::Shared;
use super::{Called, fail, lock};

/// How often a condition is looked at again.
const POLL: Duration = Duration::from_millis(25);

pub(super) fn register(engine: &mut Engine, world: &Shared) {
    engine.register_fn("wait_ms", |ms: i64| thread::sleep(milliseconds(ms)));
    let shared = world.clone();
    engine.register_fn("say", move |text: &str| lock(&shared).trace.say(text));
    engine.on_print(|_| {});
    let shared = world.clone();
    engine.register_fn("expect", move |is_met: bool, text: &str| expect(&shared, is_met, text));
    let shared = world.clone();
    engine.register_fn(
        "eventually",
        move |context: NativeCallContext, limit_ms: i64, is_met: FnPtr| {
            eventually(&shared, &context, limit_ms, &is_met)
        },
    );
    let shared = world.clone();
    engine.register_fn("rounds", move |usual: i64| lock(&shared).rounds.unwrap_or(usual));
    let shared = world.clone();
    engine.register_fn("draw", move |below: i64| -> Called<i64> {
        if below < 1 {
            return Err(fail("draw: allowed 1 or more"));
        }
        Ok(lock(&shared).rng.random_range(0..below))
    });
    let shared = world.clone();
    engine.register_fn("pick", move |from: Array| -> Called<Dynamic> {
        if from.is_empty() {
            return Err(fail("pick: given an empty array"));
        }
        let index = lock(&shared).rng.random_range(0..from.len());
        Ok(from[index].clone())
    });
}

fn expect(world: &Shared, is_met: bool, text: &str) -> Called<()> {
    if !is_met {
        return Err(fail(format!("expected: {text}")));
    }
    lock(world).trace.say(&format!("holds: {text}"));
    Ok(())
}

/// Whether the condition came to hold within the limit.
fn eventually(
    world: &Shared,
    context: &NativeCallContext<'_>,
    limit_ms: i64,
    is_met: &FnPtr,
) -> Called<bool> {
    let trace = lock(world).trace.clone();
    let started_at = Instant::now();
    trace.hush(true);
    let met = poll(context, started_at + milliseconds(limit_ms), is_met);
    trace.hush(false);
    match &met {
        Ok(true) => trace.say(&format!("came true after {} ms", started_at.elapsed().as_millis())),
        _ => trace.say(&format!("not true after {limit_ms} ms")),
    }
    met
}

fn poll(context: &NativeCallContext<'_>, ends_at: Instant, is_met: &FnPtr) -> Called<bool> {
    loop {
        if is_met.call_within_context::<bool>(context, ())? {
            return Ok(true);
        }
        if Instant::now() >= ends_at {
            return Ok(false);
        }
        thread::sleep(POLL);
    }
}

fn milliseconds(ms: i64) -> Duration {
    Duration::from_millis(ms.max(0).unsigned_abs())
}
