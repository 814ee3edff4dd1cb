//! Controllers keep the state that filters read; each is a folder.

pub mod configuration;
