//! Confirmations of customers' keys by a store that may hold an older copy.

use std::time::Duration;

use gateway::key_confirmation::KeyConfirmation;

const LIMIT: Duration = Duration::from_millis(4_500);

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn an_older_copy_confirms_keys() {
    let mut keys = KeyConfirmation::default();
    keys.confirm(s(10.0));
    keys.record_restore(s(11.0));
    keys.confirm(s(11.0));
    keys.confirm(s(12.5));
    assert_eq!(keys.confirmed_at(), Some(s(10.0)));
    assert!(keys.is_within(s(14.4), LIMIT) && !keys.is_within(s(14.6), LIMIT));
    assert!(!keys.awaits_read(s(12.9)) && keys.awaits_read(s(13.0)));
    keys.confirm(s(13.0));
    assert_eq!(keys.confirmed_at(), Some(s(13.0)), "what was lost has been written again");
    assert!(!keys.awaits_read(s(13.1)));
}

#[test]
fn keys_expire_although_the_operators_have_written_since_the_restore() {
    let mut keys = KeyConfirmation::default();
    keys.record_restore(s(11.0));
    keys.record_configuration_written();
    keys.confirm(s(11.5));
    assert_eq!(keys.age(s(12.0)), Some(s(0.5)));
}

/// A peer that has not read the copy, or knows that it is no longer one, confirms keys meanwhile.
#[test]
fn a_peer_that_knows_better_does_not_count() {
    let mut keys = KeyConfirmation::default();
    keys.record_restore(s(11.0));
    keys.confirm_by_peer(s(10.5));
    keys.confirm_by_peer(s(9.0));
    assert_eq!(keys.confirmed_at(), Some(s(10.5)));
}
