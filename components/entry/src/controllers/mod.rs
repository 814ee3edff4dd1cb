//! Controllers keep the state that filters read; each is a folder.

pub mod claims;
pub mod configuration;
pub mod leases;
pub mod membership;
