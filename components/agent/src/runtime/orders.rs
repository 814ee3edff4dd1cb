//! Forwards orders to the engine, one at a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Refusal, ResultCode};
use log::{info, warn};
use wire::Order;

use super::Shared;
use crate::controllers::orders::OrderDecision;

/// Interval at which an order is submitted again while another one is in progress.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Forwards an order to the engine if its fencing token allows it, and returns the engine's result.
pub(super) async fn forward_order(shared: Arc<Shared>, order: Order) -> Result<(), Refusal> {
    let expires_at = shared.clock.now() + order.time_left;
    wait_until_admitted(&shared, &order, expires_at).await?;
    // A task of its own, so that the sequencer learns when the order has completed even if the
    // sender closes the connection and this future is dropped.
    let task = tokio::spawn(send_order(shared, order, expires_at));
    task.await.unwrap_or_else(|_| Err(Refusal::not_run(ResultCode::Internal)))
}

async fn wait_until_admitted(
    shared: &Shared,
    order: &Order,
    expires_at: Instant,
) -> Result<(), Refusal> {
    loop {
        let decision = shared.order_sequencer().admit_order(&order.agent_process, order.token);
        match decision {
            OrderDecision::Forward => return Ok(()),
            OrderDecision::Reject(refusal) => {
                warn!("order token={} refused: {refusal}", order.token);
                return Err(refusal);
            }
            OrderDecision::Busy if shared.clock.now() >= expires_at => {
                return Err(expired_refusal());
            }
            OrderDecision::Busy => tokio::time::sleep(BUSY_POLL_INTERVAL).await,
        }
    }
}

async fn send_order(shared: Arc<Shared>, order: Order, expires_at: Instant) -> Result<(), Refusal> {
    let result = if shared.clock.now() >= expires_at {
        Err(expired_refusal())
    } else {
        shared.upstream.execute_order(&order).await
    };
    shared.order_sequencer().complete_order(order.token);
    info!("order token={} {:?} done={}", order.token, order.command, result.is_ok());
    result
}

/// Returns the refusal of an order whose sender's lease may have expired.
fn expired_refusal() -> Refusal {
    Refusal::not_run(ResultCode::DeadlinePassed)
}
