//! Tests of the markers and records of the versions that began streams.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gateway::model::{Position, ServiceId, VersionId};
use gateway::stream_versions::{
    Marker, MarkerKeeper, Markers, Origin, RecordedStreams, ServiceView, StreamId, StreamLog,
    StreamRecord, record_interval,
};

const V1: VersionId = VersionId(1);
const V2: VersionId = VersionId(2);
const LIFETIME: Duration = Duration::from_secs(24);

fn service() -> ServiceId {
    ServiceId::of("models")
}

fn stream(number: u64) -> StreamId {
    StreamId::of(Some("seller"), &format!("a{number}"))
}

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn only(version: VersionId, era: u64) -> Marker {
    Marker { only: Some(version), era }
}

const fn several(era: u64) -> Marker {
    Marker { only: None, era }
}

fn view(versions: &[VersionId], marker: Option<Marker>, era: u64) -> ServiceView {
    ServiceView {
        service: service(),
        versions: versions.to_vec(),
        marker: marker.map(|marker| (marker, at(era, 5))),
        era,
        rank: 0,
        stream_lifetime: LIFETIME,
        is_current: true,
    }
}

/// Records that are due while all markers name a version, or none does.
fn records(log: &StreamLog, only: Option<VersionId>) -> Vec<StreamRecord> {
    log.due_records(|_| only).map(|due| due.records).unwrap_or_default()
}

/// Has all records written.
fn write(log: &mut StreamLog) {
    let due = log.due_records(|_| None).expect("records are due");
    log.record_written(&due);
    assert_eq!(log.due_records(|_| None), None, "they are written");
}

#[test]
fn a_marker_still_names_one_version_after_another_has_appeared() {
    let now = Instant::now();
    let mut keeper = MarkerKeeper::default();
    assert_eq!(keeper.next_marker(&view(&[V1], Some(only(V1, 0)), 0), now), None);
    let mixed = view(&[V1, V2], Some(only(V1, 0)), 0);
    assert_eq!(keeper.next_marker(&mixed, now), Some(several(0)));
    // The one that it names is gone.
    let replaced = view(&[V2], Some(only(V1, 0)), 0);
    assert_eq!(MarkerKeeper::default().next_marker(&replaced, now), Some(several(0)));
    // Others leave it to the first gateway for some time.
    let mut second = MarkerKeeper::default();
    let behind = ServiceView { rank: 1, ..mixed };
    assert_eq!(second.next_marker(&behind, now), None);
    assert_eq!(second.next_marker(&behind, now + Duration::from_millis(200)), Some(several(0)));
}

#[test]
fn a_marker_names_a_version_while_streams_of_another_may_last() {
    let now = Instant::now();
    let mut keeper = MarkerKeeper::default();
    let mixed = view(&[V1, V2], Some(several(0)), 0);
    let uniform = view(&[V2], Some(several(0)), 0);
    assert_eq!(keeper.next_marker(&mixed, now), None);
    assert_eq!(keeper.next_marker(&uniform, now), None);
    let almost = now + LIFETIME - Duration::from_millis(1);
    assert_eq!(keeper.next_marker(&uniform, almost), None);
    // The older version comes back for a moment.
    assert_eq!(keeper.next_marker(&mixed, almost), None);
    assert_eq!(keeper.next_marker(&uniform, almost), None);
    assert_eq!(keeper.next_marker(&uniform, now + LIFETIME), None);
    assert_eq!(keeper.next_marker(&uniform, almost + LIFETIME), Some(only(V2, 0)));
}

/// Guards against a gateway that was cut off or stood still, and writes a marker from before that
/// names one version while streams of another run.
#[test]
fn a_gateway_that_was_out_of_step_names_one_version_in_the_marker() {
    let now = Instant::now();
    let mut keeper = MarkerKeeper::default();
    let uniform = view(&[V1], Some(several(0)), 0);
    assert_eq!(keeper.next_marker(&uniform, now), None);
    let resumed = now + LIFETIME;
    let after_gap = ServiceView { is_current: false, ..uniform.clone() };
    assert_eq!(keeper.next_marker(&after_gap, resumed), None);
    assert_eq!(keeper.next_marker(&uniform, resumed + Duration::from_secs(1)), None);
    assert_eq!(keeper.next_marker(&uniform, resumed + LIFETIME), Some(only(V1, 0)));
    let first = ServiceView { marker: None, is_current: false, ..uniform };
    assert_eq!(MarkerKeeper::default().next_marker(&first, now), None);
    // What it does know is that there are several.
    let mixed = ServiceView { is_current: false, ..view(&[V1, V2], Some(only(V1, 0)), 0) };
    assert_eq!(MarkerKeeper::default().next_marker(&mixed, now), Some(several(0)));
}

