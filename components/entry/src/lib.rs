//! The process between callers and agents.
//!
//! A request passes the `filters` in order; `controllers` keep the state that the filters read;
//! `runtime` is the thin layer of sockets and tasks around both.

pub mod controllers;
pub mod filters;
mod runtime;
mod settings;

pub use runtime::{Entry, EntryHandle};
pub use settings::{PeerSettings, PlatformSettings, Settings};
