//! Which gateway has an elected role: broker of a service, bucket owner, tester of a cause.

use std::rc::Rc;

use super::state::Shared;
use crate::broker::{ElectionKey, rank_candidates};
use crate::model::{PeerId, ServiceId};
use crate::peers::Candidate;

impl Shared {
    /// Candidates in election order for a service, its broker first.
    pub(super) fn ranked_brokers(&self, service: ServiceId) -> Rc<[PeerId]> {
        self.ranked_gateways(ElectionKey::Service(service))
    }

    /// Candidates in election order; the first one has the role of the election key.
    pub(super) fn ranked_gateways(&self, election_key: ElectionKey) -> Rc<[PeerId]> {
        let mut ranked = self.ranked_gateways.borrow_mut();
        let rank = || {
            let mut candidates = self.peers.borrow().candidates(self.clock.now());
            if !self.is_leaving() || candidates.is_empty() {
                let cores = self.settings.borrow().cores;
                candidates.push(Candidate { id: self.process_id, cores });
            }
            rank_candidates(election_key, &candidates).into()
        };
        ranked.entry(election_key).or_insert_with(rank).clone()
    }

    /// Updates the candidates for elected roles. If they have changed, clears the cached election
    /// orders, and hands over the buckets that another gateway owns now.
    pub(super) fn update_candidates(&self) {
        let now = self.clock.now();
        let mut ids: Vec<PeerId> =
            self.peers.borrow().candidates(now).iter().map(|candidate| candidate.id).collect();
        if !self.is_leaving() {
            ids.push(self.process_id);
        }
        ids.sort_unstable();
        if *self.candidate_ids.borrow() == ids {
            return;
        }
        self.candidate_ids.replace(ids);
        self.ranked_gateways.borrow_mut().clear();
        let handed_over = self
            .bucket_owner
            .borrow_mut()
            .update_members(|customer| self.bucket_role(customer), now);
        self.send_bucket_levels(handed_over, true);
    }
}
