//! The agent: a process that runs beside an upstream and is the only one that talks to it.
//!
//! `core` and `controllers` make the decisions and do no I/O; `upstream` contains the adapters to
//! upstreams; `runtime` is the thin layer of sockets and tasks around them.

pub mod controllers;
pub mod core;
mod runtime;
mod settings;
pub mod upstream;

pub use runtime::{Agent, AgentHandle};
pub use settings::{Settings, UpstreamSettings};
