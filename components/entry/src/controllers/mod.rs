//! State machines that the filters and the dispatch of requests rely on, and operations on claims
//! and audit records in the store.

pub mod claims;
pub mod configuration;
pub mod leases;
pub mod membership;
