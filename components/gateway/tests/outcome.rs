//! What follows from how an upstream dealt with a request.

use gateway::model::RouteKind;
use gateway::outcome::{Chances, Fallback, HandOver, Next, decide};

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::Stream { resumable: true },
    RouteKind::Stream { resumable: false },
];

fn every_hand_over() -> impl Iterator<Item = HandOver> {
    let fixed = [HandOver::NotSent, HandOver::Declined, HandOver::Unknown, HandOver::Silent];
    fixed.into_iter().chain((200..=599).map(|status| HandOver::Answered { status }))
}

fn every_chance() -> impl Iterator<Item = Chances> {
    KINDS.into_iter().flat_map(|kind| {
        (1..=3).flat_map(move |max_upstreams| {
            (0..=3).map(move |upstreams_used| Chances { kind, upstreams_used, max_upstreams })
        })
    })
}

fn may_have_run(ended: HandOver) -> bool {
    !matches!(ended, HandOver::NotSent | HandOver::Declined)
}

#[test]
fn what_may_run_once_goes_out_again_only_if_it_has_not_run() {
    for chances in every_chance().filter(|chances| !chances.kind.may_repeat()) {
        for ended in every_hand_over().filter(|ended| may_have_run(*ended)) {
            let next = decide(ended, chances);
            assert!(!matches!(next, Next::Again { .. }), "{ended:?} {chances:?} gave {next:?}");
        }
    }
}

#[test]
fn not_run_is_only_said_of_what_has_not_run() {
    for chances in every_chance() {
        for ended in every_hand_over().filter(|ended| may_have_run(*ended)) {
            let fallback = match decide(ended, chances) {
                Next::Relay => Fallback::Relay,
                Next::End(fallback) => fallback,
                Next::Again { if_refused, .. } => if_refused,
            };
            assert_ne!(fallback, Fallback::NotRun, "{ended:?} {chances:?}");
        }
    }
}

#[test]
fn a_status_that_means_not_run_is_never_passed_on_for_what_may_have_run() {
    for status in [408, 421, 429, 503] {
        for chances in every_chance() {
            let next = decide(HandOver::Answered { status }, chances);
            let relays = matches!(next, Next::Relay)
                || matches!(next, Next::Again { if_refused: Fallback::Relay, .. });
            assert!(!relays, "{status} {chances:?} gave {next:?}");
        }
    }
}

#[test]
fn no_more_upstreams_run_a_request_than_its_route_allows() {
    for chances in every_chance().filter(|chances| chances.upstreams_used >= chances.max_upstreams)
    {
        for ended in every_hand_over().filter(|ended| may_have_run(*ended)) {
            assert!(!matches!(decide(ended, chances), Next::Again { .. }), "{ended:?} {chances:?}");
        }
    }
}

#[test]
fn what_reached_an_upstream_counts_as_a_repeat() {
    let chances = Chances { kind: RouteKind::Idempotent, upstreams_used: 0, max_upstreams: 2 };
    let counts = |ended| match decide(ended, chances) {
        Next::Again { counts, .. } => counts,
        other => panic!("{ended:?} gave {other:?}"),
    };
    assert!(!counts(HandOver::NotSent));
    assert!(counts(HandOver::Declined));
    assert!(counts(HandOver::Unknown));
    assert!(counts(HandOver::Answered { status: 500 }));
}
