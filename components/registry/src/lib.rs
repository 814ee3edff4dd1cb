//! Where each request that its caller may ask for again is placed.
//!
//! Each such request has a home: the agent that `Homes` gives for its key. The home's `Index` says
//! where the request was placed; `Fence` refuses hand-overs that an older index allowed. No I/O.

mod convert;
mod fence;
mod homes;
mod index;

pub use convert::{from_entry, to_entry};
pub use fence::{Fence, Standing};
pub use homes::{HomeSet, Homes};
pub use index::{Index, Placed, Registered, Wish};
