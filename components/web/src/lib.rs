//! HTTP server and client with an interface that is independent of the async runtime.
//!
//! An ntex worker is single-threaded, and the client's connections are not `Send`. Therefore the
//! server runs on its own threads and calls a `Handler`, and the client runs on its own thread and
//! receives requests over a channel. The interface of this crate exposes no types of ntex or hyper.

mod client;
mod message;
mod server;

pub use client::{Client, ClientError, ClientResponse};
pub use message::{Body, BodySender, Headers, Request, Response};
pub use server::{Handler, Server, ServerHandle, ServerLimits};
