//! Entry process: accepts callers' HTTP requests and dispatches them to agents over gRPC.
//!
//! Each request runs through the `filters` in order. `controllers` contain the state machines that
//! the filters and the dispatch of requests rely on, which do no I/O, and the operations on claims
//! and audit records in the store. `runtime` is the layer of sockets and tasks that carries out
//! what both decide.

pub mod controllers;
pub mod filters;
mod runtime;
mod settings;

pub use runtime::{Entry, EntryHandle};
pub use settings::{CallerSettings, PeerSettings, PlatformSettings, Settings};
