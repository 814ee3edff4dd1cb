//! Small stand-ins for what the platform and the users provide; the product does not need them.

pub mod engine;
pub mod hosts;
pub mod service;
pub mod store;
