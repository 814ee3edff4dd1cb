//! Stand-ins for the cases of this review: store, workers and clients, and gateway processes.

pub mod client;
pub mod gateway;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
pub mod worker;
