//! HTTP server and client on ntex, behind types that any runtime can hold.
//!
//! An ntex worker is single-threaded and its client is not `Send`. The server runs in threads of
//! its own and calls a `Handler`; the client runs in a thread of its own and is reached by a
//! channel. Nothing outside this component names ntex.

mod client;
mod message;
mod server;

pub use client::{Client, ClientError, ClientResponse};
pub use message::{Body, BodySender, Headers, Request, Response};
pub use server::{Handler, Server, ServerHandle};
