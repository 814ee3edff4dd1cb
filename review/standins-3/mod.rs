//! Stand-ins of the platform's store, and the gateway as a process, for the cases of this review.

pub mod engines;
pub mod gateway;
pub mod http;
pub mod json;
pub mod link;
pub mod record;
pub mod store;
pub mod worker;