#[test]
fn the_first_marker_is_written_after_the_first_streams_only() {
    let now = Instant::now();
    let first = |era| MarkerKeeper::default().next_marker(&view(&[V1], None, era), now);
    assert_eq!(first(0), Some(only(V1, 0)));
    // A restored store may have lost it.
    assert_eq!(first(1), None);
    assert_eq!(MarkerKeeper::default().next_marker(&view(&[], None, 0), now), None);
}

/// Guards against a first marker that names a version after all upstreams of another one have left,
/// while streams of it may last.
#[test]
fn a_service_that_began_with_two_versions_has_no_marker() {
    let now = Instant::now();
    let mut keeper = MarkerKeeper::default();
    assert_eq!(keeper.next_marker(&view(&[V1, V2], None, 0), now), Some(several(0)));
}

#[test]
fn a_marker_of_an_older_copy_of_the_store_is_trusted() {
    let now = Instant::now();
    let mut markers = Markers::default();
    markers.apply(service(), Some(only(V1, 0)), at(0, 4));
    assert_eq!((markers.only(service(), 0), markers.only(service(), 1)), (Some(V1), None));
    let restored = view(&[V1], Some(only(V1, 0)), 1);
    let mut keeper = MarkerKeeper::default();
    assert_eq!(keeper.next_marker(&restored, now), None);
    assert_eq!(keeper.next_marker(&restored, now + LIFETIME), Some(only(V1, 1)));
}

#[test]
fn an_older_read_overwrites_a_marker_that_this_gateway_wrote() {
    let mut markers = Markers::default();
    markers.apply(service(), Some(several(0)), at(0, 9));
    markers.apply(service(), Some(only(V1, 0)), at(0, 4));
    markers.replace_all(vec![(service(), only(V1, 0), at(0, 4))], at(0, 8));
    assert_eq!(markers.only(service(), 0), None);
    markers.replace_all(vec![(service(), only(V2, 0), at(0, 12))], at(0, 13));
    assert_eq!(markers.only(service(), 0), Some(V2));
    markers.replace_all(Vec::new(), at(0, 14));
    assert_eq!(markers.get(service()), None);
}

#[test]
fn a_stream_is_in_no_record_although_no_marker_stands_for_it() {
    let now = Instant::now();
    let mut log = StreamLog::default();
    log.begin(stream(1), service(), Some(V1), "i-1".into(), now);
    log.begin(stream(2), service(), Some(V2), "i-2".into(), now);
    log.begin(stream(3), service(), None, "i-3".into(), now);
    log.begin(stream(4), service(), Some(V2), "i-2".into(), now);
    log.complete(stream(4));
    let record = |version, number| StreamRecord { version, streams: vec![stream(number)] };
    assert_eq!(records(&log, Some(V1)), [record(None, 3), record(Some(V2), 2)]);
    let all = [record(None, 3), record(Some(V1), 1), record(Some(V2), 2)];
    assert_eq!(records(&log, None), all);
}

/// Guards against streams of one service that are in no record as its marker changes, because the
/// records of another service have been written since they began.
#[test]
fn a_marker_changes_and_the_records_are_not_written_again() {
    let now = Instant::now();
    let mut log = StreamLog::default();
    log.begin(stream(1), service(), Some(V1), "i-1".into(), now);
    write(&mut log);
    log.record_marker_change();
    assert!(log.due_records(|_| None).is_some());
}

#[test]
fn a_broken_stream_is_forgotten_while_it_may_be_taken_up_or_kept_for_ever() {
    let now = Instant::now();
    let mut log = StreamLog::default();
    log.begin(stream(1), service(), Some(V1), "i-1".into(), now);
    log.begin(stream(2), service(), Some(V1), "i-1".into(), now);
    log.break_off(stream(1), now);
    log.expire(LIFETIME, now + LIFETIME - Duration::from_millis(1));
    assert_eq!(log.version_of(stream(1)), Some(Some(V1)));
    log.expire(LIFETIME, now + LIFETIME);
    assert_eq!(log.version_of(stream(1)), None);
    assert_eq!(log.version_of(stream(2)), Some(Some(V1)), "it is still relayed");
}

/// Load pattern: ten times the usual streams, all of which break off.
#[test]
fn the_records_grow_without_end() {
    let now = Instant::now();
    let mut log = StreamLog::default();
    for number in 0..40_000 {
        log.begin(stream(number), service(), Some(V1), "i-1".into(), now);
        log.break_off(stream(number), now + Duration::from_micros(number));
    }
    let kept: usize = records(&log, None).iter().map(|record| record.streams.len()).sum();
    assert!((10_000..=16_384).contains(&kept), "{kept} streams");
    assert_eq!(log.version_of(stream(39_999)), Some(Some(V1)));
    assert_eq!(log.version_of(stream(0)), None);
}

