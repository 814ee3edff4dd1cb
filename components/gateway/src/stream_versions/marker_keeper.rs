//! Decides when the marker of a service is written.
//!
//! Load pattern: a release that a hundred gateways notice within a second. They write one after the
//! other by rank, so that the first write spares the rest.
//!
//! A gateway that was cut off or stood still does not know what was announced meanwhile, and observes
//! the versions anew.
//!
//! A marker that names one version is replaced as soon as another version is announced, before a
//! stream that began there reaches its caller. It names a version again only after no other one has
//! been announced for longer than a stream can last.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::Marker;
use crate::model::{Position, ServiceId, VersionId};

/// Additional time for which the next gateway in the ranking waits before it writes a marker: the
/// first one writes it, and the others read it soon.
const DELAY_PER_RANK: Duration = Duration::from_millis(150);

/// Rank from which gateways no longer wait longer.
const LAST_DELAYED_RANK: u32 = 6;

/// What a gateway knows of a service.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// The service.
    pub service: ServiceId,
    /// Versions of its announced upstreams, without duplicates.
    pub versions: Vec<VersionId>,
    /// Its marker, and the position at which it was written.
    pub marker: Option<(Marker, Position)>,
    /// Era of the store.
    pub era: u64,
    /// Number of gateways that write the marker before this one.
    pub rank: u32,
    /// Time for which a stream may last over all attempts of its caller.
    pub stream_lifetime: Duration,
    /// Whether the gateway has known all this without a gap.
    pub is_current: bool,
}

impl ServiceView {
    /// The marker that the store should hold, and how long the versions must have been the same
    /// before it is written.
    fn wanted_marker(&self) -> Option<(Marker, Duration)> {
        let named = self.marker.and_then(|(marker, _)| marker.only_in(self.era));
        let only = match self.versions[..] {
            [] => return None,
            [version] => Some(version),
            _ => None,
        };
        let marker = |only| Marker { only, era: self.era };
        match (named, only) {
            (Some(named), Some(only)) if named == only => None,
            (Some(_), _) => Some((marker(None), Duration::ZERO)),
            // No gateway has begun a stream before the first marker.
            (None, Some(_)) if self.marker.is_none() && self.era == 0 => {
                Some((marker(only), Duration::ZERO))
            }
            (None, Some(_)) => Some((marker(only), self.stream_lifetime)),
            // Says that there have been gateways.
            (None, None) if self.marker.is_none() => Some((marker(None), Duration::ZERO)),
            (None, None) => None,
        }
    }
}

/// Versions of a service since they last changed.
#[derive(Debug)]
struct Observation {
    versions: Vec<VersionId>,
    era: u64,
    since: Instant,
}

/// Observes the versions of services over time.
#[derive(Debug, Default)]
pub struct MarkerKeeper {
    observations: HashMap<ServiceId, Observation>,
}

impl MarkerKeeper {
    /// The marker that this gateway should write now, if any.
    pub fn next_marker(&mut self, view: &ServiceView, now: Instant) -> Option<Marker> {
        let ServiceView { service, versions, era, is_current, .. } = view;
        let observation = self.observations.entry(*service).or_insert_with(|| Observation {
            versions: versions.clone(),
            era: *era,
            since: now,
        });
        let is_same = observation.versions == *versions && observation.era == *era;
        if !is_same || !is_current {
            *observation = Observation { versions: versions.clone(), era: *era, since: now };
        }
        let (marker, required) = view.wanted_marker()?;
        if marker.only.is_some() && !is_current {
            return None;
        }
        let delay = DELAY_PER_RANK * view.rank.min(LAST_DELAYED_RANK);
        let observed = now.saturating_duration_since(observation.since);
        (observed >= required + delay).then_some(marker)
    }
}
