//! Calls that ask and book, and what can be read of an answer.

use std::time::Duration;

use rhai::{Dynamic, Engine, Map};

use super::trace::Trace;
use super::world::Shared;
use super::{Called, fail, lock, read, show};
use crate::{Booking, CallerResponse, ModelRequest, PendingResponse};

/// How long an answer may take before it counts as never ended.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);

pub(super) fn register(engine: &mut Engine, world: &Shared) {
    let shared = world.clone();
    engine.register_fn("ask", move |entry: &str, given: Map| ask(&shared, entry, given));
    let shared = world.clone();
    engine.register_fn("book", move |entry: &str, given: Map| book(&shared, entry, given));
    let trace = lock(world).trace.clone();
    engine.register_fn("answer", move |pending: &mut PendingResponse| wait(&trace, pending));
    engine.register_fn("so_far", |pending: &mut PendingResponse| pending.partial_response());
    engine.register_fn("tokens_come", |pending: &mut PendingResponse, tokens: i64| -> Called<()> {
        if pending.wait_for_tokens(usize::try_from(tokens).map_err(fail)?, ANSWER_LIMIT) {
            return Ok(());
        }
        Err(fail(format!("{tokens} tokens did not come: {:?}", pending.partial_response())))
    });
    register_getters(engine);
}

fn register_getters(engine: &mut Engine) {
    engine.register_type_with_name::<PendingResponse>("Pending");
    engine.register_type_with_name::<CallerResponse>("Answer");
    engine.register_get("status", |answer: &mut CallerResponse| i64::from(answer.status));
    engine.register_get("code", |answer: &mut CallerResponse| answer.code().cast_signed());
    engine.register_get("outcome", |answer: &mut CallerResponse| answer.outcome());
    engine.register_get("text", |answer: &mut CallerResponse| answer.text());
    engine.register_get("tokens", |answer: &mut CallerResponse| answer.tokens() as i64);
    engine.register_get("whole", |answer: &mut CallerResponse| answer.is_whole());
    engine.register_get("crossed", |answer: &mut CallerResponse| answer.is_crossed());
    engine.register_get("ended", |answer: &mut CallerResponse| answer.ended);
    engine.register_get("id", |answer: &mut CallerResponse| answer.request_id.clone());
    engine.register_get("body", |answer: &mut CallerResponse| answer.body.clone());
    engine.register_get("json", |answer: &mut CallerResponse| -> Called<Dynamic> {
        show(&answer.json())
    });
    engine.register_fn("to_string", |answer: &mut CallerResponse| describe(answer));
}

fn ask(world: &Shared, entry: &str, given: Map) -> Called<PendingResponse> {
    let asked: ModelRequest = read(given)?;
    let mut world = lock(world);
    let (customer, id, tokens) = (&asked.customer, &asked.id, asked.tokens);
    world.trace.say(&format!("{customer} asks {entry}: id={id} tokens={tokens}"));
    world.fleet()?.send_model_request(entry, &asked).map_err(fail)
}

fn book(world: &Shared, entry: &str, given: Map) -> Called<PendingResponse> {
    let booking: Booking = read(given)?;
    let mut world = lock(world);
    world.trace.say(&format!("{} books at {entry}: key={}", booking.customer, booking.key));
    world.fleet()?.send_booking(entry, &booking).map_err(fail)
}

fn wait(trace: &Trace, pending: &mut PendingResponse) -> CallerResponse {
    let answer = pending.wait(ANSWER_LIMIT);
    if pending.is_first_look() {
        trace.say(&format!("answer {}", describe(&answer)));
    }
    answer
}

fn describe(answer: &CallerResponse) -> String {
    let mut text = format!("id={} status={}", answer.request_id, answer.status);
    if !answer.expected.is_empty() {
        text += &format!(" tokens={} whole={}", answer.tokens(), answer.is_whole());
    }
    if answer.code() > 0 {
        text += &format!(" code={} outcome={}", answer.code(), answer.outcome());
    }
    if let Some(broken) = &answer.broken {
        text += &format!(" broken: {broken}");
    }
    text
}
