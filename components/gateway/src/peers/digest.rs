//! What entries tell each other regularly.

use serde::{Deserialize, Serialize};

use crate::model::PeerId;

/// What an entry knows of the store. Each digest stands alone, so that a lost one
/// costs nothing but age.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's process.
    pub from: PeerId,
    /// Orders the digests of a process.
    pub sequence: u32,
    /// Whether the sender leaves to others what one entry does for all.
    pub leaving: bool,
    /// The configuration in force at the sender.
    pub version: u64,
    /// What the sender knows of the store, as a fingerprint.
    pub fingerprint: u64,
    /// How long ago the store confirmed that.
    pub confirmed_ms_ago: Option<u32>,
    /// The newest digests that the sender got from entries of its zone.
    pub acknowledged: Vec<(PeerId, u32)>,
}
