//! Notices of upstreams that they leave, or want nothing for some time.

use std::time::{Duration, Instant};

use gateway::model::UpstreamId;
use gateway::upstream_notices::{MAX_PAUSE, PauseDecision, UpstreamNotices};

const LEAVING: UpstreamId = UpstreamId(7);

#[test]
fn a_leaving_upstream_is_told_of_for_ever_or_by_those_who_only_heard_of_it() {
    let now = Instant::now();
    let (mut first, mut second) = (UpstreamNotices::default(), UpstreamNotices::default());
    assert!(first.record_leaving(LEAVING, now));
    assert!(!first.record_leaving(LEAVING, now), "known");
    assert_eq!(first.leaving_news(now), [LEAVING]);
    assert!(second.apply_leaving(&first.leaving_news(now), now));
    assert!(!second.apply_leaving(&first.leaving_news(now), now), "known");
    assert!(second.leaving_news(now).is_empty());
    let later = now + Duration::from_secs(5);
    assert!(first.leaving_news(later).is_empty());
    assert!(first.is_leaving(LEAVING) && second.is_leaving(LEAVING));
}

/// An upstream that starts again has another id, whatever its instance id and address.
#[test]
fn a_restarted_upstream_is_barred_by_the_notice_of_the_one_before() {
    let now = Instant::now();
    let mut notices = UpstreamNotices::default();
    notices.record_leaving(LEAVING, now);
    assert!(!notices.is_leaving(UpstreamId(8)));
    notices.expire(|upstream| upstream == LEAVING, now + Duration::from_secs(600));
    assert!(notices.is_leaving(LEAVING), "it is still listed");
    notices.expire(|_| false, now + Duration::from_secs(600));
    assert!(!notices.is_leaving(LEAVING));
}

#[test]
fn a_pause_ends_early_or_never() {
    let now = Instant::now();
    let mut notices = UpstreamNotices::default();
    notices.record_pause(LEAVING, Duration::from_secs(4), now);
    notices.record_pause(LEAVING, Duration::from_millis(100), now);
    assert!(notices.is_paused(LEAVING, now + Duration::from_millis(3_900)), "the longest holds");
    assert_eq!(notices.paused(now).collect::<Vec<_>>(), [LEAVING]);
    assert!(!notices.is_paused(LEAVING, now + Duration::from_secs(4)));
    notices.record_pause(LEAVING, Duration::from_secs(u64::MAX / 4), now);
    assert!(!notices.is_paused(LEAVING, now + MAX_PAUSE));
}

#[test]
fn requests_ask_paused_upstreams_or_wait_although_one_may_be_asked() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let upstreams = [LEAVING, UpstreamId(8)];
    let mut notices = UpstreamNotices::default();
    let decide =
        |notices: &UpstreamNotices| notices.decide(upstreams, now + ms(800), now + ms(100));
    assert_eq!(decide(&notices), PauseDecision::RequestSlot);
    notices.record_pause(LEAVING, ms(3_000), now);
    assert_eq!(decide(&notices), PauseDecision::RequestSlot, "the other one may be asked");
    notices.record_pause(UpstreamId(8), ms(2_000), now);
    assert_eq!(decide(&notices), PauseDecision::Reject(ms(1_900)));
    let until_later = notices.decide(upstreams, now + ms(2_500), now + ms(100));
    assert_eq!(until_later, PauseDecision::Wait(ms(1_900)));
    assert_eq!(notices.decide([], now, now), PauseDecision::RequestSlot, "none is known");
}
