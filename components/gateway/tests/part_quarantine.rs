//! Quarantine of prompt parts under which engines end.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gateway::model::UpstreamId;
use gateway::part_quarantine::{PartDecision, PartId, PartNews, PartQuarantine};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const COMMON: PartId = 1;
const CRASHING: PartId = 666;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn decide(quarantine: &mut PartQuarantine, part: PartId, now: Instant) -> PartDecision {
    quarantine.decide([part], |_| false, now)
}

fn is_refused(quarantine: &mut PartQuarantine, part: PartId, now: Instant) -> bool {
    matches!(decide(quarantine, part, now), PartDecision::Refuse(..))
}

/// Breaks attempts with a part at `count` engines, 200 ms apart; returns the time after the last.
fn break_attempts(
    quarantine: &mut PartQuarantine,
    parts: &[PartId],
    count: u32,
    start: Instant,
) -> Instant {
    let mut now = start;
    for number in 0..count {
        quarantine.record_broken(parts.iter().copied(), UpstreamId(number), now);
        now += ms(200);
    }
    now
}

#[test]
fn a_sound_part_of_the_same_requests_is_refused() {
    let start = Instant::now();
    let mut quarantine = PartQuarantine::default();
    let mut now = start;
    for number in 0..10 {
        quarantine.record_broken([COMMON, CRASHING], UpstreamId(number), now);
        now += ms(200);
        quarantine.record_answered([COMMON, 40], now);
    }
    assert!(is_refused(&mut quarantine, CRASHING, now));
    assert_eq!(decide(&mut quarantine, COMMON, now), PartDecision::Send);
    assert_eq!(quarantine.quarantined_count(), 1);
}

/// Load pattern: half of all engines lose power at once, with the only requests of rare parts.
#[test]
fn engines_that_end_at_the_same_moment_quarantine_their_parts() {
    let now = Instant::now();
    let mut quarantine = PartQuarantine::default();
    for number in 0..40 {
        let at = now + ms(u64::from(number) * 5);
        quarantine.record_broken([COMMON, CRASHING], UpstreamId(number), at);
    }
    assert_eq!(quarantine.quarantined_count(), 0);
}

#[test]
fn one_failing_engine_quarantines_the_parts_that_it_is_sent() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant::now();
    for _ in 0..20 {
        quarantine.record_broken([CRASHING], UpstreamId(7), now);
        now += ms(500);
    }
    assert_eq!(decide(&mut quarantine, CRASHING, now), PartDecision::Send);
}

#[test]
fn a_quarantine_never_ends() {
    let mut quarantine = PartQuarantine::default();
    let found_at = break_attempts(&mut quarantine, &[CRASHING], 3, Instant::now());
    assert!(is_refused(&mut quarantine, CRASHING, found_at));
    // No request has had it for two minutes.
    let later = found_at + Duration::from_secs(121);
    quarantine.expire(later);
    assert_eq!(decide(&mut quarantine, CRASHING, later), PartDecision::Send);
    // Requests with it still come: one is sent as a test, at growing intervals, by one gateway.
    let found_at = break_attempts(&mut quarantine, &[CRASHING], 3, later);
    let mut tests = Vec::new();
    for second in 0..2_000 {
        let now = found_at + Duration::from_secs(second);
        quarantine.expire(now);
        assert!(is_refused(&mut quarantine, CRASHING, now), "only the tester tests: {second} s");
        if quarantine.decide([CRASHING], |_| true, now) == PartDecision::Test(CRASHING) {
            quarantine.record_broken([CRASHING], UpstreamId(900), now);
            tests.push(second);
        }
    }
    assert_eq!(tests, [60, 300, 1_260]);
    // A test that succeeds ends it.
    let now = found_at + Duration::from_secs(2_000);
    assert_eq!(quarantine.record_answered([CRASHING], now), [CRASHING]);
    assert_eq!(decide(&mut quarantine, CRASHING, now), PartDecision::Send);
}

#[test]
fn a_part_cleared_at_one_gateway_stays_refused_at_the_others() {
    let now = Instant::now();
    let (mut first, mut second) = (PartQuarantine::default(), PartQuarantine::default());
    let now = break_attempts(&mut first, &[CRASHING], 3, now);
    assert_eq!(second.apply_news(&first.news(now), now).quarantined, [CRASHING]);
    assert!(is_refused(&mut second, CRASHING, now));
    second.record_answered([CRASHING], now);
    // News of the quarantine that are still under way do not bring it back.
    let news = first.news(now);
    first.apply_news(&second.news(now + ms(100)), now + ms(100));
    second.apply_news(&news, now + ms(200));
    for quarantine in [&mut first, &mut second] {
        assert_eq!(decide(quarantine, CRASHING, now + ms(300)), PartDecision::Send);
    }
}

