//! Layout of the configuration in the platform's store.
//!
//! A small index is updated by compare-and-swap. It refers to immutable objects, which are written
//! before the index that refers to them.

mod object;
mod parts;
mod records;

pub use object::ObjectKey;
pub use parts::{LayoutError, Parts};
pub use records::{Delta, Index, Log, LogEntry, Manifest};

/// Store key of the index.
pub const INDEX_KEY: &str = "configuration/index";

/// Maximum size of a stored value; the store accepts values of up to one megabyte.
pub const VALUE_LIMIT_BYTES: usize = 900_000;

/// Maximum size of a patch that is retained in its delta. After a larger patch, processes fetch the
/// parts that it changed.
pub const DELTA_LIMIT_BYTES: usize = 64 << 10;

/// Maximum number of versions that a process can catch up on by deltas alone.
pub const RETAINED_DELTAS: usize = 16;

/// Maximum number of accepted patches in the log.
pub const RETAINED_LOG_ENTRIES: usize = 600;

/// Number of versions for which unreferenced objects are retained for slow readers.
pub const RETAINED_VERSIONS: u64 = 16;
