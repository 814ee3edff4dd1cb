//! The versioned configuration: document, validation, patches, layout in the platform's store,
//! synchronization between processes and the active snapshot.

mod active;
mod document;
pub mod layout;
mod patch;
pub mod repository;
pub mod sync;
mod validate;

pub use active::{ActiveConfiguration, InstallOutcome, Snapshot};
pub use document::{
    CallRule, Customer, Document, Grant, Model, Region, RequestLimits, Service, Upstream,
    UpstreamKind,
};
pub use patch::{PatchError, apply_patch};
pub use validate::validate_document;
