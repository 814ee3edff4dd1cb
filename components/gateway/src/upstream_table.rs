//! Table of usable upstreams, built from the store's announcements and kept through store outages.
//!
//! Load pattern: a store that comes back without announcements of upstreams that run, because their
//! leases ended meanwhile or because it was restored from an older copy.

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::model::{InstanceId, Upstream};

/// Time after a store outage for which upstreams without an announcement stay usable. Live
/// upstreams whose announcements expired announce themselves again within this time.
pub const REJOIN_GRACE: Duration = Duration::from_millis(2_000);

#[derive(Debug)]
struct Entry {
    upstream: Upstream,
    fingerprint: u64,
    missing: bool,
}

fn fingerprint_of(upstream: &Upstream) -> u64 {
    let Upstream { instance, started_unix_ms, service, address, zone, version, slots, draining } =
        upstream;
    let text = format!(
        "{instance} {started_unix_ms} {service} {address} {zone} {version} {slots} {draining}"
    );
    xxh3_64(text.as_bytes())
}

/// Upstreams as announced in the store.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    entries: BTreeMap<InstanceId, Entry>,
    /// Combined fingerprint of the entries that are not missing; cached since every digest contains
    /// it.
    fingerprint: u64,
    store_lost: bool,
    rejoin_until: Option<Instant>,
}

/// Effect of a change on the upstream table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamTableChange {
    /// No effect on placement.
    None,
    /// The set of usable upstreams, or one of them, has changed.
    Usable,
}

impl UpstreamTable {
    /// Adds or replaces an announced upstream.
    pub fn upsert(&mut self, upstream: Upstream) -> UpstreamTableChange {
        let known = self.entries.get(&upstream.instance);
        if known.is_some_and(|entry| !entry.missing && entry.upstream == upstream) {
            return UpstreamTableChange::None;
        }
        let instance = upstream.instance.clone();
        let fingerprint = fingerprint_of(&upstream);
        let before = self.entries.insert(instance, Entry { upstream, fingerprint, missing: false });
        self.fingerprint ^= fingerprint;
        self.remove_from_fingerprint(before);
        UpstreamTableChange::Usable
    }

    /// Removes a replaced or removed entry from the combined fingerprint.
    fn remove_from_fingerprint(&mut self, before: Option<Entry>) {
        if let Some(entry) = before.filter(|entry| !entry.missing) {
            self.fingerprint ^= entry.fingerprint;
        }
    }

    /// Removes an upstream whose announcement is gone. During and shortly after a store outage it
    /// is only marked as missing and stays usable.
    pub fn remove(&mut self, instance: &str, now: Instant) -> UpstreamTableChange {
        if self.store_lost || self.rejoin_until.is_some_and(|until| now < until) {
            if let Some(entry) = self.entries.get_mut(instance).filter(|entry| !entry.missing) {
                entry.missing = true;
                self.fingerprint ^= entry.fingerprint;
            }
            return UpstreamTableChange::None;
        }
        let before = self.entries.remove(instance);
        let change =
            if before.is_some() { UpstreamTableChange::Usable } else { UpstreamTableChange::None };
        self.remove_from_fingerprint(before);
        change
    }

    /// Replaces the table by all announcements that are in the store.
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

    /// Records that the store is unreachable. Returns whether that is news.
    pub fn mark_store_lost(&mut self) -> bool {
        !std::mem::replace(&mut self.store_lost, true)
    }

    /// Records that the store is reachable again. Returns whether that is news.
    pub fn mark_store_regained(&mut self, now: Instant) -> bool {
        let was_lost = std::mem::take(&mut self.store_lost);
        if was_lost {
            self.rejoin_until = Some(now + REJOIN_GRACE);
        }
        was_lost
    }

    /// Records that the store has come back from an older copy: announcements that it lacks are
    /// written again if their upstreams still run.
    pub fn mark_store_restored(&mut self, now: Instant) {
        self.rejoin_until = Some(now + REJOIN_GRACE);
    }

    /// Removes upstreams that were not announced again within the grace period after a store
    /// outage.
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

    /// Fingerprint of the upstreams that are not missing; equal on gateways that know the same
    /// ones.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Whether there are no usable upstreams.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Software version that an instance announces, or last announced.
    pub fn version_of(&self, instance: &str) -> Option<Rc<str>> {
        self.entries.get(instance).map(|entry| entry.upstream.version.clone())
    }

    /// Usable upstreams, including draining ones.
    pub fn usable(&self) -> Vec<Upstream> {
        self.entries.values().map(|entry| entry.upstream.clone()).collect()
    }
}
