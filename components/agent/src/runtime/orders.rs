//! Passes orders on to the engine, one at a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Refusal, ResultCode};
use log::{info, warn};
use wire::Order;

use super::Shared;
use crate::controllers::orders::OrderDecision;

/// How often an order that waits for another looks again.
const BUSY_POLL: Duration = Duration::from_millis(20);

/// Takes an order through the check of its token to the engine.
pub(super) async fn pass_on(shared: Arc<Shared>, order: Order) -> Result<(), Refusal> {
    let expires_at = shared.clock.now() + order.time_left;
    await_turn(&shared, &order, expires_at).await?;
    // The sender may go away; the order in hand still has to end.
    let sent = tokio::spawn(send(shared, order, expires_at));
    sent.await.unwrap_or_else(|_| Err(Refusal::not_run(ResultCode::Internal)))
}

async fn await_turn(shared: &Shared, order: &Order, expires_at: Instant) -> Result<(), Refusal> {
    loop {
        let decision = shared.orders().admit_order(&order.agent_process, order.token);
        match decision {
            OrderDecision::Forward => return Ok(()),
            OrderDecision::Reject(refusal) => {
                warn!("order token={} refused: {refusal}", order.token);
                return Err(refusal);
            }
            OrderDecision::Busy if shared.clock.now() >= expires_at => return Err(expired()),
            OrderDecision::Busy => tokio::time::sleep(BUSY_POLL).await,
        }
    }
}

async fn send(shared: Arc<Shared>, order: Order, expires_at: Instant) -> Result<(), Refusal> {
    let result = if shared.clock.now() >= expires_at {
        Err(expired())
    } else {
        shared.upstream.order(&order).await
    };
    shared.orders().complete_order(order.token);
    info!("order token={} {:?} done={}", order.token, order.command, result.is_ok());
    result
}

/// The sender's lease may have lapsed by now.
fn expired() -> Refusal {
    Refusal::not_run(ResultCode::DeadlinePassed)
}