/// Gateways that tell each other their news every `interval`, each message lost once in fifty.
struct Fleet {
    gateways: Vec<PartQuarantine>,
    random: ChaCha8Rng,
    interval: Duration,
}

/// What happened to the requests of a day.
#[derive(Debug, Default)]
struct Figures {
    /// Times at which requests with each crashing part reached an engine.
    reached: HashMap<PartId, Vec<Duration>>,
    sound: u32,
    sound_refused: u32,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        Fleet {
            gateways: (0..count).map(|_| PartQuarantine::default()).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            interval: ms(800),
        }
    }

    /// Plays thirty seconds: `rate` requests a second, one in twenty with a crashing part, and
    /// one attempt in a hundred that breaks for another reason. From 10 to 12 s half of them do.
    fn play(&mut self, rate: u64, crashing: &[PartId]) -> Figures {
        let start = Instant::now();
        let mut figures = Figures::default();
        let mut next_exchange = ms(0);
        for number in 0..30 * rate {
            let elapsed = ms(number * 1_000 / rate);
            let now = start + elapsed;
            if elapsed >= next_exchange {
                next_exchange += self.interval;
                self.exchange_news(now);
            }
            self.send_request(crashing, elapsed, now, &mut figures);
        }
        figures
    }

    fn exchange_news(&mut self, now: Instant) {
        let news: Vec<PartNews> = self.gateways.iter().map(|gateway| gateway.news(now)).collect();
        for (receiver, gateway) in self.gateways.iter_mut().enumerate() {
            gateway.expire(now);
            for (sender, news) in news.iter().enumerate() {
                if sender != receiver && !self.random.random_bool(0.02) {
                    gateway.apply_news(news, now);
                }
            }
        }
    }

    fn send_request(
        &mut self,
        crashing: &[PartId],
        elapsed: Duration,
        now: Instant,
        figures: &mut Figures,
    ) {
        let random = &mut self.random;
        let gateway_number = random.random_range(0..self.gateways.len());
        let gateway = &mut self.gateways[gateway_number];
        let common = random.random_range(1..=40);
        let upstream = UpstreamId(random.random());
        let crashing_part = crashing[random.random_range(0..crashing.len())];
        let has_crashing_part = random.random_bool(0.05);
        let parts: Vec<PartId> =
            if has_crashing_part { vec![common, crashing_part] } else { vec![common] };
        let is_sent = gateway.decide(parts.clone(), |_| false, now) == PartDecision::Send;
        if has_crashing_part {
            if is_sent {
                figures.reached.entry(crashing_part).or_default().push(elapsed);
                gateway.record_broken(parts, upstream, now);
            }
            return;
        }
        figures.sound += 1;
        if !is_sent {
            figures.sound_refused += 1;
            return;
        }
        let is_outage = (ms(10_000)..ms(12_000)).contains(&elapsed);
        if random.random_bool(if is_outage { 0.5 } else { 0.01 }) {
            gateway.record_broken(parts, upstream, now);
        } else {
            gateway.record_answered(parts, now);
        }
    }
}

/// Load pattern: from 4 to 103 gateways, 48 to 470 requests a second, one or two crashing parts,
/// and engines that end for other reasons. The users allow three requests later than 3 s after the
/// fifth end.
#[test]
fn engines_go_on_ending_because_gateways_do_not_tell_each_other() {
    for (gateways, rate, seeds) in [(4, 48, 20), (30, 150, 8), (103, 470, 2)] {
        for crashing in [&[666][..], &[666, 667][..]] {
            for seed in 0..seeds {
                let figures = Fleet::new(gateways, seed).play(rate, crashing);
                for (part, reached) in &figures.reached {
                    let Some(fifth_at) = reached.get(4) else { continue };
                    let late = reached.iter().filter(|at| **at > *fifth_at + ms(3_000)).count();
                    assert!(
                        late <= 3,
                        "{gateways} gateways, seed {seed}: part {part}, {late} late of {}",
                        reached.len()
                    );
                }
                let refused_share = f64::from(figures.sound_refused) / f64::from(figures.sound);
                assert!(refused_share < 0.01, "{gateways} gateways, seed {seed}: {figures:?}");
            }
        }
    }
}
