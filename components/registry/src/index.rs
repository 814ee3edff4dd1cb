//! The part of the index that one agent holds.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use identity::{DispatchEpoch, ProcessId, UpstreamId};
use wire::RequestKey;

use crate::OwnerSetId;

/// How long a placement is remembered; longer than any deadline and the time that answers are held.
const KEEP_PLACED: Duration = Duration::from_secs(900);

/// How long one sender may take to complete the index before another one is asked to.
const FILL_LIMIT: Duration = Duration::from_secs(6);

/// Record of where a request is placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRecord {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The process of its agent.
    pub process: ProcessId,
    /// The dispatch.
    pub epoch: DispatchEpoch,
}

/// A placement that a sender asks the index owner to record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistrationRequest {
    /// The request.
    pub key: RequestKey,
    /// Where it is to be placed.
    pub upstream: UpstreamId,
    /// The process of the agent there.
    pub process: ProcessId,
    /// The placement that never ran, which this one is to take the place of.
    pub superseded: Option<PlacementRecord>,
}

/// Outcome of a registration request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegisterOutcome {
    /// Recorded; the sender may hand the request over.
    Recorded(PlacementRecord),
    /// The request was placed before, as this record says.
    AlreadyPlaced(PlacementRecord),
    /// The index is incomplete; the sender is to complete it and to ask again.
    IndexIncomplete,
    /// The index cannot answer yet; the sender asks again later.
    RetryLater,
}

/// Placements by request.
#[derive(Debug)]
pub struct PlacementIndex {
    first_epoch: DispatchEpoch,
    complete_for: Option<OwnerSetId>,
    filling: Option<(OwnerSetId, Instant)>,
    placements: HashMap<RequestKey, (PlacementRecord, Instant)>,
}

impl PlacementIndex {
    /// An index that knows nothing yet and has to be completed first.
    ///
    /// Its epochs start at `first_epoch`, which is to differ from one process to the next: a
    /// placement that a lost index recorded must never be taken for one of this index.
    pub fn new(first_epoch: DispatchEpoch) -> PlacementIndex {
        PlacementIndex {
            first_epoch,
            complete_for: None,
            filling: None,
            placements: HashMap::new(),
        }
    }

    /// Records where a request is to be placed, or says where it was placed before.
    pub fn register(
        &mut self,
        request: RegistrationRequest,
        set: OwnerSetId,
        now: Instant,
    ) -> RegisterOutcome {
        if let Some(unready) = self.check_set(set, now) {
            return unready;
        }
        let next = |epoch: u64| PlacementRecord {
            upstream: request.upstream.clone(),
            process: request.process.clone(),
            epoch: self.first_epoch.max(DispatchEpoch(epoch + 1)),
        };
        let placement = match (self.placements.get(&request.key), &request.superseded) {
            (Some((held, _)), Some(superseded)) if held == superseded => next(held.epoch.0),
            (Some((held, _)), _) => return RegisterOutcome::AlreadyPlaced(held.clone()),
            (None, Some(superseded)) => next(superseded.epoch.0),
            (None, None) => next(0),
        };
        self.placements.insert(request.key, (placement.clone(), now));
        RegisterOutcome::Recorded(placement)
    }

    /// Merges placements from other agents; of two for one request the later one is kept.
    pub fn merge(
        &mut self,
        held: impl IntoIterator<Item = (RequestKey, PlacementRecord)>,
        now: Instant,
    ) {
        for (key, placement) in held {
            let older =
                self.placements.get(&key).is_none_or(|(known, _)| known.epoch < placement.epoch);
            if older {
                self.placements.insert(key, (placement, now));
            }
        }
    }

    /// Marks the index as complete for a set of owners.
    pub fn mark_complete(&mut self, set: OwnerSetId) {
        if self.filling.is_some_and(|(filling, _)| filling == set) {
            self.filling = None;
            self.complete_for = Some(set);
        }
    }

    /// Marks the index as incomplete, so that the next sender completes it again.
    pub fn mark_incomplete(&mut self) {
        self.complete_for = None;
    }

    /// Placements that another agent may need.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestKey, &PlacementRecord)> {
        self.placements.iter().map(|(key, (placement, _))| (key, placement))
    }

    /// Evicts placements that are past their retention.
    pub fn evict_expired(&mut self, now: Instant) {
        self.placements.retain(|_, (_, at)| now.saturating_duration_since(*at) <= KEEP_PLACED);
    }

    /// What a sender is told while the index is not complete for its set.
    fn check_set(&mut self, set: OwnerSetId, now: Instant) -> Option<RegisterOutcome> {
        if let Some(complete) = &mut self.complete_for {
            if complete.digest == set.digest {
                complete.version = complete.version.max(set.version);
                return None;
            }
            if set.version < complete.version {
                return Some(RegisterOutcome::RetryLater);
            }
        }
        match self.filling {
            Some((filling, until)) if until > now && filling.version >= set.version => {
                Some(RegisterOutcome::RetryLater)
            }
            _ => {
                self.complete_for = None;
                self.filling = Some((set, now + FILL_LIMIT));
                Some(RegisterOutcome::IndexIncomplete)
            }
        }
    }
}
