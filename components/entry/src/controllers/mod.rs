//! State machines and stored state behind the filters and the dispatch of requests.

pub mod claims;
pub mod configuration;
pub mod leases;
pub mod membership;
