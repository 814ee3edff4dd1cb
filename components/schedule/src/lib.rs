//! Decisions: which upstream, in what order, and what gives way.
//!
//! No I/O and no waiting: a borrowed view and the time come in, an enum of what to do comes out.
//! The same code runs in the entry process, in the agent and in replay.

pub mod adaptive_limiter;
pub mod cost;
pub mod placement;
pub mod preempt;
pub mod prefix;
pub mod queue;
pub mod recent;
pub mod retry;
