//! Orders to an engine (load a model, change role) in the order of their fencing tokens.
//!
//! Some engines check tokens and some ignore them, so the agent checks for all. One order is in
//! hand at a time: a newer token does not overtake an order that was passed on and whose end is not
//! known yet, since an engine that ignores tokens could apply the two in either order. An order
//! names the agent process that it is for, since a new process has not seen the tokens of the old.

use errors::{Refusal, ResultCode};
use identity::{FencingToken, ProcessId};

/// Whether an order goes to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on now, with its token.
    Pass,
    /// Another order is in hand; ask again when it has ended.
    Busy,
    /// A newer token has been seen.
    Refuse(Refusal),
}

/// Tokens seen by one agent process.
#[derive(Debug)]
pub struct Orders {
    process: ProcessId,
    highest: FencingToken,
    in_hand: Option<FencingToken>,
}

impl Orders {
    /// An agent that has seen no token.
    pub fn new(process: ProcessId) -> Orders {
        Orders { process, highest: FencingToken::default(), in_hand: None }
    }

    /// Takes an order before it is passed on.
    pub fn on_order(&mut self, process: &ProcessId, token: FencingToken) -> Verdict {
        if *process != self.process {
            let refusal = Refusal::not_run(ResultCode::StaleFencingToken);
            return Verdict::Refuse(refusal.with_message("The order is for another process."));
        }
        if token < self.highest {
            let message = format!("token {token}; {} has been seen", self.highest);
            let refusal = Refusal::not_run(ResultCode::StaleFencingToken);
            return Verdict::Refuse(refusal.with_message(message));
        }
        self.highest = token;
        if self.in_hand.is_some() {
            return Verdict::Busy;
        }
        self.in_hand = Some(token);
        Verdict::Pass
    }

    /// Notes that the order in hand has ended or was not sent.
    pub fn on_end(&mut self, token: FencingToken) {
        if self.in_hand == Some(token) {
            self.in_hand = None;
        }
    }
}
