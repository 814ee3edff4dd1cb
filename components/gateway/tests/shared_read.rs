//! Reads of the store that are passed on between gateways.

use gateway::model::Position;
use gateway::read_schedule::ReadSchedule;
use gateway::shared_read::{SharedChange, SharedRead};

fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn change(position: u64, size_bytes: usize) -> SharedChange {
    let key = format!("key-{position}");
    SharedChange { key, value: Some(vec![7; size_bytes]), position: at(position) }
}

fn knows_up_to(position: u64) -> ReadSchedule {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_read(std::time::Duration::from_secs(1), at(position));
    read_schedule
}

/// Applies the parts in the given order; returns the position that is known then.
fn apply(parts: &[SharedRead], order: &[usize], known: u64) -> Option<u64> {
    let mut read_schedule = knows_up_to(known);
    for index in order {
        let part = &parts[*index];
        if read_schedule.continues(part.after, part.position) {
            read_schedule.record_shared_read(part.position);
        }
    }
    read_schedule.position().map(|position| position.revision)
}

#[test]
fn a_large_read_is_passed_on_in_consecutive_parts() {
    let changes = (11..=40).map(|position| change(position, 2_000)).collect();
    let parts = SharedRead { after: at(10), position: at(45), changes }.split();
    assert!(parts.len() > 2, "{} parts", parts.len());
    let in_order: Vec<usize> = (0..parts.len()).collect();
    assert_eq!(apply(&parts, &in_order, 10), Some(45));
    assert_eq!(apply(&parts, &in_order, 10 + 5), Some(45), "a part of it is known already");
    let sizes = parts.iter().map(|part| part.changes.len()).sum::<usize>();
    assert_eq!(sizes, 30);
}

/// Guards against a gateway that takes its state for complete although a part was lost.
#[test]
fn a_lost_part_ends_what_is_known() {
    let changes = (11..=40).map(|position| change(position, 2_000)).collect();
    let parts = SharedRead { after: at(10), position: at(45), changes }.split();
    let without_second: Vec<usize> = (0..parts.len()).filter(|index| *index != 1).collect();
    assert_eq!(apply(&parts, &without_second, 10), Some(parts[0].position.revision));
    assert_eq!(apply(&parts, &[1, 2], 10), Some(10));
}

#[test]
fn a_read_ends_before_a_change_that_is_too_large() {
    let changes = vec![change(11, 100), change(12, 100 << 10), change(13, 100)];
    let parts = SharedRead { after: at(10), position: at(20), changes }.split();
    let in_order: Vec<usize> = (0..parts.len()).collect();
    assert_eq!(apply(&parts, &in_order, 10), Some(11));
}
