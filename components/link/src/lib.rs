//! HTTP/1.1 connections, one by one, on the thread that uses them.
//!
//! The caller of this component decides which connection carries which request, and learns whether
//! a request that failed can have reached the other side. hyper's connection-level client is used
//! because ntex's client hides the connection behind its pool.

mod connection;
mod pool;

pub use connection::{Connection, LinkError, LinkResponse, Timeouts, connect, read_whole};
pub use pool::Pool;
