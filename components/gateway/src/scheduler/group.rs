//! What the scheduler learns of the other entries, and what it tells them.

use std::collections::HashMap;

use super::candidates::Candidates;
use super::tracked::{Load, Tracked};
use super::yielding::{Waiting, service_id};
use super::{Entry, Rank, SMALL_GROUP, Scheduler, shares};

impl Scheduler {
    /// Takes in which other entries there are.
    pub fn set_entries(&mut self, others: Vec<Entry>) {
        self.entries = others;
        self.share_places();
    }

    pub(super) fn is_large_group(&self) -> bool {
        self.entries.len() + 1 > SMALL_GROUP
    }

    pub(super) fn share_places(&mut self) {
        let large_group = self.is_large_group();
        let own_zone = &self.places.own_zone;
        let neighbours: Vec<u64> = self
            .entries
            .iter()
            .filter(|entry| entry.zone == *own_zone)
            .map(|entry| entry.id)
            .collect();
        for tracked in self.upstreams.values_mut() {
            let in_zone = tracked.upstream.zone == *own_zone;
            let slots = tracked.upstream.slots;
            tracked.own_share = if large_group && in_zone {
                shares::own_share(tracked.short_id, slots, self.own_id, &neighbours)
            } else {
                0
            };
            tracked.kept_clear =
                if large_group && !in_zone { shares::kept_clear(slots) } else { 0 };
        }
        self.candidates = Candidates::new(self.upstreams.values(), &self.places);
        let short_id = |tracked: &Tracked| (tracked.short_id, tracked.upstream.instance.clone());
        self.by_short_id = self.upstreams.values().map(short_id).collect();
    }

    /// Takes in what a peer has in flight and what waits there; replaces what it said before.
    pub fn hear_peer(
        &mut self,
        peer: u64,
        loads: &HashMap<u32, Load>,
        waiting: &[Waiting],
        replaced: &[u32],
    ) {
        if !self.is_large_group() {
            self.owed.hear(peer, waiting, self.entries.len() + 1);
        }
        self.forget_loads(peer);
        for (short_id, load) in loads {
            if let Some(tracked) = self.tracked_by(*short_id) {
                tracked.others.add(*load);
            }
        }
        self.heard.insert(peer, loads.clone());
        for short_id in replaced {
            if let Some(tracked) = self.tracked_by(*short_id) {
                tracked.is_gone = true;
            }
        }
    }

    fn tracked_by(&mut self, short_id: u32) -> Option<&mut Tracked> {
        self.upstreams.get_mut(self.by_short_id.get(&short_id)?)
    }

    fn forget_loads(&mut self, peer: u64) {
        for (short_id, load) in self.heard.remove(&peer).unwrap_or_default() {
            if let Some(tracked) = self.tracked_by(short_id) {
                tracked.others.take_off(load);
            }
        }
    }

    /// Forgets what peers that are gone had in flight.
    pub fn keep_peers(&mut self, is_member: impl Fn(u64) -> bool) {
        self.owed.keep_peers(&is_member);
        let gone: Vec<u64> = self.heard.keys().copied().filter(|peer| !is_member(*peer)).collect();
        for peer in gone {
            self.forget_loads(peer);
        }
    }

    /// What this process has in flight, by the short id of the upstream.
    pub fn own_loads(&self) -> impl Iterator<Item = (u32, Load)> + '_ {
        let busy = self.upstreams.values().filter(|tracked| tracked.own != Load::default());
        busy.map(|tracked| (tracked.short_id, tracked.own))
    }

    /// Upstreams whose address belongs to another instance, by their short ids.
    pub fn replaced(&self) -> Vec<u32> {
        let gone = self.upstreams.values().filter(|tracked| tracked.is_gone);
        gone.map(|tracked| tracked.short_id).collect()
    }

    /// What waits here, for the other entries.
    pub fn own_waiting(&self) -> Vec<Waiting> {
        let counts = self.queue.counts();
        let describe = |((service, rank), count): (&(&str, Rank), &u32)| Waiting {
            service: service_id(service),
            rank: *rank,
            count: *count,
        };
        counts.iter().map(describe).collect()
    }

    /// Whether requests wait, here or at another entry, so that entries should tell each other of
    /// changes at once.
    pub fn is_contended(&self) -> bool {
        self.queue.len() > 0 || self.owed.is_any()
    }
}
