//! Messages between the processes of this system, as generated protobuf types and as domain types,
//! with conversions between the two.
//!
//! The code under `generated` is generated from `proto/dragonflyfront.proto` by
//! `cargo run -p generate`, followed by `cargo fmt --all`.

mod convert;
mod message;

/// Generated messages, clients and servers.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[path = "generated/dragonflyfront.v1.rs"]
pub mod v1;

pub use convert::WireError;
pub use message::{
    Claim, Command, Dispatch, Envelope, LoadDigest, ModelCall, Order, Registration, RequestKey,
    ResponseEvent, ServiceCall, Work,
};
