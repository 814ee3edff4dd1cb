//! Scheduling decisions: placement of requests on upstreams for the entry process; the queue, the
//! concurrency limit and preemption for the agent.
//!
//! The crate does no I/O and never waits. A decision is computed from borrowed state and the
//! current time, and returned as a value. The same code runs in the entry process, in the agent and
//! in replay.

pub mod adaptive_limiter;
pub mod cost;
pub mod placement;
pub mod preempt;
pub mod prefix;
pub mod queue;
pub mod recent;
pub mod retry;
