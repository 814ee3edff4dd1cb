//! Messages between the system's own processes, and their conversions to and from the domain.
//!
//! The code under `generated` comes from `proto/dragonflyfront.proto` by `cargo run -p generate`.

mod convert;
mod event;

/// Generated messages, clients and servers.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[path = "generated/dragonflyfront.v1.rs"]
pub mod v1;

pub use convert::WireError;
pub use event::{
    Claim, Command, Dispatch, Envelope, LoadDigest, ModelCall, Order, Registration, RequestKey,
    ResponseEvent, ServiceCall, Work,
};
