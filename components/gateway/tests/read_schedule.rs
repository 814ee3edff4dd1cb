//! Schedule of store reads, and trust in the reads of peers.

use std::time::Duration;

use gateway::freshness::Freshness;
use gateway::read_schedule::{PeerRead, ReadSchedule};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_confirmation_dates_from_the_request() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_within(ms(10), ms(5_000)));
    freshness.confirm(ms(1_000));
    freshness.confirm(ms(500));
    assert_eq!(freshness.age(ms(4_000)), Some(ms(3_000)));
    assert!(freshness.is_within(ms(6_000), ms(5_000)));
    assert!(!freshness.is_within(ms(6_001), ms(5_000)));
}

/// Guards against a digest that was in transit for long, or stayed unread in a suspended process,
/// and then makes an old state count as confirmed.
#[test]
fn a_delayed_digest_is_not_taken_for_a_fresh_one() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_digest_sent(1, ms(1_000));
    let peer_read = PeerRead { acknowledged: Some(1), age: Some(ms(100)), same_fingerprint: true };
    // Whenever the digest is handled, its age counts back from the time that our acknowledged
    // digest was sent.
    assert_eq!(read_schedule.apply_peer_read(peer_read), Some(ms(900)));
    let unknown_digest = PeerRead { acknowledged: Some(7), ..peer_read };
    assert_eq!(read_schedule.apply_peer_read(unknown_digest), None);
    let unacknowledged = PeerRead { acknowledged: None, ..peer_read };
    assert_eq!(read_schedule.apply_peer_read(unacknowledged), None);
}

#[test]
fn no_read_is_due_while_peers_confirm_the_state() {
    let mut read_schedule = ReadSchedule::default();
    assert!(read_schedule.is_due(None, ms(0)), "nothing has been read yet");
    read_schedule.record_read(ms(1_000));
    assert!(!read_schedule.is_due(Some(ms(300)), ms(3_000)));
    assert!(read_schedule.is_due(Some(ms(1_500)), ms(3_000)), "no gateway has read for some time");
    assert!(
        read_schedule.is_due(Some(ms(300)), ms(8_000)),
        "the store's history must not be exceeded"
    );
}

#[test]
fn a_peer_with_newer_state_makes_a_read_due() {
    let mut read_schedule = ReadSchedule::default();
    read_schedule.record_read(ms(1_000));
    read_schedule.record_digest_sent(1, ms(1_500));
    let peer_read = PeerRead { acknowledged: Some(1), age: Some(ms(100)), same_fingerprint: false };
    assert_eq!(read_schedule.apply_peer_read(peer_read), None, "it does not confirm our state");
    assert!(read_schedule.is_due(Some(ms(100)), ms(1_600)));
    read_schedule.record_read(ms(1_600));
    assert!(!read_schedule.is_due(Some(ms(0)), ms(1_650)));
}

#[test]
fn a_lasting_mismatch_does_not_cause_constant_reads() {
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
