//! Filter that rejects new requests while this process drains before a planned stop.

use std::time::Duration;

use errors::{Refusal, ResultCode};

use super::{Filter, FilterContext, FilterDecision};

/// Retry time given to the caller, who should then reach another entry host.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Filter that rejects new requests while this process drains.
#[derive(Debug)]
pub struct Admit;

impl Filter for Admit {
    fn name(&self) -> &'static str {
        "admit"
    }

    fn apply(&self, context: &mut FilterContext<'_>) -> FilterDecision {
        if context.view.draining {
            let refusal = Refusal::not_run(ResultCode::Draining);
            return FilterDecision::Reject(refusal.with_retry_after(DRAINING_RETRY_AFTER));
        }
        FilterDecision::Continue
    }
}
