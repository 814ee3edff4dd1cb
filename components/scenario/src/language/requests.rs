//! Script functions that send model requests and bookings, and the properties of a response.

use std::time::Duration;

use rhai::{Dynamic, Engine, Map};

use super::run_state::SharedRunState;
use super::trace::Trace;
use super::{CallResult, from_script, lock, script_error, to_script};
use crate::{Booking, CallerResponse, ModelRequest, PendingResponse};

/// Timeout of a script for the end of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) fn register(engine: &mut Engine, run_state: &SharedRunState) {
    let shared = run_state.clone();
    engine.register_fn("ask", move |entry: &str, argument: Map| {
        send_model_request(&shared, entry, argument)
    });
    let shared = run_state.clone();
    engine.register_fn("book", move |entry: &str, argument: Map| {
        send_booking(&shared, entry, argument)
    });
    let trace = lock(run_state).trace.clone();
    engine
        .register_fn("answer", move |pending: &mut PendingResponse| wait_for_end(&trace, pending));
    engine.register_fn("so_far", |pending: &mut PendingResponse| pending.partial_response());
    engine.register_fn(
        "tokens_come",
        |pending: &mut PendingResponse, tokens: i64| -> CallResult<()> {
            if pending
                .wait_for_tokens(usize::try_from(tokens).map_err(script_error)?, RESPONSE_TIMEOUT)
            {
                return Ok(());
            }
            Err(script_error(format!(
                "{tokens} tokens did not arrive in time: {:?}",
                pending.partial_response()
            )))
        },
    );
    register_properties(engine);
}

fn register_properties(engine: &mut Engine) {
    engine.register_type_with_name::<PendingResponse>("Pending");
    engine.register_type_with_name::<CallerResponse>("Answer");
    engine.register_get("status", |response: &mut CallerResponse| i64::from(response.status));
    engine.register_get("code", |response: &mut CallerResponse| response.code().cast_signed());
    engine.register_get("outcome", |response: &mut CallerResponse| response.outcome());
    engine.register_get("text", |response: &mut CallerResponse| response.text());
    engine.register_get("tokens", |response: &mut CallerResponse| response.tokens() as i64);
    engine.register_get("whole", |response: &mut CallerResponse| response.is_complete());
    engine.register_get("crossed", |response: &mut CallerResponse| response.has_foreign_text());
    engine.register_get("ended", |response: &mut CallerResponse| response.ended);
    engine.register_get("id", |response: &mut CallerResponse| response.request_id.clone());
    engine.register_get("body", |response: &mut CallerResponse| response.body.clone());
    engine.register_get("json", |response: &mut CallerResponse| -> CallResult<Dynamic> {
        to_script(&response.json())
    });
    engine.register_fn("to_string", |response: &mut CallerResponse| describe(response));
}

fn send_model_request(
    run_state: &SharedRunState,
    entry: &str,
    argument: Map,
) -> CallResult<PendingResponse> {
    let request: ModelRequest = from_script(argument)?;
    let mut run_state = lock(run_state);
    let (customer, id, tokens) = (&request.customer, &request.id, request.tokens);
    run_state
        .trace
        .record(&format!("model request of {customer} to {entry}: id={id} tokens={tokens}"));
    run_state.fleet()?.send_model_request(entry, &request).map_err(script_error)
}

fn send_booking(
    run_state: &SharedRunState,
    entry: &str,
    argument: Map,
) -> CallResult<PendingResponse> {
    let booking: Booking = from_script(argument)?;
    let mut run_state = lock(run_state);
    run_state
        .trace
        .record(&format!("booking of {} at {entry}: key={}", booking.customer, booking.key));
    run_state.fleet()?.send_booking(entry, &booking).map_err(script_error)
}

fn wait_for_end(trace: &Trace, pending: &mut PendingResponse) -> CallerResponse {
    let response = pending.wait_for_end(RESPONSE_TIMEOUT);
    if pending.mark_traced() {
        trace.record(&format!("received {}", describe(&response)));
    }
    response
}

/// One line that describes a response, for the trace.
fn describe(response: &CallerResponse) -> String {
    let mut text = format!("id={} status={}", response.request_id, response.status);
    if !response.expected_text.is_empty() {
        text += &format!(" tokens={} whole={}", response.tokens(), response.is_complete());
    }
    if response.code() > 0 {
        text += &format!(" code={} outcome={}", response.code(), response.outcome());
    }
    if let Some(error) = &response.error {
        text += &format!(" error: {error}");
    }
    text
}