#[test]
fn the_version_of_streams_is_that_of_an_upstream_before_it_started_again() {
    let now = Instant::now();
    let later = now + Duration::from_secs(20);
    let mut log = StreamLog::default();
    log.begin(stream(1), service(), Some(V1), "i-1".into(), now);
    log.begin(stream(2), service(), Some(V1), "i-1".into(), later);
    log.begin(stream(3), service(), Some(V1), "i-2".into(), later);
    write(&mut log);
    log.record_version_change("i-1", later);
    let versions = [1, 2, 3].map(|number| log.version_of(stream(number)));
    assert_eq!(versions, [Some(Some(V1)), Some(None), Some(Some(V1))]);
    assert!(log.due_records(|_| None).is_some(), "it is written again");
}

#[test]
fn an_unrecorded_stream_is_taken_for_one_of_a_version_that_no_marker_names() {
    let record = |version, number| StreamRecord { version, streams: vec![stream(number)] };
    let records = [
        record(Some(V1), 1),
        record(Some(V2), 2),
        record(None, 3),
        record(Some(V1), 4),
        record(Some(V2), 4),
        record(Some(V2), 2),
    ];
    let origins = |marker: Option<Marker>| {
        let markers: HashMap<ServiceId, Marker> =
            marker.into_iter().map(|marker| (service(), marker)).collect();
        let recorded = RecordedStreams::new(2, markers, records.clone());
        [1, 2, 3, 4, 5].map(|number| recorded.origin(Some(stream(number)), service()))
    };
    let recorded = [
        Origin::Recorded(V1),
        Origin::Recorded(V2),
        Origin::Unknown,
        Origin::Unknown,
        Origin::Unknown,
    ];
    for marker in [None, Some(several(2)), Some(only(V1, 1))] {
        assert_eq!(origins(marker), recorded, "{marker:?}");
    }
    assert_eq!(origins(Some(only(V1, 2)))[4], Origin::Only(V1));
    assert_eq!(origins(Some(only(V1, 2)))[..4], recorded[..4]);
}

#[test]
fn a_stream_that_nobody_names_goes_on_although_there_are_several_versions() {
    let origin = |marker| {
        let recorded = RecordedStreams::new(0, [(service(), marker)].into(), []);
        recorded.origin(None, service())
    };
    assert_eq!(origin(only(V1, 0)), Origin::Only(V1));
    assert_eq!(origin(several(0)), Origin::Unknown);
}

/// Guards against records that the store has lost and nobody writes again.
#[test]
fn records_are_not_written_again_after_their_loss_or_written_though_there_is_nothing_new() {
    let now = Instant::now();
    let mut log = StreamLog::default();
    assert_eq!(log.due_records(|_| None), None);
    log.begin(stream(1), service(), Some(V1), "i-1".into(), now);
    // What begins while records are under way is due afterwards.
    let under_way = log.due_records(|_| None).expect("records are due");
    log.begin(stream(2), service(), Some(V1), "i-1".into(), now);
    log.record_written(&under_way);
    assert!(log.due_records(|_| None).is_some());
    write(&mut log);
    log.complete(stream(2));
    assert_eq!(log.due_records(|_| None), None, "a stream that has ended can stay in a record");
    log.record_loss();
    assert!(log.due_records(|_| None).is_some());
}

/// Load pattern: 400 gateways before a store that takes some thousand writes a second.
#[test]
fn the_writes_of_all_gateways_grow_with_their_number() {
    for gateway_count in [1, 4, 103, 400] {
        let per_second = gateway_count as f64 / record_interval(gateway_count).as_secs_f64();
        assert!(per_second <= 200.0, "{per_second} writes a second of {gateway_count} gateways");
    }
}

#[test]
fn streams_of_one_route_prefer_one_service_or_differ_between_gateways() {
    let samples: Vec<f64> = (0..1_000).map(|number| stream(number).sample()).collect();
    assert!(samples.iter().all(|sample| (0.0..1.0).contains(sample)));
    let low = samples.iter().filter(|sample| **sample < 0.3).count();
    assert!((250..350).contains(&low), "{low} of 1000 below 0.3");
    assert_eq!(StreamId::of(None, "a"), StreamId::of(None, "a"));
    assert_ne!(StreamId::of(Some("seller"), "a"), StreamId::of(Some("organiser"), "a"));
}
