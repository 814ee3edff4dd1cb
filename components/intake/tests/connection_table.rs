//! Connections of a listener: which of them are closed.

use std::time::{Duration, Instant};

use intake::connection_table::{
    CloseReason, ConnectionId, ConnectionPhase, ConnectionTable, Opening, WaitLimits,
};

const WAITS: WaitLimits = WaitLimits {
    idle: Duration::from_secs(15),
    head: Duration::from_secs(3),
    body: Duration::from_secs(15),
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn open(table: &mut ConnectionTable, now: Instant) -> ConnectionId {
    let Opening::Kept { id, displaced } = table.open(now) else { unreachable!("refused") };
    assert_eq!(displaced, None);
    id
}

#[test]
fn each_phase_has_its_time() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(10);
    let idle = open(&mut table, start);
    let head = open(&mut table, start);
    table.set_phase(head, ConnectionPhase::Head, start + seconds(1));
    let body = open(&mut table, start);
    table.set_phase(body, ConnectionPhase::Body, start + seconds(1));
    table.record_progress(body, start + seconds(10));
    let response = open(&mut table, start);
    table.set_phase(response, ConnectionPhase::Response, start);
    assert_eq!(table.close_expired(WAITS, start + seconds(4)), []);
    let at_5 = table.close_expired(WAITS, start + seconds(5));
    assert_eq!(at_5, [(head, CloseReason::SlowRequest)]);
    let at_16 = table.close_expired(WAITS, start + seconds(16));
    assert_eq!(at_16, [(idle, CloseReason::Idle)]);
    let at_26 = table.close_expired(WAITS, start + seconds(26));
    assert_eq!(at_26, [(body, CloseReason::SlowRequest)]);
    assert_eq!(
        table.close_expired(WAITS, start + seconds(1_000)),
        [],
        "the response takes its time"
    );
}

/// Load pattern: a head that comes a byte at a time. Its time runs from the first byte on.
#[test]
fn a_slow_head_does_not_gain_time() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(10);
    let id = open(&mut table, start);
    table.set_phase(id, ConnectionPhase::Head, start);
    table.record_held(id, 4_096);
    assert_eq!(table.close_expired(WAITS, start + seconds(4)).len(), 1);
}

/// Load pattern: more silent connections than the process has descriptors.
#[test]
fn the_connection_that_has_waited_longest_yields() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(3);
    let at_work = open(&mut table, start);
    table.set_phase(at_work, ConnectionPhase::Response, start);
    let silent = open(&mut table, start + seconds(1));
    let recent = open(&mut table, start + seconds(2));
    let Opening::Kept { id: newest, displaced } = table.open(start + seconds(3)) else {
        unreachable!("refused");
    };
    assert_eq!(displaced, Some(silent));
    table.close(silent);
    assert_eq!(table.len(), 3);
    table.set_phase(recent, ConnectionPhase::Response, start + seconds(4));
    table.set_phase(newest, ConnectionPhase::Response, start + seconds(4));
    assert_eq!(table.open(start + seconds(5)), Opening::Refused);
    table.set_phase(at_work, ConnectionPhase::Idle, start + seconds(6));
    assert!(matches!(table.open(start + seconds(7)), Opening::Kept { displaced: Some(_), .. }));
}

/// Load pattern: many requests that do not end hold the room of others.
#[test]
fn the_request_that_has_held_most_for_longest_yields() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(10);
    let old_and_small = open(&mut table, start);
    let large = open(&mut table, start + seconds(8));
    let new_and_small = open(&mut table, start + seconds(9));
    for (id, bytes) in [(old_and_small, 5_000), (large, 1_000_000), (new_and_small, 5_000)] {
        table.record_held(id, bytes);
    }
    for id in [old_and_small, large, new_and_small] {
        table.set_phase(id, ConnectionPhase::Body, start + seconds(9));
    }
    let served = open(&mut table, start);
    table.set_phase(served, ConnectionPhase::Response, start);
    table.record_held(served, 9_000_000);
    let now = start + seconds(10);
    assert_eq!(table.displace_holder(new_and_small, now), Some(large));
    assert_eq!(table.displace_holder(new_and_small, now), Some(old_and_small));
    assert_eq!(table.displace_holder(new_and_small, now), None, "none but the one that asks");
}
