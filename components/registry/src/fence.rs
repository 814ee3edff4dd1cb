//! What an agent remembers of other agents' indexes, to refuse what an outdated one allowed.

use std::collections::HashMap;

use identity::{ProcessId, UpstreamId};
use wire::{Registration, RequestKey};

use crate::IndexOwners;

/// Status of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistrationStatus {
    /// It holds.
    Valid,
    /// The index that recorded it has been replaced.
    Stale,
}

/// The indexes that this agent has been told of.
#[derive(Debug, Default)]
pub struct OwnerFence {
    owners: Option<IndexOwners>,
    processes: HashMap<UpstreamId, ProcessId>,
}

impl OwnerFence {
    /// Records that `process` holds the index of `owner` from now on, in this set of owners.
    pub fn update_owner(&mut self, owner: UpstreamId, process: ProcessId, owners: IndexOwners) {
        self.processes.insert(owner, process);
        let newer = |held: &IndexOwners| held.set_id().version <= owners.set_id().version;
        if self.owners.as_ref().is_none_or(newer) {
            self.owners = Some(owners);
        }
    }

    /// Checks whether a registered request may still be dispatched.
    pub fn check_registration(&self, key: &RequestKey, by: &Registration) -> RegistrationStatus {
        let owners = self.owners.as_ref();
        if owners.is_some_and(|owners| owners.owner_of(key) != Some(&by.index_owner)) {
            return RegistrationStatus::Stale;
        }
        match self.processes.get(&by.index_owner) {
            Some(process) if *process != by.process => RegistrationStatus::Stale,
            _ => RegistrationStatus::Valid,
        }
    }
}
