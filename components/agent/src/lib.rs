//! The process beside an upstream: the only one that talks to it.
//!
//! `core` and `controllers` decide and do no I/O; `upstream` holds the adapters; `runtime` is the
//! thin layer of sockets and tasks around them.

pub mod controllers;
pub mod core;
mod runtime;
mod settings;
pub mod upstream;

pub use runtime::{Agent, AgentHandle};
pub use settings::{Settings, UpstreamSettings};
