//! The numbered configuration: its form, its checks, its patches, how it lies in the platform's
//! store, how it spreads, and the snapshot in force.

mod check;
mod document;
mod in_force;
pub mod layout;
mod patch;
pub mod repository;
pub mod sync;

pub use check::find_faults;
pub use document::{
    CallRule, Customer, Document, Grant, Model, Region, RequestLimits, Service, Upstream,
    UpstreamKind,
};
pub use in_force::{InForce, Offer, Snapshot};
pub use patch::{PatchError, apply_patch};
