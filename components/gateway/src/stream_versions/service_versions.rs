//! Versions of the services: those that upstreams announce, and those that markers name.
//!
//! Load pattern: a new version appears under load. Until its service's marker is replaced, which
//! takes a call to the store, streams begin at the version that the marker names, and one that must
//! begin elsewhere waits with its first event.

use std::collections::HashMap;

use errors::ResultCode;

use super::{Markers, Origin};
use crate::model::{ServiceId, Target, Upstream, VersionId};

/// Versions of a service's upstreams, without duplicates.
#[derive(Debug, Default)]
struct AnnouncedVersions {
    all: Vec<VersionId>,
    /// Those of upstreams that take new requests.
    usable: Vec<VersionId>,
}

/// What a gateway knows of the versions of all services.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    markers: Markers,
    announced: HashMap<ServiceId, AnnouncedVersions>,
}

impl ServiceVersions {
    /// Replaces the upstreams by those that are known, draining ones included.
    pub fn set_upstreams(&mut self, known: &[Upstream]) {
        self.announced.clear();
        for upstream in known {
            let service = ServiceId::of(&upstream.service);
            let versions = self.announced.entry(service).or_default();
            versions.all.push(upstream.version_id());
            if !upstream.draining {
                versions.usable.push(upstream.version_id());
            }
        }
        for AnnouncedVersions { all, usable } in self.announced.values_mut() {
            for versions in [all, usable] {
                versions.sort_unstable();
                versions.dedup();
            }
        }
    }

    /// Markers as known from the store.
    pub fn markers(&self) -> &Markers {
        &self.markers
    }

    /// Markers as known from the store.
    pub fn markers_mut(&mut self) -> &mut Markers {
        &mut self.markers
    }

    /// Versions of a service's upstreams, without duplicates.
    pub fn announced(&self, service: ServiceId) -> &[VersionId] {
        self.announced.get(&service).map_or(&[], |versions| &versions.all)
    }

    /// Whether a service has an upstream of a version that takes new requests.
    fn serves(&self, service: ServiceId, version: VersionId) -> bool {
        self.announced.get(&service).is_some_and(|versions| versions.usable.contains(&version))
    }

    /// Whether the marker of a service names a version other than this one. A stream must not reach
    /// its caller then: in no record, it would be taken for one of the marked version.
    pub fn is_marked_otherwise(&self, service: ServiceId, version: VersionId, era: u64) -> bool {
        self.markers.only(service, era).is_some_and(|only| only != version)
    }

    /// Version at which a stream should begin while the marker of its service names one and another
    /// one has just appeared.
    pub fn preferred(&self, service: ServiceId, era: u64) -> Option<VersionId> {
        let only = self.markers.only(service, era)?;
        let has_others = self.announced(service).iter().any(|version| *version != only);
        (has_others && self.serves(service, only)).then_some(only)
    }

    /// What is known of an unrecorded stream while the store does not answer: a service that has had
    /// one version for long has it still, if no gateway knows of another one.
    pub fn origin_without_lookup(&self, service: ServiceId, era: u64) -> Origin {
        let only = self.markers.only(service, era);
        let is_alone = |version: &VersionId| self.announced(service) == [*version];
        only.filter(is_alone).map_or(Origin::Unknown, Origin::Only)
    }

    /// The service and version at which a stream goes on, or the code of the refusal. `chosen` is the
    /// service of streams in no record; a record's version belongs to one of the targets.
    pub fn target_at<'a>(
        &self,
        origin: Origin,
        chosen: &'a str,
        targets: &'a [Target],
    ) -> Result<(&'a str, VersionId), ResultCode> {
        let serves = |name: &str, version| self.serves(ServiceId::of(name), version);
        let (service, version) = match origin {
            Origin::Unknown => return Err(ResultCode::StreamOriginUnknown),
            Origin::Only(version) => (Some(chosen).filter(|name| serves(name, version)), version),
            Origin::Recorded(version) => {
                let mut names = targets.iter().map(|target| target.service.as_str());
                (names.find(|name| serves(name, version)), version)
            }
        };
        service.map(|service| (service, version)).ok_or(ResultCode::StreamVersionGone)
    }
}
