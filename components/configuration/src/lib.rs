//! The numbered configuration: its form, its checks, its patches and the snapshot in force.

mod check;
mod document;
mod in_force;
mod patch;

pub use check::find_faults;
pub use document::{
    CallRule, Customer, Document, Grant, Model, Region, RequestLimits, Service, Upstream,
    UpstreamKind,
};
pub use in_force::{InForce, Offer, Snapshot};
pub use patch::apply_patch;
