//! Replays traces against the production decision code in simulated time.
//!
//! Placement, the agents' queues and preemption are the code that runs in production; engines are
//! simplified models. The same trace, policy and seed give the same figures on every machine.

pub mod engine;
pub mod figures;
pub mod generate;
pub mod policy;
pub mod simulation;
pub mod trace;

pub use figures::Figures;
pub use policy::Policy;
pub use simulation::{Options, replay};
pub use trace::Trace;
