//! The process beside an upstream: the only one that talks to it.
//!
//! `core` and `controllers` decide and do no I/O; `upstream` holds the adapters; `shell` is the thin layer of
//! sockets and tasks around them.

pub mod controllers;
pub mod core;
mod settings;
mod shell;
pub mod upstream;

pub use settings::{Settings, UpstreamSettings};
pub use shell::{Agent, AgentHandle};
