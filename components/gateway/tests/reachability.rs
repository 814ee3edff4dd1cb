//! How well an entry reaches each upstream.

use std::time::{Duration, Instant};

use gateway::model::UpstreamId;
use gateway::reachability::Reachability;
use gateway::scheduler::AttemptOutcome;

const HERE: UpstreamId = UpstreamId(1);
const THERE: UpstreamId = UpstreamId(2);

#[test]
fn an_upstream_that_cannot_be_reached_is_doubtful_for_a_time_that_grows() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_start(HERE, 1, now);
    reachability.record_end(HERE, 1, AttemptOutcome::Unreachable, now);
    assert_eq!(reachability.suspects(now + Duration::from_millis(400)), [HERE]);
    let later = now + Duration::from_millis(600);
    assert!(reachability.suspects(later).is_empty());
    reachability.record_start(HERE, 2, later);
    reachability.record_end(HERE, 2, AttemptOutcome::Unreachable, later);
    assert_eq!(reachability.suspects(later + Duration::from_millis(900)), [HERE]);
    reachability.record_start(HERE, 3, later);
    reachability.record_end(HERE, 3, AttemptOutcome::Served, later);
    assert!(reachability.suspects(later).is_empty(), "it has answered");
}

#[test]
fn an_upstream_is_silent_when_nothing_is_heard_while_a_request_is_old() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_start(HERE, 1, now);
    reachability.record_start(THERE, 2, now);
    let later = now + Duration::from_millis(800);
    reachability.record_response(THERE, later);
    assert!(reachability.is_unresponsive(HERE, later));
    assert!(!reachability.is_unresponsive(THERE, later), "a busy upstream is not silent");
    assert_eq!(reachability.suspects(later), [HERE]);
    reachability.record_end(HERE, 1, AttemptOutcome::Abandoned, later);
    assert!(!reachability.is_unresponsive(HERE, later), "nothing is asked of it");
}
