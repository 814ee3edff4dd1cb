//! Filter that determines the customer, from the bearer key, and the id of the request.

use errors::{Refusal, ResultCode};
use identity::RequestId;
use wire::RequestKey;

use super::{Filter, FilterContext, FilterDecision};

const BEARER_PREFIX: &str = "Bearer ";

/// Longest request id or idempotency key that a caller may choose.
const MAX_ID_BYTES: usize = 128;

/// Filter that sets the customer and the request key.
#[derive(Debug)]
pub struct Identify;

impl Filter for Identify {
    fn name(&self) -> &'static str {
        "identify"
    }

    fn apply(&self, context: &mut FilterContext<'_>) -> FilterDecision {
        let headers = &context.request.headers;
        let key = headers.get("authorization").and_then(|value| value.strip_prefix(BEARER_PREFIX));
        let customer =
            key.and_then(|key| context.view.configuration.find_customer_by_key(key.trim()));
        let Some(customer) = customer.cloned() else {
            return FilterDecision::Reject(Refusal::not_run(ResultCode::UnknownKey));
        };
        let request_id = match headers.get("x-request-id") {
            None => RequestId::random(),
            Some(given) if is_valid_id(given) => RequestId::new(given),
            Some(_) => {
                let message = "X-Request-Id: allowed are 1 to 128 of A-Z a-z 0-9 . _ : -";
                let refusal = Refusal::not_run(ResultCode::FieldOutOfRange);
                return FilterDecision::Reject(refusal.with_message(message));
            }
        };
        context.key = Some(RequestKey { customer: customer.clone(), request_id });
        context.customer = Some(customer);
        FilterDecision::Continue
    }
}

/// Whether a caller's id or key is safe to use in logs, paths and store keys.
pub(crate) fn is_valid_id(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}
