//! A fleet of real processes on loopback, for tests: started, faulted, asked and ended.
//!
//! The product does not depend on this component; it is the only one that starts processes.

mod answer;
mod caller;
mod fleet;
mod language;
mod plan;
mod process;
mod relay;

pub use answer::CallerResponse;
pub use caller::{Booking, ModelRequest, PendingResponse};
pub use fleet::{Fleet, Programs, Submission};
pub use language::{RunOptions, RunReport, Script};
pub use plan::{EnginePlan, Plan, ServicePlan, bearer_key_of};
pub use process::Process;
pub use relay::{Direction, Relay};
