//! The numbered configuration: its form, its checks, its patches, how it lies in the platform's
//! store, how it spreads, and the snapshot in force.

mod active;
mod check;
mod document;
pub mod layout;
mod patch;
pub mod repository;
pub mod sync;

pub use active::{ActiveConfiguration, InstallOutcome, Snapshot};
pub use check::find_faults;
pub use document::{
    CallRule, Customer, Document, Grant, Model, Region, RequestLimits, Service, Upstream,
    UpstreamKind,
};
pub use patch::{PatchError, apply_patch};
