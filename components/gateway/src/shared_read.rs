//! Changes that one gateway has read from the store and passes on to the others of its zone.
//!
//! Load pattern: upstreams that come and go all the time before a hundred gateways. If each gateway
//! had to read the store after each change, the calls to the store would grow with the gateways.

use serde::{Deserialize, Serialize};

use crate::model::Position;

/// Largest size of keys and values that are passed on together, in bytes, so that they fit into a
/// datagram.
const MAX_SHARED_BYTES: usize = 24 << 10;

/// A change of one key of the store. The platform's adapter decodes the value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedChange {
    /// Key.
    pub key: String,
    /// Value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// Position of the change in the store's history.
    pub position: Position,
}

impl SharedChange {
    fn size_bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// All changes between two positions of the store's history that matter to gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedRead {
    /// Position after which the changes follow.
    pub after: Position,
    /// Position up to which they are complete.
    pub position: Position,
    /// The changes, in their order.
    pub changes: Vec<SharedChange>,
}

impl SharedRead {
    /// Splits the read into consecutive ones that fit into a datagram each. Ends before a change
    /// that does not fit by itself; gateways then read the rest from the store.
    pub fn split(self) -> Vec<SharedRead> {
        let SharedRead { after, position, changes } = self;
        let mut parts = Vec::new();
        let mut part = SharedRead { after, position: after, changes: Vec::new() };
        let mut part_bytes = 0;
        for change in changes {
            let size_bytes = change.size_bytes();
            if size_bytes > MAX_SHARED_BYTES {
                parts.push(part);
                return parts;
            }
            if part_bytes + size_bytes > MAX_SHARED_BYTES {
                let next = SharedRead {
                    after: part.position,
                    position: part.position,
                    changes: Vec::new(),
                };
                parts.push(std::mem::replace(&mut part, next));
                part_bytes = 0;
            }
            part_bytes += size_bytes;
            part.position = change.position;
            part.changes.push(change);
        }
        part.position = position;
        parts.push(part);
        parts
    }
}

/// Applies the reads that other gateways share.
pub trait SharedReadReceiver {
    /// Applies a read that continues at the position up to which this gateway knows the store.
    fn receive(&self, read: SharedRead);
    /// Applies everything that the store held at the position of the read.
    fn receive_all(&self, read: SharedRead);
}
