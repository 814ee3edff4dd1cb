//! Spreads the configuration between the system's processes.
//!
//! `configuration::sync` decides whom to ask; this component asks, and answers others.

mod ask;
mod connections;
mod run;
mod serve;

pub use run::{PeerSync, PeerSyncHandle};
pub use serve::PeerService;
