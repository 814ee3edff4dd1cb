//! Finds the version that began a stream in what the store holds.
//!
//! Load pattern: hundreds of callers take up their streams at once after all gateways were killed.
//! One read of the store, a key for each gateway, answers all that wait for it.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use super::{Marker, StreamId, StreamRecord};
use crate::model::{ServiceId, VersionId};

/// What is known of the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A record of a gateway names it.
    Recorded(VersionId),
    /// The stream is in no record, and the marker of its service names it.
    Only(VersionId),
    /// It is not known.
    Unknown,
}

/// Markers and records of all gateways, read together.
#[derive(Debug, Clone, Default)]
pub struct RecordedStreams {
    /// Era of the store.
    era: u64,
    markers: HashMap<ServiceId, Marker>,
    /// Version that began each recorded stream; `None` if it is not known, or records disagree.
    versions: HashMap<StreamId, Option<VersionId>>,
}

impl RecordedStreams {
    /// Collects what the store holds in an era.
    pub fn new(
        era: u64,
        markers: HashMap<ServiceId, Marker>,
        records: impl IntoIterator<Item = StreamRecord>,
    ) -> RecordedStreams {
        let mut versions: HashMap<StreamId, Option<VersionId>> = HashMap::new();
        for StreamRecord { version, streams } in records {
            for stream in streams {
                match versions.entry(stream) {
                    Entry::Occupied(mut known) if *known.get() != version => {
                        known.insert(None);
                    }
                    Entry::Occupied(_) => {}
                    Entry::Vacant(vacant) => {
                        vacant.insert(version);
                    }
                }
            }
        }
        RecordedStreams { era, markers, versions }
    }

    /// Finds the version that began a stream; `None` stands for one of which nothing is known but
    /// its service. `service` is that of streams in no record.
    pub fn origin(&self, stream: Option<StreamId>, service: ServiceId) -> Origin {
        match stream.and_then(|stream| self.versions.get(&stream)) {
            Some(Some(version)) => Origin::Recorded(*version),
            Some(None) => Origin::Unknown,
            None => {
                let only = self.markers.get(&service).and_then(|marker| marker.only_in(self.era));
                only.map_or(Origin::Unknown, Origin::Only)
            }
        }
    }
}
