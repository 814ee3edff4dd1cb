//! Intake of requests: the connections that a listener has accepted, and requests until they have been
//! received completely.
//!
//! The decision modules `connection_table`, `request_head` and `byte_budget` do no I/O: they take facts
//! and the current time and return decisions. `connection`, `head_filter` and `server` carry the decisions
//! out below and beside the HTTP server of ntex, on one thread.

mod accept;
mod body;
pub mod byte_budget;
mod connection;
pub mod connection_table;
mod head_filter;
mod intake;
mod refusal;
pub mod request_head;
mod server;

pub use accept::accept_connections;
pub use body::IncomingBody;
pub use connection::{Connection, RequestGuard};
pub use intake::{Intake, IntakeLimits};
pub use refusal::{build_refusal, no_room};
pub use server::{configure_server, serve_connection};
