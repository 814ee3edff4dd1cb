//! When an entry reads the store, and what it may believe of its peers' readings.

use std::time::Duration;

use gateway::freshness::Freshness;
use gateway::read_schedule::{PeerRead, ReadSchedule};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_confirmation_counts_from_the_question() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_within(ms(10), ms(5_000)));
    freshness.confirm(ms(1_000));
    freshness.confirm(ms(500));
    assert_eq!(freshness.age(ms(4_000)), Some(ms(3_000)));
    assert!(freshness.is_within(ms(6_000), ms(5_000)));
    assert!(!freshness.is_within(ms(6_001), ms(5_000)));
}

#[test]
fn a_digest_that_lay_unread_does_not_pass_for_a_fresh_one() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_digest_sent(1, ms(1_000));
    let peer_read = PeerRead { acknowledged: Some(1), age: Some(ms(100)), same_fingerprint: true };
    // Whenever it is read, its age counts from before our own digest that it echoes.
    assert_eq!(read_schedule.apply_peer_read(peer_read), Some(ms(900)));
    let unknown = PeerRead { acknowledged: Some(7), ..peer_read };
    assert_eq!(read_schedule.apply_peer_read(unknown), None);
    let without_echo = PeerRead { acknowledged: None, ..peer_read };
    assert_eq!(read_schedule.apply_peer_read(without_echo), None);
}

#[test]
fn what_a_peer_has_confirmed_need_not_be_read() {
    let mut read_schedule = ReadSchedule::default();
    assert!(read_schedule.is_due(None, ms(0)), "nothing is known yet");
    read_schedule.record_read(ms(1_000));
    assert!(!read_schedule.is_due(Some(ms(300)), ms(3_000)));
    assert!(read_schedule.is_due(Some(ms(1_500)), ms(3_000)), "nobody has read for some time");
    assert!(read_schedule.is_due(Some(ms(300)), ms(8_000)), "the history must not run out");
}

#[test]
fn a_peer_that_knows_something_newer_makes_a_reading_due() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_read(ms(1_000));
    read_schedule.record_digest_sent(1, ms(1_500));
    let peer_read = PeerRead { acknowledged: Some(1), age: Some(ms(100)), same_fingerprint: false };
    assert_eq!(read_schedule.apply_peer_read(peer_read), None, "it confirms nothing that we know");
    assert!(read_schedule.is_due(Some(ms(100)), ms(1_600)));
    read_schedule.record_read(ms(1_600));
    assert!(!read_schedule.is_due(Some(ms(0)), ms(1_650)));
}

#[test]
fn a_lasting_disagreement_does_not_make_an_entry_read_all_the_time() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_read(ms(2_000));
    read_schedule.record_digest_sent(1, ms(1_900));
    read_schedule.apply_peer_read(PeerRead {
        acknowledged: Some(1),
        age: Some(ms(500)),
        same_fingerprint: false,
    });
    assert!(!read_schedule.is_due(Some(ms(100)), ms(2_400)));
    assert!(read_schedule.is_due(Some(ms(100)), ms(2_800)));
}
