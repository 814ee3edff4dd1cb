//! Next steps after an attempt at an upstream.

use gateway::model::RouteKind;
use gateway::retry::{AttemptResult, Fallback, NextStep, RetryState, decide_next_step};

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::Stream { resumable: true },
    RouteKind::Stream { resumable: false },
];

fn every_attempt_result() -> impl Iterator<Item = AttemptResult> {
    let fixed = [
        AttemptResult::NotSent,
        AttemptResult::Declined,
        AttemptResult::Unknown,
        AttemptResult::Silent,
    ];
    fixed.into_iter().chain((200..=599).map(|status| AttemptResult::Answered { status }))
}

fn every_retry_state() -> impl Iterator<Item = RetryState> {
    KINDS.into_iter().flat_map(|kind| {
        (1..=3).flat_map(move |max_upstreams| {
            (0..=3).map(move |upstreams_used| RetryState { kind, upstreams_used, max_upstreams })
        })
    })
}

fn may_have_run(result: AttemptResult) -> bool {
    !matches!(result, AttemptResult::NotSent | AttemptResult::Declined)
}

/// Guards against running a non-idempotent request twice.
#[test]
fn a_request_that_may_run_once_is_retried_only_if_it_has_not_run() {
    for retry_state in every_retry_state().filter(|retry_state| !retry_state.kind.may_retry()) {
        for result in every_attempt_result().filter(|result| may_have_run(*result)) {
            let next = decide_next_step(result, retry_state);
            assert!(
                !matches!(next, NextStep::Again { .. }),
                "{result:?} {retry_state:?} gave {next:?}"
            );
        }
    }
}

/// Guards against callers that repeat a request because a possible run was reported as none.
#[test]
fn only_requests_that_have_not_run_are_reported_as_not_run() {
    for retry_state in every_retry_state() {
        for result in every_attempt_result().filter(|result| may_have_run(*result)) {
            let fallback = match decide_next_step(result, retry_state) {
                NextStep::Relay => Fallback::Relay,
                NextStep::End(fallback) => fallback,
                NextStep::Again { if_refused, .. } => if_refused,
            };
            assert_ne!(fallback, Fallback::NotRun, "{result:?} {retry_state:?}");
        }
    }
}

#[test]
fn a_status_that_means_not_run_is_not_relayed_for_a_request_that_may_have_run() {
    for status in [408, 421, 429, 503] {
        for retry_state in every_retry_state() {
            let next = decide_next_step(AttemptResult::Answered { status }, retry_state);
            let relays = matches!(next, NextStep::Relay)
                || matches!(next, NextStep::Again { if_refused: Fallback::Relay, .. });
            assert!(!relays, "{status} {retry_state:?} gave {next:?}");
        }
    }
}

#[test]
fn no_more_upstreams_run_a_request_than_its_route_allows() {
    for retry_state in every_retry_state()
        .filter(|retry_state| retry_state.upstreams_used >= retry_state.max_upstreams)
    {
        for result in every_attempt_result().filter(|result| may_have_run(*result)) {
            assert!(
                !matches!(decide_next_step(result, retry_state), NextStep::Again { .. }),
                "{result:?} {retry_state:?}"
            );
        }
    }
}

#[test]
fn an_attempt_that_reached_an_upstream_counts_as_a_retry() {
    let retry_state =
        RetryState { kind: RouteKind::Idempotent, upstreams_used: 0, max_upstreams: 2 };
    let counts = |result| match decide_next_step(result, retry_state) {
        NextStep::Again { counts, .. } => counts,
        other => panic!("{result:?} gave {other:?}"),
    };
    assert!(!counts(AttemptResult::NotSent));
    assert!(counts(AttemptResult::Declined));
    assert!(counts(AttemptResult::Unknown));
    assert!(counts(AttemptResult::Answered { status: 500 }));
}
