//! Forwards orders to an engine (load a model, change role) in the order of their fencing tokens.
//!
//! Some engines check fencing tokens and some ignore them, so the agent checks them for every
//! engine. Only one order is in progress at a time: an order with a newer token has to wait until
//! the result of the previous order is known, since an engine that ignores tokens could apply the
//! two in either order. An order names the agent process that it is for, since a restarted agent
//! does not know the tokens that the previous process has seen.

use errors::{Refusal, ResultCode};
use identity::{FencingToken, ProcessId};

/// Decision on an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderDecision {
    /// Forward the order to the engine now, with its token.
    Forward,
    /// Another order is in progress; submit this one again when that has completed.
    Busy,
    /// The order is for another agent process, or a newer token has been seen.
    Reject(Refusal),
}

/// Sequences the orders to an engine by the fencing tokens that one agent process has seen.
#[derive(Debug)]
pub struct OrderSequencer {
    process: ProcessId,
    highest_token: FencingToken,
    /// Token of the order that has been forwarded and has not completed.
    in_progress: Option<FencingToken>,
}

impl OrderSequencer {
    /// Creates a sequencer that has seen no token.
    pub fn new(process: ProcessId) -> OrderSequencer {
        OrderSequencer { process, highest_token: FencingToken::default(), in_progress: None }
    }

    /// Decides whether an order may be forwarded now.
    pub fn admit_order(&mut self, process: &ProcessId, token: FencingToken) -> OrderDecision {
        if *process != self.process {
            let refusal = Refusal::not_run(ResultCode::StaleFencingToken);
            return OrderDecision::Reject(
                refusal.with_message("The order is for another agent process."),
            );
        }
        if token < self.highest_token {
            let message = format!(
                "Fencing token {token} is older than {}, which has been seen.",
                self.highest_token
            );
            let refusal = Refusal::not_run(ResultCode::StaleFencingToken);
            return OrderDecision::Reject(refusal.with_message(message));
        }
        self.highest_token = token;
        if self.in_progress.is_some() {
            return OrderDecision::Busy;
        }
        self.in_progress = Some(token);
        OrderDecision::Forward
    }

    /// Records that the order in progress has completed or was not sent.
    pub fn complete_order(&mut self, token: FencingToken) {
        if self.in_progress == Some(token) {
            self.in_progress = None;
        }
    }
}
