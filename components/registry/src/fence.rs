//! What an agent remembers of other agents' indexes, to refuse what an outdated one allowed.

use std::collections::HashMap;

use identity::{ProcessId, UpstreamId};
use wire::{Registration, RequestKey};

use crate::Homes;

/// How a registration stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It holds.
    Good,
    /// The index that recorded it has been replaced.
    Outdated,
}

/// The indexes that this agent has been told of.
#[derive(Debug, Default)]
pub struct Fence {
    homes: Option<Homes>,
    processes: HashMap<UpstreamId, ProcessId>,
}

impl Fence {
    /// Learns that `process` holds the index of `home` from now on, in this set of homes.
    pub fn learn(&mut self, home: UpstreamId, process: ProcessId, homes: Homes) {
        self.processes.insert(home, process);
        let newer = |held: &Homes| held.set().version <= homes.set().version;
        if self.homes.as_ref().is_none_or(newer) {
            self.homes = Some(homes);
        }
    }

    /// Whether a registered request may still be handed over.
    pub fn judge(&self, key: &RequestKey, by: &Registration) -> Standing {
        let homes = self.homes.as_ref();
        if homes.is_some_and(|homes| homes.of(key) != Some(&by.home)) {
            return Standing::Outdated;
        }
        match self.processes.get(&by.home) {
            Some(process) if *process != by.process => Standing::Outdated,
            _ => Standing::Good,
        }
    }
}
