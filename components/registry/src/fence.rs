//! Fence against dispatches that were registered at an index which has since been replaced.
//!
//! An index can be lost with its owner's process, or move to another owner. Before the new index is
//! complete, every agent that can be reached learns of its owner. From then on the agent rejects
//! dispatches that only the old index allowed.

use std::collections::HashMap;

use identity::{ProcessId, UpstreamId};
use wire::{Registration, RequestKey};

use crate::IndexOwners;

/// Status of a registration at the time of its dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistrationStatus {
    /// The request may be dispatched.
    Valid,
    /// The index that recorded the registration has been replaced.
    Stale,
}

/// The latest index owners known to this agent, and the process of each.
#[derive(Debug, Default)]
pub struct OwnerFence {
    latest_owners: Option<IndexOwners>,
    owner_processes: HashMap<UpstreamId, ProcessId>,
}

impl OwnerFence {
    /// Records that `process` now holds the index of `owner`, and the set of owners unless a newer
    /// one is known.
    pub fn update_owner(&mut self, owner: UpstreamId, process: ProcessId, owners: IndexOwners) {
        self.owner_processes.insert(owner, process);
        let is_not_newer = |known: &IndexOwners| known.set_id().version <= owners.set_id().version;
        if self.latest_owners.as_ref().is_none_or(is_not_newer) {
            self.latest_owners = Some(owners);
        }
    }

    /// Checks whether a request may still be dispatched under its registration.
    pub fn check_registration(
        &self,
        key: &RequestKey,
        registration: &Registration,
    ) -> RegistrationStatus {
        let owners = self.latest_owners.as_ref();
        if owners.is_some_and(|owners| owners.owner_of(key) != Some(&registration.index_owner)) {
            return RegistrationStatus::Stale;
        }
        match self.owner_processes.get(&registration.index_owner) {
            Some(process) if *process != registration.process => RegistrationStatus::Stale,
            _ => RegistrationStatus::Valid,
        }
    }
}
