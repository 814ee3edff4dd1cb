//! How well an entry reaches each upstream.

use std::time::{Duration, Instant};

use gateway::contact::Contacts;
use gateway::model::UpstreamId;
use gateway::scheduler::Ending;

const HERE: UpstreamId = UpstreamId(1);
const THERE: UpstreamId = UpstreamId(2);

#[test]
fn an_upstream_that_cannot_be_reached_is_doubtful_for_a_time_that_grows() {
    let now = Instant::now();
    let mut contacts = Contacts::default();
    contacts.begin(HERE, 1, now);
    contacts.end(HERE, 1, Ending::Unreachable, now);
    assert_eq!(contacts.doubtful(now + Duration::from_millis(400)), [HERE]);
    let later = now + Duration::from_millis(600);
    assert!(contacts.doubtful(later).is_empty());
    contacts.begin(HERE, 2, later);
    contacts.end(HERE, 2, Ending::Unreachable, later);
    assert_eq!(contacts.doubtful(later + Duration::from_millis(900)), [HERE]);
    contacts.begin(HERE, 3, later);
    contacts.end(HERE, 3, Ending::Served, later);
    assert!(contacts.doubtful(later).is_empty(), "it has answered");
}

#[test]
fn an_upstream_is_silent_when_nothing_is_heard_while_a_request_is_old() {
    let now = Instant::now();
    let mut contacts = Contacts::default();
    contacts.begin(HERE, 1, now);
    contacts.begin(THERE, 2, now);
    let later = now + Duration::from_millis(800);
    contacts.hear(THERE, later);
    assert!(contacts.is_silent(HERE, later));
    assert!(!contacts.is_silent(THERE, later), "a busy upstream is not silent");
    assert_eq!(contacts.doubtful(later), [HERE]);
    contacts.end(HERE, 1, Ending::Abandoned, later);
    assert!(!contacts.is_silent(HERE, later), "nothing is asked of it");
}
