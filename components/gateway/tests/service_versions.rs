//! Tests of what a gateway decides by the versions of services that it knows.

use errors::ResultCode;
use gateway::model::{Position, ServiceId, Target, Upstream, VersionId};
use gateway::stream_versions::{Marker, Origin, ServiceVersions};

const ERA: u64 = 0;

fn service() -> ServiceId {
    ServiceId::of("models")
}

fn version(name: &str) -> VersionId {
    VersionId::of("models", name)
}

fn upstream(instance: &str, version: &str, draining: bool) -> Upstream {
    Upstream {
        instance: instance.into(),
        started_unix_ms: 1,
        service: "models".to_owned(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: "a".to_owned(),
        version: version.into(),
        slots: 4,
        draining,
    }
}

fn services(only: Option<&str>, upstreams: &[Upstream]) -> ServiceVersions {
    let mut services = ServiceVersions::default();
    services.set_upstreams(upstreams);
    let marker = Marker { only: only.map(version), era: ERA };
    services.markers_mut().apply(service(), Some(marker), Position { era: ERA, revision: 1 });
    services
}

#[test]
fn streams_begin_at_a_version_whose_marker_is_not_written_yet() {
    let both = [upstream("a", "v1", false), upstream("b", "v2", false)];
    let marked = services(Some("v1"), &both);
    assert_eq!(marked.preferred(service(), ERA), Some(version("v1")));
    assert!(marked.is_marked_otherwise(service(), version("v2"), ERA));
    assert!(!marked.is_marked_otherwise(service(), version("v1"), ERA));
    // Nothing is preferred where there is no choice, and nothing waits for a marker of another era.
    assert_eq!(services(Some("v1"), &both[..1]).preferred(service(), ERA), None);
    assert_eq!(services(Some("v1"), &both[1..]).preferred(service(), ERA), None);
    let leaving = [upstream("a", "v1", true), upstream("b", "v2", false)];
    assert_eq!(services(Some("v1"), &leaving).preferred(service(), ERA), None);
    assert_eq!(services(None, &both).preferred(service(), ERA), None);
    assert_eq!(marked.preferred(service(), ERA + 1), None);
    assert!(!marked.is_marked_otherwise(service(), version("v2"), ERA + 1));
}

#[test]
fn a_stream_is_taken_for_one_of_the_marked_version_while_the_store_is_away_and_another_serves() {
    let alone = [upstream("a", "v1", false)];
    let both = [upstream("a", "v1", false), upstream("b", "v2", true)];
    let origin = |only, upstreams: &[Upstream], era| {
        services(only, upstreams).origin_without_lookup(service(), era)
    };
    assert_eq!(origin(Some("v1"), &alone, ERA), Origin::Only(version("v1")));
    assert_eq!(origin(Some("v1"), &both, ERA), Origin::Unknown);
    assert_eq!(origin(Some("v1"), &alone, ERA + 1), Origin::Unknown);
    assert_eq!(origin(Some("v2"), &alone, ERA), Origin::Unknown);
    assert_eq!(origin(None, &alone, ERA), Origin::Unknown);
}

#[test]
fn a_stream_goes_on_at_a_service_or_version_that_did_not_begin_it() {
    let target = |service: &str| Target { service: service.to_owned(), weight: 1 };
    let targets = [target("desk"), target("models")];
    let known = [upstream("a", "v1", false), upstream("b", "v2", true)];
    let services = services(Some("v1"), &known);
    let at = |origin| services.target_at(origin, "desk", &targets);
    let expected = Ok(("models", version("v1")));
    assert_eq!(at(Origin::Recorded(version("v1"))), expected, "the service of the record");
    let unmarked = services.target_at(Origin::Only(version("v1")), "models", &targets);
    assert_eq!(unmarked, expected);
    for gone in [version("v2"), version("v3")] {
        assert_eq!(at(Origin::Recorded(gone)), Err(ResultCode::StreamVersionGone));
    }
    let elsewhere = at(Origin::Only(version("v1")));
    assert_eq!(
        elsewhere,
        Err(ResultCode::StreamVersionGone),
        "the chosen service has no such version"
    );
    assert_eq!(at(Origin::Unknown), Err(ResultCode::StreamOriginUnknown));
}
