//! Markers of services, as known from the store.
//!
//! Load pattern: gateways that learn of a marker by reads of their own, of peers and by writing it,
//! in any order, and a store that comes back from an older copy. The latest position counts, and a
//! marker of an earlier era names nothing.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::model::{Position, ServiceId, VersionId};

/// What the store says of the versions at which streams of a service begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Marker {
    /// The version at which all unrecorded streams begin; `None` if they may begin at several.
    pub only: Option<VersionId>,
    /// Era of the store in which the marker was written. One of an earlier era says nothing: what
    /// followed it may have been lost.
    pub era: u64,
}

impl Marker {
    /// The version at which all unrecorded streams begin, if the marker holds in an era.
    pub fn only_in(&self, era: u64) -> Option<VersionId> {
        self.only.filter(|_| self.era == era)
    }
}

/// The markers of all services, with the positions at which they were written.
#[derive(Debug, Default)]
pub struct Markers {
    known: HashMap<ServiceId, (Marker, Position)>,
}

impl Markers {
    /// Applies a marker that was written or, if `None`, removed at a position.
    pub fn apply(&mut self, service: ServiceId, marker: Option<Marker>, position: Position) {
        if self.known.get(&service).is_some_and(|(_, known_at)| *known_at > position) {
            return;
        }
        match marker {
            Some(marker) => {
                self.known.insert(service, (marker, position));
            }
            None => {
                self.known.remove(&service);
            }
        }
    }

    /// Replaces the markers by those that the store holds at a position. Later ones that this
    /// gateway has written itself stay.
    pub fn replace_all(&mut self, listed: Vec<(ServiceId, Marker, Position)>, position: Position) {
        self.known.retain(|_, (_, known_at)| *known_at > position);
        for (service, marker, written_at) in listed {
            self.apply(service, Some(marker), written_at);
        }
    }

    /// The marker of a service, and the position at which it was written.
    pub fn get(&self, service: ServiceId) -> Option<(Marker, Position)> {
        self.known.get(&service).copied()
    }

    /// The version at which all unrecorded streams of a service begin, if its marker names one that
    /// holds in an era.
    pub fn only(&self, service: ServiceId, era: u64) -> Option<VersionId> {
        self.known.get(&service).and_then(|(marker, _)| marker.only_in(era))
    }

    /// Fingerprint of the markers; equal on gateways that know the same ones.
    pub fn fingerprint(&self) -> u64 {
        let of_marker = |(service, (marker, _)): (&ServiceId, &(Marker, Position))| {
            xxh3_64(format!("{service:?} {marker:?}").as_bytes())
        };
        self.known.iter().map(of_marker).fold(0, |sum, hash| sum ^ hash)
    }
}
