//! Index of the placements of requests that their callers may retry.
//!
//! The index is sharded over the agents of a region: `IndexOwners` assigns each such request to one
//! agent, its index owner. The owner records in its `PlacementIndex` where the request was placed,
//! so that a retry does not run it a second time. `OwnerFence` rejects dispatches that were
//! registered at an index that has since been replaced. The crate does no I/O.

mod convert;
mod fence;
mod index;
mod owners;

pub use convert::{from_held_entry, to_held_entry};
pub use fence::{OwnerFence, RegistrationStatus};
pub use index::{PlacementIndex, PlacementRecord, RegisterOutcome, RegistrationRequest};
pub use owners::{IndexOwners, OwnerSetId};
