//! Reachability of upstreams from one gateway.

use std::time::{Duration, Instant};

use gateway::model::UpstreamId;
use gateway::reachability::Reachability;
use gateway::scheduler::AttemptOutcome;

const UPSTREAM_A: UpstreamId = UpstreamId(1);
const UPSTREAM_B: UpstreamId = UpstreamId(2);

#[test]
fn an_unreachable_upstream_is_suspect_with_growing_backoff() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_start(UPSTREAM_A, 1, now);
    reachability.record_end(UPSTREAM_A, 1, AttemptOutcome::Unreachable, now);
    assert_eq!(reachability.suspects(now + Duration::from_millis(400)), [UPSTREAM_A]);
    let later = now + Duration::from_millis(600);
    assert!(reachability.suspects(later).is_empty());
    reachability.record_start(UPSTREAM_A, 2, later);
    reachability.record_end(UPSTREAM_A, 2, AttemptOutcome::Unreachable, later);
    assert_eq!(reachability.suspects(later + Duration::from_millis(900)), [UPSTREAM_A]);
    reachability.record_start(UPSTREAM_A, 3, later);
    reachability.record_end(UPSTREAM_A, 3, AttemptOutcome::Served, later);
    assert!(reachability.suspects(later).is_empty(), "it has responded");
}

#[test]
fn an_upstream_is_unresponsive_if_it_sends_nothing_while_a_request_is_old() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_start(UPSTREAM_A, 1, now);
    reachability.record_start(UPSTREAM_B, 2, now);
    let later = now + Duration::from_millis(800);
    reachability.record_response(UPSTREAM_B, later);
    assert!(reachability.is_unresponsive(UPSTREAM_A, later));
    assert!(
        !reachability.is_unresponsive(UPSTREAM_B, later),
        "a busy upstream is not unresponsive"
    );
    assert_eq!(reachability.suspects(later), [UPSTREAM_A]);
    reachability.record_end(UPSTREAM_A, 1, AttemptOutcome::Abandoned, later);
    assert!(!reachability.is_unresponsive(UPSTREAM_A, later), "no request is open there");
}
