//! The shard of the placement index that one agent holds.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use identity::{DispatchEpoch, ProcessId, UpstreamId};
use wire::RequestKey;

use crate::OwnerSetId;

/// Retention of placement records: longer than any deadline, and longer than agents hold responses.
const PLACEMENT_RETENTION: Duration = Duration::from_secs(900);

/// Time that a sender has to fill the index before another sender is asked to do so.
const FILL_TIMEOUT: Duration = Duration::from_secs(6);

/// Record of the upstream on which a request is placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRecord {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Process of the upstream's agent.
    pub process: ProcessId,
    /// Epoch of the dispatch.
    pub epoch: DispatchEpoch,
}

/// Request from a sender to the index owner to record a placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistrationRequest {
    /// Key of the placed request.
    pub key: RequestKey,
    /// Upstream on which the request is to be placed.
    pub upstream: UpstreamId,
    /// Process of the upstream's agent.
    pub process: ProcessId,
    /// Earlier placement that never ran and that this one replaces.
    pub superseded: Option<PlacementRecord>,
}

/// Outcome of a registration request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegisterOutcome {
    /// The placement is recorded; the sender may dispatch the request.
    Recorded(PlacementRecord),
    /// The request was placed before; the record of that placement is returned.
    AlreadyPlaced(PlacementRecord),
    /// The index is incomplete; the sender has to fill it and then retry.
    IndexIncomplete,
    /// The request cannot be registered yet, as another sender fills the index or the index follows
    /// a newer set of owners. The sender has to retry later.
    RetryLater,
}

/// Index of placements by request.
///
/// A new index is incomplete: it accepts no registrations until a sender has filled it with the
/// placements that other agents know of.
#[derive(Debug)]
pub struct PlacementIndex {
    first_epoch: DispatchEpoch,
    complete_for: Option<OwnerSetId>,
    fill_in_progress: Option<(OwnerSetId, Instant)>,
    placements: HashMap<RequestKey, (PlacementRecord, Instant)>,
}

impl PlacementIndex {
    /// Creates an empty, incomplete index.
    ///
    /// Its epochs start at `first_epoch`, which must differ from one process to the next: a
    /// placement recorded by a lost index must never be mistaken for one recorded by this index.
    pub fn new(first_epoch: DispatchEpoch) -> PlacementIndex {
        PlacementIndex {
            first_epoch,
            complete_for: None,
            fill_in_progress: None,
            placements: HashMap::new(),
        }
    }

    /// Records the placement of a request, or returns its earlier placement if there is one.
    pub fn register(
        &mut self,
        request: RegistrationRequest,
        owner_set: OwnerSetId,
        now: Instant,
    ) -> RegisterOutcome {
        if let Some(outcome) = self.check_completeness(owner_set, now) {
            return outcome;
        }
        let next_record = |previous_epoch: u64| PlacementRecord {
            upstream: request.upstream.clone(),
            process: request.process.clone(),
            epoch: self.first_epoch.max(DispatchEpoch(previous_epoch + 1)),
        };
        let placement = match (self.placements.get(&request.key), &request.superseded) {
            (Some((recorded, _)), Some(superseded)) if recorded == superseded => {
                next_record(recorded.epoch.0)
            }
            (Some((recorded, _)), _) => return RegisterOutcome::AlreadyPlaced(recorded.clone()),
            (None, Some(superseded)) => next_record(superseded.epoch.0),
            (None, None) => next_record(0),
        };
        self.placements.insert(request.key, (placement.clone(), now));
        RegisterOutcome::Recorded(placement)
    }

    /// Merges placements known to other agents. Of several placements of one request, recorded or
    /// merged, the one with the highest epoch is kept.
    pub fn merge(
        &mut self,
        placements: impl IntoIterator<Item = (RequestKey, PlacementRecord)>,
        now: Instant,
    ) {
        for (key, placement) in placements {
            let is_newer =
                self.placements.get(&key).is_none_or(|(known, _)| known.epoch < placement.epoch);
            if is_newer {
                self.placements.insert(key, (placement, now));
            }
        }
    }

    /// Marks the index as complete for a set of owners if it is being filled for this set.
    pub fn mark_complete(&mut self, owner_set: OwnerSetId) {
        if self.fill_in_progress.is_some_and(|(filling, _)| filling == owner_set) {
            self.fill_in_progress = None;
            self.complete_for = Some(owner_set);
        }
    }

    /// Marks the index as incomplete, so that the next sender fills it again.
    pub fn mark_incomplete(&mut self) {
        self.complete_for = None;
    }

    /// Iterates over all placements, to fill another agent's index with them.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestKey, &PlacementRecord)> {
        self.placements.iter().map(|(key, (placement, _))| (key, placement))
    }

    /// Evicts placements whose retention has ended.
    pub fn evict_expired(&mut self, now: Instant) {
        self.placements.retain(|_, (_, recorded_at)| {
            now.saturating_duration_since(*recorded_at) <= PLACEMENT_RETENTION
        });
    }

    /// Returns `None` if the index is complete for the sender's set of owners, else the outcome of
    /// the registration.
    fn check_completeness(
        &mut self,
        owner_set: OwnerSetId,
        now: Instant,
    ) -> Option<RegisterOutcome> {
        if let Some(complete) = &mut self.complete_for {
            if complete.digest == owner_set.digest {
                complete.version = complete.version.max(owner_set.version);
                return None;
            }
            if owner_set.version < complete.version {
                return Some(RegisterOutcome::RetryLater);
            }
        }
        match self.fill_in_progress {
            Some((filling, deadline)) if deadline > now && filling.version >= owner_set.version => {
                Some(RegisterOutcome::RetryLater)
            }
            _ => {
                self.complete_for = None;
                self.fill_in_progress = Some((owner_set, now + FILL_TIMEOUT));
                Some(RegisterOutcome::IndexIncomplete)
            }
        }
    }
}
