//! The part of the index that one agent holds.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use identity::{DispatchEpoch, ProcessId, UpstreamId};
use wire::RequestKey;

use crate::HomeSet;

/// How long a placement is remembered; longer than any deadline and the time that answers are held.
const KEEP_PLACED: Duration = Duration::from_secs(900);

/// How long one sender may take to complete the index before another one is asked to.
const FILL_LIMIT: Duration = Duration::from_secs(6);

/// Where a request is placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The process of its agent.
    pub process: ProcessId,
    /// The dispatch.
    pub epoch: DispatchEpoch,
}

/// What a sender wants recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wish {
    /// The request.
    pub key: RequestKey,
    /// Where it is to be placed.
    pub upstream: UpstreamId,
    /// The process of the agent there.
    pub process: ProcessId,
    /// The placement that never ran, which this one is to take the place of.
    pub superseded: Option<Placed>,
}

/// What came of a wish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Registered {
    /// Recorded; the sender may hand the request over.
    Recorded(Placed),
    /// Placed before.
    Held(Placed),
    /// The index is incomplete; the sender is to complete it and to ask again.
    Fill,
    /// Nothing can be said yet.
    Wait,
}

/// Placements by request.
#[derive(Debug)]
pub struct Index {
    first_epoch: DispatchEpoch,
    complete_for: Option<HomeSet>,
    filling: Option<(HomeSet, Instant)>,
    placed: HashMap<RequestKey, (Placed, Instant)>,
}

impl Index {
    /// An index that knows nothing yet and has to be completed first.
    ///
    /// Its epochs start at `first_epoch`, which is to differ from one process to the next: a
    /// placement that a lost index recorded must never be taken for one of this index.
    pub fn new(first_epoch: DispatchEpoch) -> Index {
        Index { first_epoch, complete_for: None, filling: None, placed: HashMap::new() }
    }

    /// Records where a request is to be placed, or says where it was placed before.
    pub fn register(&mut self, wish: Wish, set: HomeSet, now: Instant) -> Registered {
        if let Some(unready) = self.check_set(set, now) {
            return unready;
        }
        let next = |epoch: u64| Placed {
            upstream: wish.upstream.clone(),
            process: wish.process.clone(),
            epoch: self.first_epoch.max(DispatchEpoch(epoch + 1)),
        };
        let placed = match (self.placed.get(&wish.key), &wish.superseded) {
            (Some((held, _)), Some(superseded)) if held == superseded => next(held.epoch.0),
            (Some((held, _)), _) => return Registered::Held(held.clone()),
            (None, Some(superseded)) => next(superseded.epoch.0),
            (None, None) => next(0),
        };
        self.placed.insert(wish.key, (placed.clone(), now));
        Registered::Recorded(placed)
    }

    /// Takes placements from other agents; of two of one request the later stands.
    pub fn note(&mut self, held: impl IntoIterator<Item = (RequestKey, Placed)>, now: Instant) {
        for (key, placed) in held {
            let older = self.placed.get(&key).is_none_or(|(known, _)| known.epoch < placed.epoch);
            if older {
                self.placed.insert(key, (placed, now));
            }
        }
    }

    /// Counts the index as complete for a set of homes.
    pub fn complete(&mut self, set: HomeSet) {
        if self.filling.is_some_and(|(filling, _)| filling == set) {
            self.filling = None;
            self.complete_for = Some(set);
        }
    }

    /// Makes the next sender complete the index again.
    pub fn doubt(&mut self) {
        self.complete_for = None;
    }

    /// Placements that another agent may need.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestKey, &Placed)> {
        self.placed.iter().map(|(key, (placed, _))| (key, placed))
    }

    /// Forgets what is old.
    pub fn on_tick(&mut self, now: Instant) {
        self.placed.retain(|_, (_, at)| now.saturating_duration_since(*at) <= KEEP_PLACED);
    }

    /// What a sender is told while the index is not complete for its set.
    fn check_set(&mut self, set: HomeSet, now: Instant) -> Option<Registered> {
        if let Some(complete) = &mut self.complete_for {
            if complete.digest == set.digest {
                complete.version = complete.version.max(set.version);
                return None;
            }
            if set.version < complete.version {
                return Some(Registered::Wait);
            }
        }
        match self.filling {
            Some((filling, until)) if until > now && filling.version >= set.version => {
                Some(Registered::Wait)
            }
            _ => {
                self.complete_for = None;
                self.filling = Some((set, now + FILL_LIMIT));
                Some(Registered::Fill)
            }
        }
    }
}
