//! Quarantine of requests and prompt parts under which upstreams end.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gateway::crash_quarantine::{
    Cause, CrashQuarantine, PartId, QuarantineDecision, QuarantineNews,
};
use gateway::model::{RequestHash, UpstreamId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const COMMON: Cause = Cause::PromptPart(1);
const CRASHING: Cause = Cause::PromptPart(666);

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

/// Gateways that tell each other their news every `interval`, each message lost once in fifty.
struct Fleet {
    gateways: Vec<CrashQuarantine>,
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
            gateways: (0..count).map(|_| CrashQuarantine::default()).collect(),
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
        let news: Vec<QuarantineNews<PartId>> =
            self.gateways.iter().map(|gateway| gateway.part_news(now)).collect();
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
        let parts = if has_crashing_part { vec![common, crashing_part] } else { vec![common] };
        let parts: Vec<Cause> = parts.into_iter().map(Cause::PromptPart).collect();
        let is_sent = gateway.decide(parts.clone(), |_| false, now) == QuarantineDecision::Send;
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

/// Crashing requests in the simulated service, a popular sound one, and all others, which are asked
/// for once.
const CRASHING_REQUESTS: [u128; 4] = [666, 667, 668, 669];
const POPULAR_REQUEST: u128 = 1;

fn request_cause(request: u128) -> Cause {
    Cause::Request(RequestHash(request))
}

/// Attempt that runs at an upstream.
#[derive(Debug, Clone, Copy)]
struct Running {
    request: u128,
    gateway: usize,
    attempts: u32,
    ends_at_ms: u64,
}

#[derive(Debug)]
struct SimulatedUpstream {
    id: UpstreamId,
    /// Time from which it runs requests.
    up_from_ms: u64,
    running: Vec<Running>,
}

/// Load pattern: a plain service with few upstreams, 20 requests a second with 60 ms of work each,
/// a quarter of them for one thing. From 5, 10, 15 and 20 s on, a request that ends each upstream comes
/// once a second, and once more when it fails. An upstream that has ended starts again 3.5 s later.
struct SimulatedService {
    gateways: Vec<CrashQuarantine>,
    upstreams: Vec<SimulatedUpstream>,
    random: ChaCha8Rng,
    start: Instant,
    last_id: u32,
    crashing_reached_ms: HashMap<u128, Vec<u64>>,
    popular: (u32, u32),
    others: (u32, u32),
}

impl SimulatedService {
    fn new(gateways: usize, upstreams: u32, seed: u64) -> SimulatedService {
        let upstream =
            |id| SimulatedUpstream { id: UpstreamId(id), up_from_ms: 0, running: Vec::new() };
        SimulatedService {
            gateways: (0..gateways).map(|_| CrashQuarantine::default()).collect(),
            upstreams: (0..upstreams).map(upstream).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            last_id: upstreams,
            crashing_reached_ms: HashMap::new(),
            popular: (0, 0),
            others: (0, 0),
        }
    }

    /// Plays a minute. With `others_end`, three upstreams of four also end at 12 s for another
    /// reason.
    fn play(mut self, others_end: bool) -> SimulatedService {
        for at_ms in 0..60_000 {
            self.finish_runs(at_ms);
            if others_end && at_ms == 12_000 {
                let count = self.upstreams.len() * 3 / 4;
                (0..count).for_each(|number| self.end_upstream(number, at_ms));
            }
            if at_ms % 800 == 0 {
                self.exchange_news(at_ms);
            }
            if at_ms % 50 == 0 {
                let request = match self.random.random_range(0..4) {
                    0 => POPULAR_REQUEST,
                    _ => u128::from(at_ms) << 32,
                };
                self.call(request, at_ms);
            }
            for (number, request) in (1..).zip(CRASHING_REQUESTS) {
                let since_ms = number * 5_000;
                if at_ms > since_ms && [7, 307].contains(&(at_ms % 1_000)) {
                    self.call(request, at_ms);
                }
            }
        }
        self
    }

    fn call(&mut self, request: u128, at_ms: u64) {
        let gateway = self.random.random_range(0..self.gateways.len());
        let is_sent = self.send(request, gateway, 1, at_ms);
        let count = match request {
            POPULAR_REQUEST => &mut self.popular,
            _ if CRASHING_REQUESTS.contains(&request) => return,
            _ => &mut self.others,
        };
        count.0 += 1;
        count.1 += u32::from(!is_sent);
    }

    /// Sends an attempt to an upstream that is up; returns whether the quarantine allows it.
    fn send(&mut self, request: u128, gateway: usize, attempts: u32, at_ms: u64) -> bool {
        let now = self.start + ms(at_ms);
        let decision =
            self.gateways[gateway].decide([request_cause(request)], |_| gateway == 0, now);
        if matches!(decision, QuarantineDecision::Refuse(..)) {
            return false;
        }
        let up: Vec<usize> = (0..self.upstreams.len())
            .filter(|number| self.upstreams[*number].up_from_ms <= at_ms)
            .collect();
        if up.is_empty() {
            return true;
        }
        let number = up[self.random.random_range(0..up.len())];
        let crashes = CRASHING_REQUESTS.contains(&request);
        if crashes {
            self.crashing_reached_ms.entry(request).or_default().push(at_ms);
        }
        let work_ms = if crashes { 30 } else { 60 };
        let running = Running { request, gateway, attempts, ends_at_ms: at_ms + work_ms };
        self.upstreams[number].running.push(running);
        true
    }

    fn finish_runs(&mut self, at_ms: u64) {
        let now = self.start + ms(at_ms);
        for number in 0..self.upstreams.len() {
            let running = &mut self.upstreams[number].running;
            let done: Vec<Running> =
                running.extract_if(.., |run| run.ends_at_ms <= at_ms).collect();
            if done.iter().any(|run| CRASHING_REQUESTS.contains(&run.request)) {
                running.extend(done);
                self.end_upstream(number, at_ms);
                continue;
            }
            for run in done {
                self.gateways[run.gateway].record_answered([request_cause(run.request)], now);
            }
        }
    }

    /// Ends an upstream with all that it runs; each request is sent once more.
    fn end_upstream(&mut self, number: usize, at_ms: u64) {
        let now = self.start + ms(at_ms);
        let upstream = &mut self.upstreams[number];
        let broken_at = upstream.id;
        let broken = std::mem::take(&mut upstream.running);
        self.last_id += 1;
        (upstream.id, upstream.up_from_ms) = (UpstreamId(self.last_id), at_ms + 3_500);
        for run in &broken {
            let gateway = &mut self.gateways[run.gateway];
            gateway.record_broken([request_cause(run.request)], broken_at, now);
        }
        for run in broken.iter().filter(|run| run.attempts < 2) {
            self.send(run.request, run.gateway, run.attempts + 1, at_ms);
        }
    }

    fn exchange_news(&mut self, at_ms: u64) {
        let now = self.start + ms(at_ms);
        let news: Vec<QuarantineNews<RequestHash>> =
            self.gateways.iter().map(|gateway| gateway.request_news(now)).collect();
        for (receiver, gateway) in self.gateways.iter_mut().enumerate() {
            gateway.expire(now);
            for (sender, news) in news.iter().enumerate() {
                if sender != receiver && !self.random.random_bool(0.02) {
                    gateway.apply_news(news, now);
                }
            }
        }
    }

    /// The most often that one crashing request reached upstreams later than 3 s after the third
    /// time.
    fn most_late(&self) -> usize {
        let late = |reached: &Vec<u64>| {
            let third = reached.get(2)?;
            Some(reached.iter().filter(|at| **at > third + 3_000).count())
        };
        self.crashing_reached_ms.values().filter_map(late).max().unwrap_or(0)
    }
}

/// The users allow three crashing requests later than 3 s after the third end.
#[test]
fn a_popular_request_beside_crashing_ones_is_refused() {
    for (gateways, upstreams, seeds) in [(4, 3, 8), (4, 16, 3), (42, 16, 1), (103, 3, 1)] {
        for (others_end, seed) in (0..seeds).flat_map(|seed| [(false, seed), (true, seed)]) {
            let service = SimulatedService::new(gateways, upstreams, seed).play(others_end);
            let context = format!("{gateways} gateways, {upstreams} upstreams, seed {seed}");
            assert!(service.most_late() <= 3, "{context}: {:?}", service.crashing_reached_ms);
            for (sent, refused) in [service.popular, service.others] {
                let refused_share = f64::from(refused) / f64::from(sent);
                assert!(refused_share < 0.01, "{context}: {refused} of {sent} refused");
            }
        }
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
