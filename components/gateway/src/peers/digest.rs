//! The message that entries send each other.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::allowance::{Granted, PeerId};
use crate::scheduler::{Load, Waiting};

/// What an entry has in flight and has granted. Each digest stands alone, so that a lost one costs
/// nothing but age.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's process.
    pub from: PeerId,
    /// Orders the digests of a process.
    pub sequence: u32,
    /// The configuration in force at the sender.
    pub version: u64,
    /// What the sender knows of the store, as a fingerprint.
    pub fingerprint: u64,
    /// How long ago the store confirmed that.
    pub confirmed_ms_ago: Option<u32>,
    /// The newest digests that the sender got from entries of its zone.
    pub echoes: Vec<(PeerId, u32)>,
    /// Work in flight, by the short id of the upstream.
    pub loads: Vec<(u32, Load)>,
    /// Upstreams whose address belongs to another instance, by their short ids.
    pub replaced: Vec<u32>,
    /// Requests that wait.
    pub waiting: Vec<Waiting>,
    /// What it says of customers' allowances.
    pub granted: Vec<Granted>,
}

/// The bytes are no digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DigestError(String);

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a digest: {}", self.0)
    }
}

impl std::error::Error for DigestError {}

impl Digest {
    /// The bytes of a datagram.
    pub fn encode(&self) -> Result<Vec<u8>, DigestError> {
        postcard::to_stdvec(self).map_err(|error| DigestError(error.to_string()))
    }

    /// Reads a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Digest, DigestError> {
        postcard::from_bytes(bytes).map_err(|error| DigestError(error.to_string()))
    }
}
