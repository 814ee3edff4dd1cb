//! Which upstreams may be used, from what the store says and how well it can be heard.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::model::{InstanceId, Upstream};

/// How long an entry that vanished around an outage of the store stays usable after the store's
/// return. Live upstreams whose entries lapsed announce themselves again within this time.
pub const REJOIN_GRACE: Duration = Duration::from_millis(2_000);

#[derive(Debug)]
struct Entry {
    upstream: Upstream,
    fingerprint: u64,
    missing: bool,
}

fn fingerprint_of(upstream: &Upstream) -> u64 {
    let Upstream { instance, started_unix_ms, service, address, zone, slots, draining } = upstream;
    let text =
        format!("{instance} {started_unix_ms} {service} {address} {zone} {slots} {draining}");
    xxh3_64(text.as_bytes())
}

/// Upstreams as announced in the store.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    entries: BTreeMap<InstanceId, Entry>,
    /// Of the entries that are not missing; kept, as it is asked for at every digest.
    fingerprint: u64,
    store_away: bool,
    rejoin_until: Option<Instant>,
}

/// What a change did to the upstream table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamTableChange {
    /// Nothing that matters to placement.
    None,
    /// The usable upstreams changed.
    Usable,
}

impl UpstreamTable {
    /// Takes in an announcement.
    pub fn upsert(&mut self, upstream: Upstream) -> UpstreamTableChange {
        let known = self.entries.get(&upstream.instance);
        if known.is_some_and(|entry| !entry.missing && entry.upstream == upstream) {
            return UpstreamTableChange::None;
        }
        let instance = upstream.instance.clone();
        let fingerprint = fingerprint_of(&upstream);
        let before = self.entries.insert(instance, Entry { upstream, fingerprint, missing: false });
        self.fingerprint ^= fingerprint;
        self.forget(before);
        UpstreamTableChange::Usable
    }

    /// Takes an entry that was replaced or removed out of the fingerprint.
    fn forget(&mut self, before: Option<Entry>) {
        if let Some(entry) = before.filter(|entry| !entry.missing) {
            self.fingerprint ^= entry.fingerprint;
        }
    }

    /// Takes in that an announcement is gone.
    pub fn remove(&mut self, instance: &str, now: Instant) -> UpstreamTableChange {
        if self.store_away || self.rejoin_until.is_some_and(|until| now < until) {
            if let Some(entry) = self.entries.get_mut(instance).filter(|entry| !entry.missing) {
                entry.missing = true;
                self.fingerprint ^= entry.fingerprint;
            }
            return UpstreamTableChange::None;
        }
        let before = self.entries.remove(instance);
        let change =
            if before.is_some() { UpstreamTableChange::Usable } else { UpstreamTableChange::None };
        self.forget(before);
        change
    }

    /// Takes in all announcements that stand in the store.
    pub fn replace_all(&mut self, listed: Vec<Upstream>, now: Instant) -> UpstreamTableChange {
        let instances: HashSet<&InstanceId> =
            listed.iter().map(|upstream| &upstream.instance).collect();
        let is_unlisted = |instance: &&InstanceId| !instances.contains(instance);
        let unlisted: Vec<InstanceId> = self.entries.keys().filter(is_unlisted).cloned().collect();
        let mut change = UpstreamTableChange::None;
        for instance in unlisted {
            if self.remove(&instance, now) == UpstreamTableChange::Usable {
                change = UpstreamTableChange::Usable;
            }
        }
        for upstream in listed {
            if self.upsert(upstream) == UpstreamTableChange::Usable {
                change = UpstreamTableChange::Usable;
            }
        }
        change
    }

    /// Takes in that the store cannot be heard.
    pub fn mark_store_lost(&mut self) {
        self.store_away = true;
    }

    /// Takes in that the store can be heard again.
    pub fn mark_store_regained(&mut self, now: Instant) {
        if std::mem::take(&mut self.store_away) {
            self.rejoin_until = Some(now + REJOIN_GRACE);
        }
    }

    /// Drops entries that did not come back in time after the store's return.
    pub fn expire_missing(&mut self, now: Instant) -> UpstreamTableChange {
        if self.rejoin_until.is_none_or(|until| now < until) {
            return UpstreamTableChange::None;
        }
        self.rejoin_until = None;
        let before = self.entries.len();
        self.entries.retain(|_, entry| !entry.missing);
        if self.entries.len() == before {
            UpstreamTableChange::None
        } else {
            UpstreamTableChange::Usable
        }
    }

    /// What is known, as a number that is the same at entries that know the same.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Whether no upstream may be used.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The upstreams that may be used, draining ones included.
    pub fn usable(&self) -> Vec<Upstream> {
        self.entries.values().map(|entry| entry.upstream.clone()).collect()
    }
}
