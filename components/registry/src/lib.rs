//! Where each request that its caller may ask for again is placed.
//!
//! Each such request has an index owner: the agent that `IndexOwners` gives for its key. The
//! owner's `PlacementIndex` records where the request was placed; `OwnerFence` rejects dispatches
//! that an older index allowed. No I/O.

mod convert;
mod fence;
mod index;
mod owners;

pub use convert::{from_held_entry, to_held_entry};
pub use fence::{OwnerFence, RegistrationStatus};
pub use index::{PlacementIndex, PlacementRecord, RegisterOutcome, RegistrationRequest};
pub use owners::{IndexOwners, OwnerSetId};
