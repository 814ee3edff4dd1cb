//! Orders to an engine (load a model, change role) in the order of their fencing tokens.
//!
//! Some engines check tokens and some ignore them, so the agent checks for all. One order is in
//! hand at a time: a newer token does not overtake an order that was passed on and whose end is not
//! known yet, since an engine that ignores tokens could apply the two in either order. An order
//! names the agent process that it is for, since a new process has not seen the tokens of the old.

use errors::{Refusal, ResultCode};
use identity::{FencingToken, ProcessId};

/// Decision on an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderDecision {
    /// Forward it to the engine now, with its token.
    Forward,
    /// Another order is in hand; ask again when it has ended.
    Busy,
    /// A newer token has been seen.
    Reject(Refusal),
}

/// Sequences the orders to an engine by the fencing tokens that one agent process has seen.
#[derive(Debug)]
pub struct OrderSequencer {
    process: ProcessId,
    highest: FencingToken,
    in_hand: Option<FencingToken>,
}

impl OrderSequencer {
    /// An agent that has seen no token.
    pub fn new(process: ProcessId) -> OrderSequencer {
        OrderSequencer { process, highest: FencingToken::default(), in_hand: None }
    }

    /// Admits or rejects an order before it is forwarded.
    pub fn admit_order(&mut self, process: &ProcessId, token: FencingToken) -> OrderDecision {
        if *process != self.process {
            let refusal = Refusal::not_run(ResultCode::StaleFencingToken);
            return OrderDecision::Reject(
                refusal.with_message("The order is for another process."),
            );
        }
        if token < self.highest {
            let message = format!("token {token}; {} has been seen", self.highest);
            let refusal = Refusal::not_run(ResultCode::StaleFencingToken);
            return OrderDecision::Reject(refusal.with_message(message));
        }
        self.highest = token;
        if self.in_hand.is_some() {
            return OrderDecision::Busy;
        }
        self.in_hand = Some(token);
        OrderDecision::Forward
    }

    /// Records that the order in hand has ended or was not sent.
    pub fn complete_order(&mut self, token: FencingToken) {
        if self.in_hand == Some(token) {
            self.in_hand = None;
        }
    }
}
