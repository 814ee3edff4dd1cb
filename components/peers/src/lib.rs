//! Distributes the configuration between the processes of the system.
//!
//! The state machine in `configuration::sync` selects the sources to query. This crate queries them
//! over gRPC or in the store, installs newer configurations, and serves the active configuration to
//! other processes.

mod connections;
mod fetch;
mod serve;
mod sync;

pub use serve::PeerService;
pub use sync::{PeerSync, PeerSyncHandle};
