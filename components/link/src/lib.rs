//! HTTP/1.1 client for single connections, each used only on the thread that opened it.
//!
//! The caller of this crate chooses the connection for each request, and the error of a failed
//! request tells whether the request can have reached the server. hyper's connection-level client
//! is used because ntex's client hides connections behind its pool.

mod connection;
mod limited_stream;
mod pool;
mod transfer;

pub use connection::{
    Connection, LinkError, LinkResponse, Timeouts, connect, read_body, read_held_body,
    read_transfer,
};
pub use pool::Pool;
pub use transfer::{TransferLimits, TransferProgress};
