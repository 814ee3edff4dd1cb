//! The process between callers and agents.
//!
//! A request passes the `filters` in order; `controllers` keep the state that the filters read;
//! `shell` is the thin layer of sockets and tasks around both.

pub mod controllers;
pub mod filters;
mod settings;
mod shell;

pub use settings::{PeerSettings, PlatformSettings, Settings};
pub use shell::{Entry, EntryHandle};
