//! Quarantine of requests and prompt parts under which upstreams end.

mod fleet;
mod service;

use std::time::{Duration, Instant};

use gateway::crash_quarantine::{Cause, CrashQuarantine, QuarantineDecision, Run, RunResult};
use gateway::model::{RequestHash, UpstreamId};

const COMMON: Cause = Cause::PromptPart(1);
const CRASHING: Cause = Cause::PromptPart(666);

/// Requests under which upstreams end, and a popular sound one.
const CRASHING_REQUESTS: [u128; 4] = [666, 667, 668, 669];
const POPULAR_REQUEST: u128 = 1;

fn request_cause(request: u128) -> Cause {
    Cause::Request(RequestHash(request))
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn decide(quarantine: &mut CrashQuarantine, cause: Cause, now: Instant) -> QuarantineDecision {
    quarantine.decide([cause], |_| false, now)
}

fn is_refused(quarantine: &mut CrashQuarantine, cause: Cause, now: Instant) -> bool {
    matches!(decide(quarantine, cause, now), QuarantineDecision::Refuse(..))
}

/// Breaks attempts with causes at `count` engines, 200 ms apart; returns the time after the last.
fn break_attempts(
    quarantine: &mut CrashQuarantine,
    causes: &[Cause],
    count: u32,
    start: Instant,
) -> Instant {
    let mut now = start;
    for number in 0..count {
        quarantine.record_broken(causes.iter().copied(), UpstreamId(number), now);
        now += ms(200);
    }
    now
}

#[test]
fn a_sound_part_of_the_same_requests_is_refused() {
    let start = Instant::now();
    let mut quarantine = CrashQuarantine::default();
    let mut now = start;
    for number in 0..10 {
        quarantine.record_broken([COMMON, CRASHING], UpstreamId(number), now);
        now += ms(200);
        quarantine.record_answered([COMMON, Cause::PromptPart(40)], now);
    }
    assert!(is_refused(&mut quarantine, CRASHING, now));
    assert_eq!(decide(&mut quarantine, COMMON, now), QuarantineDecision::Send);
    assert_eq!(quarantine.quarantined_counts(), (1, 0));
}

/// Load pattern: half of all engines lose power at once, with the only requests of rare parts.
#[test]
fn engines_that_end_at_the_same_moment_quarantine_their_parts() {
    let now = Instant::now();
    let mut quarantine = CrashQuarantine::default();
    for number in 0..40 {
        let at = now + ms(u64::from(number) * 5);
        quarantine.record_broken([COMMON, CRASHING], UpstreamId(number), at);
    }
    assert_eq!(quarantine.quarantined_counts(), (0, 0));
}

#[test]
fn one_failing_engine_quarantines_the_parts_that_it_is_sent() {
    let mut quarantine = CrashQuarantine::default();
    let mut now = Instant::now();
    for _ in 0..20 {
        quarantine.record_broken([CRASHING], UpstreamId(7), now);
        now += ms(500);
    }
    assert_eq!(decide(&mut quarantine, CRASHING, now), QuarantineDecision::Send);
}

#[test]
fn a_quarantine_never_ends() {
    let mut quarantine = CrashQuarantine::default();
    let found_at = break_attempts(&mut quarantine, &[CRASHING], 3, Instant::now());
    assert!(is_refused(&mut quarantine, CRASHING, found_at));
    // No request has had it for two minutes.
    let later = found_at + Duration::from_secs(121);
    quarantine.expire(later);
    assert_eq!(decide(&mut quarantine, CRASHING, later), QuarantineDecision::Send);
    // Requests with it still come: one is sent as a test, at growing intervals, by one gateway.
    let found_at = break_attempts(&mut quarantine, &[CRASHING], 3, later);
    let mut tests = Vec::new();
    for second in 0..2_000 {
        let now = found_at + Duration::from_secs(second);
        quarantine.expire(now);
        assert!(is_refused(&mut quarantine, CRASHING, now), "only the tester tests: {second} s");
        if quarantine.decide([CRASHING], |_| true, now) == QuarantineDecision::Test(CRASHING) {
            quarantine.record_broken([CRASHING], UpstreamId(900), now);
            tests.push(second);
        }
    }
    assert_eq!(tests, [60, 300, 1_260]);
    // A test that succeeds ends it.
    let now = found_at + Duration::from_secs(2_000);
    assert_eq!(quarantine.record_answered([CRASHING], now), [CRASHING]);
    assert_eq!(decide(&mut quarantine, CRASHING, now), QuarantineDecision::Send);
}

#[test]
fn a_part_cleared_at_one_gateway_stays_refused_at_the_others() {
    let now = Instant::now();
    let (mut first, mut second) = (CrashQuarantine::default(), CrashQuarantine::default());
    let now = break_attempts(&mut first, &[CRASHING], 3, now);
    assert_eq!(second.apply_news(&first.part_news(now), now).quarantined, [CRASHING]);
    assert!(is_refused(&mut second, CRASHING, now));
    second.record_answered([CRASHING], now);
    // News of the quarantine that are still under way do not bring it back.
    let news = first.part_news(now);
    first.apply_news(&second.part_news(now + ms(100)), now + ms(100));
    second.apply_news(&news, now + ms(200));
    for quarantine in [&mut first, &mut second] {
        assert_eq!(decide(quarantine, CRASHING, now + ms(300)), QuarantineDecision::Send);
    }
}

/// A request that was answered before and then broke at several upstreams may only have run beside
/// the one that ended them.
#[test]
fn a_sound_request_stays_refused_for_a_minute_after_upstreams_ended_under_it() {
    let start = Instant::now();
    let (mut first, mut second) = (CrashQuarantine::default(), CrashQuarantine::default());
    let request = request_cause(POPULAR_REQUEST);
    first.record_answered([request], start);
    let mut now = start + ms(10_000);
    for number in 0..3 {
        first.record_broken([request], UpstreamId(number), now);
        second.record_broken([request], UpstreamId(number), now);
        now += ms(200);
    }
    assert!(is_refused(&mut first, request, now) && is_refused(&mut second, request, now));
    // The one that has never seen an answer learns that the other one is in doubt.
    second.apply_news(&first.request_news(now), now);
    let tested = second.decide([request], |_| true, now + ms(2_100));
    assert_eq!(tested, QuarantineDecision::Test(request));
    assert_eq!(second.record_answered([request], now + ms(2_200)), [request]);
    first.apply_news(&second.request_news(now + ms(2_300)), now + ms(2_300));
    assert_eq!(decide(&mut first, request, now + ms(2_400)), QuarantineDecision::Send);
}

/// Its parts are sound, so that other requests with them are still sent.
#[test]
fn a_crashing_stream_quarantines_the_sound_parts_of_its_prompt() {
    let mut now = Instant::now();
    let mut quarantine = CrashQuarantine::default();
    let crashing = request_cause(CRASHING_REQUESTS[0]);
    for number in 0..4 {
        quarantine.record_answered([COMMON, request_cause(number)], now);
        quarantine.record_broken([COMMON, crashing], UpstreamId(number as u32), now + ms(100));
        now += ms(500);
    }
    assert_eq!(quarantine.quarantined_counts(), (0, 1));
    assert_eq!(decide(&mut quarantine, COMMON, now), QuarantineDecision::Send);
    assert!(is_refused(&mut quarantine, crashing, now));
}

/// Guards against the rest of a resumed stream that clears the causes under which upstreams end
/// later in their answers.
#[test]
fn completed_rest_of_an_answer_clears_its_causes() {
    let start = Instant::now();
    let mut run = Run::default();
    assert_eq!(run.record_events(start), RunResult::Undecided);
    assert!(run.has_begun());
    let mut rest = run.resume();
    assert_eq!(rest.record_events(start + ms(100)), RunResult::Undecided);
    assert_eq!(rest.record_completion(), RunResult::Undecided);
    // One that goes on for long has survived all the same.
    let mut rest = rest.resume();
    rest.record_events(start + ms(200));
    assert_eq!(rest.record_events(start + ms(2_200)), RunResult::Answered);
    // A run that begins anew after one without events is whole.
    let mut whole = Run::default().resume();
    whole.record_events(start);
    assert_eq!(whole.record_completion(), RunResult::Answered);
}
