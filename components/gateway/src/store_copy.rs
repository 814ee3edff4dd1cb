//! Copy of the part of the store that matters to gateways, from which a gateway tells those of its
//! zone what they do not know.
//!
//! Load pattern: a configuration larger than a datagram before a zone of eighteen gateways that
//! share a link to the store. One of them reads it there; the others ask that one for all changes
//! after their own positions, over a connection within the zone.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::model::Position;
use crate::shared_read::{SharedChange, SharedRead};

/// Maximum number of removed keys that are remembered. A gateway whose position is before the
/// removals that have been forgotten gets everything.
const MAX_REMOVALS: usize = 1_024;

/// What a gateway does not know yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingChanges {
    /// Whether the changes are all keys of the store, so that others no longer exist.
    pub is_everything: bool,
    /// The changes, with the positions that they connect.
    pub read: SharedRead,
}

/// The keys of the store, each with its last change.
#[derive(Debug, Default)]
pub struct StoreCopy {
    changes: BTreeMap<String, SharedChange>,
    /// Removed keys, the oldest removal first.
    removals: VecDeque<(Position, String)>,
    /// Position after which all removals are known.
    complete_after: Position,
}

impl StoreCopy {
    /// Replaces the copy by all keys of the store at a position.
    pub fn replace_all(&mut self, items: Vec<SharedChange>, position: Position) {
        self.changes = items.into_iter().map(|item| (item.key.clone(), item)).collect();
        self.removals.clear();
        self.complete_after = position;
    }

    /// Applies changes in their order.
    pub fn apply(&mut self, changes: &[SharedChange]) {
        for change in changes {
            if change.value.is_none() {
                self.removals.push_back((change.position, change.key.clone()));
            }
            self.changes.insert(change.key.clone(), change.clone());
        }
        while self.removals.len() > MAX_REMOVALS {
            self.forget_oldest_removal();
        }
    }

    fn forget_oldest_removal(&mut self) {
        let Some((position, key)) = self.removals.pop_front() else { return };
        self.complete_after = self.complete_after.max(position);
        let is_this_removal =
            |change: &SharedChange| change.value.is_none() && change.position == position;
        if self.changes.get(&key).is_some_and(is_this_removal) {
            self.changes.remove(&key);
        }
    }

    /// What a gateway that knows the store up to `after` does not know, if this one knows it up to
    /// `position`; `None` if that is nothing.
    pub fn changes_after(&self, after: Position, position: Position) -> Option<MissingChanges> {
        if after >= position {
            return None;
        }
        let is_everything = after < self.complete_after;
        let is_missing = |change: &&SharedChange| {
            if is_everything { change.value.is_some() } else { change.position > after }
        };
        let changes = self.changes.values().filter(is_missing).cloned().collect();
        Some(MissingChanges { is_everything, read: SharedRead { after, position, changes } })
    }
}
