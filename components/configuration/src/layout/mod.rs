//! How a document lies in the platform's store: one small index that is changed by
//! compare-and-swap, and objects that are written before it and never change.

mod object;
mod parts;
mod records;

pub use object::ObjectKey;
pub use parts::{LayoutError, Parts};
pub use records::{Delta, Index, Log, LogEntry, Manifest};

/// Key of the index.
pub const INDEX_KEY: &str = "configuration/index";

/// Largest value that is written; the store takes a megabyte.
pub const VALUE_LIMIT_BYTES: usize = 900_000;

/// Largest patch that is kept as a delta; nodes fetch the parts that a larger one changed.
pub const DELTA_LIMIT_BYTES: usize = 64 << 10;

/// Versions that a node can catch up by deltas alone.
pub const RETAINED_DELTAS: usize = 16;

/// Versions that the log goes back.
pub const RETAINED_LOG_ENTRIES: usize = 600;

/// Versions for which objects that nothing refers to any more are kept for slow readers.
pub const RETAINED_VERSIONS: u64 = 16;
