//! Test harness that runs the real programs as processes on loopback, injects faults into them and
//! into the relays between them, and sends them requests. Scenarios are scripts in rhai.
//!
//! The product does not depend on this crate; it is the only component that starts processes.

mod caller;
mod fleet;
mod language;
mod plan;
mod process;
mod relay;
mod response;

pub use caller::{Booking, ModelRequest, PendingResponse};
pub use fleet::{Fleet, LoopbackIps, PatchSubmission, ProgramPaths};
pub use language::{RunOptions, RunReport, Script};
pub use plan::{EnginePlan, FleetPlan, ServicePlan, bearer_key_of};
pub use process::Process;
pub use relay::{Direction, Relay};
pub use response::CallerResponse;
