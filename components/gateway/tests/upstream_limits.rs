//! Limits that upstreams name: what gateways know of them, and how many requests they assign.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gateway::broker::{Broker, JobExtension, SlotReply, WireJob};
use gateway::model::{ServiceId, StatedLimit, Topology, Upstream, UpstreamId};
use gateway::scheduler::{AttemptOutcome, Observation, Priority, RouteId};
use gateway::upstream_limits::{AssigningRole, LimitChange, UpstreamLimits};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LIMITED: UpstreamId = UpstreamId(7);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn per_second(limits: &UpstreamLimits, upstream: UpstreamId) -> Option<f64> {
    limits.limits().find(|(limited, _)| *limited == upstream).map(|(_, per_second)| per_second)
}

fn state_limit(limits: &mut UpstreamLimits, rate: f64, now: Instant) -> Option<LimitChange> {
    limits.record_response(LIMITED, StatedLimit::PerSecond(rate), now, now)
}

#[test]
fn a_response_that_was_under_way_ends_a_limit() {
    let now = Instant::now();
    let mut limits = UpstreamLimits::default();
    assert_eq!(limits.record_response(LIMITED, StatedLimit::None, now, now), None);
    let begun = Some(LimitChange { upstream: LIMITED, per_second: Some(2.0) });
    assert_eq!(state_limit(&mut limits, 2.0, now + ms(100)), begun);
    assert_eq!(state_limit(&mut limits, 2.0, now + ms(200)), None, "no change");
    let stated = [StatedLimit::None, StatedLimit::Unreadable];
    for stated in stated {
        assert_eq!(limits.record_response(LIMITED, stated, now + ms(150), now + ms(300)), None);
    }
    assert_eq!(per_second(&limits, LIMITED), Some(2.0));
    let ended = limits.record_response(LIMITED, StatedLimit::None, now + ms(250), now + ms(400));
    assert_eq!(ended, Some(LimitChange { upstream: LIMITED, per_second: None }));
    assert!(!limits.is_limited(LIMITED));
}

#[test]
fn a_restarted_upstream_is_bound_by_the_limit_of_the_one_before() {
    let now = Instant::now();
    let mut limits = UpstreamLimits::default();
    state_limit(&mut limits, 2.0, now);
    assert!(!limits.is_limited(UpstreamId(8)));
    limits.expire(|upstream| upstream == LIMITED, now + Duration::from_secs(3_600));
    assert!(limits.is_limited(LIMITED), "it is still listed");
    limits.expire(|_| false, now + Duration::from_secs(3_600));
    assert!(!limits.is_limited(LIMITED));
}

#[test]
fn a_limit_that_changes_or_ends_at_one_gateway_stays_as_it_was_at_the_others() {
    let start = Instant::now();
    let (mut first, mut second) = (UpstreamLimits::default(), UpstreamLimits::default());
    state_limit(&mut first, 2.0, start);
    assert_eq!(second.apply_news(&first.news(start), start + ms(20)).len(), 1);
    assert!(second.news(start + ms(20)).is_empty(), "only who was told by the upstream tells it");
    // The upstream tells the second one that its limit is another, and then that it has none.
    let sent_at = start + ms(200);
    state_limit(&mut second, 3.5, sent_at);
    first.apply_news(&second.news(sent_at), sent_at + ms(20));
    assert_eq!(per_second(&first, LIMITED), Some(3.5));
    second.record_response(LIMITED, StatedLimit::None, sent_at + ms(100), sent_at + ms(150));
    // Neither the news of the first one nor its own late news bring the limit back.
    second.apply_news(&first.news(sent_at + ms(160)), sent_at + ms(180));
    first.apply_news(&second.news(sent_at + ms(200)), sent_at + ms(220));
    assert!(!first.is_limited(LIMITED) && !second.is_limited(LIMITED));
}

#[test]
fn a_gateway_that_starts_later_or_was_cut_off_goes_by_an_old_limit_or_none() {
    let start = Instant::now();
    let mut limits = UpstreamLimits::default();
    state_limit(&mut limits, 2.0, start);
    let later = start + Duration::from_secs(300);
    let mut newcomer = UpstreamLimits::default();
    newcomer.apply_news(&limits.news(later), later);
    assert_eq!(per_second(&newcomer, LIMITED), Some(2.0));
    // The newcomer is told that the limit has ended while the other one is cut off for a minute.
    newcomer.record_response(LIMITED, StatedLimit::None, later + ms(10), later + ms(20));
    let healed = later + Duration::from_secs(50);
    newcomer.apply_news(&limits.news(healed), healed);
    assert!(!newcomer.is_limited(LIMITED));
    limits.apply_news(&newcomer.news(healed), healed);
    assert!(!limits.is_limited(LIMITED));
}

/// Load pattern: a gateway stands still for seconds and finds all grants of that time at once.
#[test]
fn a_gateway_that_stood_still_sends_its_old_grants_in_a_clump() {
    let now = Instant::now();
    let mut limits = UpstreamLimits::default();
    assert!(limits.may_use_grant(LIMITED, ms(3_000)), "no limit");
    state_limit(&mut limits, 2.0, now);
    assert!(limits.may_use_grant(LIMITED, ms(300)), "the next list of waiting requests");
    assert!(!limits.may_use_grant(LIMITED, ms(3_000)));
}

/// A hundred gateways repeat their news for ten minutes; the end of the limit is newer than all.
#[test]
fn news_that_go_round_keep_a_limit_alive() {
    let start = Instant::now();
    let mut gateways: Vec<UpstreamLimits> = (0..103).map(|_| UpstreamLimits::default()).collect();
    gateways.iter_mut().take(5).for_each(|gateway| {
        state_limit(gateway, 2.0, start);
    });
    let exchange = |gateways: &mut [UpstreamLimits], now: Instant| {
        let news: Vec<_> = gateways.iter().map(|gateway| gateway.news(now)).collect();
        for (receiver, gateway) in gateways.iter_mut().enumerate() {
            for (_, news) in news.iter().enumerate().filter(|(sender, _)| *sender != receiver) {
                gateway.apply_news(news, now + ms(30));
            }
        }
    };
    let mut now = start;
    for _ in 0..120 {
        now += Duration::from_secs(5);
        exchange(&mut gateways, now);
    }
    assert!(gateways.iter().all(|gateway| gateway.is_limited(LIMITED)));
    gateways[90].record_response(LIMITED, StatedLimit::None, now + ms(100), now + ms(120));
    exchange(&mut gateways, now + ms(200));
    assert!(gateways.iter().all(|gateway| !gateway.is_limited(LIMITED)));
}

/// Requests in four seconds that the users allow, whoever assigns.
fn allowed_in_window(limit: f64) -> usize {
    (1.5 * 4.0 * limit) as usize + 5
}

fn upstream(number: u8, service: &str) -> Upstream {
    Upstream {
        instance: format!("i-{number}").as_str().into(),
        started_unix_ms: 1,
        service: service.to_owned(),
        address: ([127, 0, 0, number], 9000).into(),
        zone: "a".to_owned(),
        version: "v1".into(),
        slots: 4,
        draining: false,
    }
}

fn job(wait_left_ms: u32) -> WireJob {
    WireJob {
        service: ServiceId::of("desk"),
        route: RouteId(1),
        priority: Priority { tier: 1, route_tier: 1 },
        prompt_tokens: 0,
        output_tokens: 0,
        tokens_per_event: 1,
        is_stream: false,
        session_part: None,
        is_last_attempt: false,
        waited_ms: 0,
        objective_left_ms: 300,
        pause_objective_ms: None,
        wait_left_ms,
        time_left_ms: 6_000,
        excluded: vec![],
        suspect: vec![],
        extension: JobExtension::default(),
    }
}

/// Gateways that assign the slots of three upstreams, of which some name a limit.
struct Assigners {
    brokers: Vec<Broker>,
    upstreams: Vec<Upstream>,
    last_request_id: u32,
    /// Times at which each upstream was assigned a request, in milliseconds.
    assigned_at_ms: HashMap<UpstreamId, Vec<u64>>,
    rejected: usize,
}

impl Assigners {
    fn new(count: usize, now: Instant) -> Assigners {
        let upstreams: Vec<Upstream> = (0..3).map(|number| upstream(number, "desk")).collect();
        let mut brokers: Vec<Broker> =
            (0..count).map(|_| Broker::new(Topology::default())).collect();
        for broker in &mut brokers {
            broker.set_upstreams(&upstreams, now);
        }
        Assigners {
            brokers,
            upstreams,
            last_request_id: 0,
            assigned_at_ms: HashMap::new(),
            rejected: 0,
        }
    }

    fn limit(&mut self, number: usize, role: AssigningRole, limits: &[f64], now: Instant) {
        let rates = self.upstreams.iter().zip(limits);
        let rates = rates
            .map(|(upstream, limit)| (upstream.id(), role.assignable_per_second(*limit)))
            .collect();
        self.brokers[number].set_rates(&rates, now);
    }

    /// Requests a slot of one broker and releases it at once, as an upstream that answers quickly.
    fn request(&mut self, number: usize, at_ms: u64, now: Instant) {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let zone = "a".into();
        let broker = &mut self.brokers[number];
        match broker.request_slot(1, zone, request_id, &job(1), now) {
            SlotReply::Granted { upstream } => {
                self.assigned_at_ms.entry(upstream).or_default().push(at_ms);
                let served = Observation::outcome_only(AttemptOutcome::Served);
                broker.release(1, request_id, served, now);
            }
            _ => self.rejected += 1,
        }
    }

    /// The most requests that an upstream was assigned within four seconds.
    fn most_in_window(&self, number: usize) -> usize {
        let times = self.assigned_at_ms.get(&self.upstreams[number].id());
        let times = times.map_or(&[][..], Vec::as_slice);
        let in_window =
            |start: &u64| times.iter().filter(|at| (*start..start + 4_000).contains(at)).count();
        times.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Load pattern: 40 requests a second, in bursts of ten, for a minute.
#[test]
fn a_broker_assigns_an_upstream_more_than_its_limit_or_much_less() {
    for limit in [0.0, 0.05, 0.7, 1.0, 1.9, 2.2, 4.0, 9.0] {
        let start = Instant::now();
        let mut assigners = Assigners::new(1, start);
        let role = AssigningRole::Broker { reachable_share: 1.0 };
        assigners.limit(0, role, &[limit], start);
        for number in 0..2_400 {
            let at_ms = number / 10 * 250;
            assigners.request(0, at_ms, start + ms(at_ms));
        }
        let most = assigners.most_in_window(0);
        assert!(most <= allowed_in_window(limit), "{limit} a second: {most}");
        let total = assigners.assigned_at_ms[&assigners.upstreams[0].id()].len();
        let least = (limit * 60.0 * 0.8) as usize;
        assert!(total >= least.max(8), "{limit} a second: {total} in a minute");
        assert_eq!(assigners.rejected, 0, "the neighbours take the others");
    }
}

/// Each gateway takes the role of the broker in turn, for one to three seconds; the next one knows
/// nothing of what it assigned. Meanwhile all others are asked too, as if it did not reply.
#[test]
fn brokers_that_follow_each_other_assign_more_than_the_limit_together() {
    for (gateways, seed) in [(3, 1), (42, 2), (103, 3)] {
        for limit in [0.5, 2.2, 60.0] {
            let start = Instant::now();
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let mut assigners = Assigners::new(gateways, start);
            let (mut broker, mut next_broker_ms) = (0, 0);
            for number in 0..8_000 {
                let at_ms = number * 5 / 2;
                let now = start + ms(at_ms);
                if at_ms >= next_broker_ms {
                    next_broker_ms = at_ms + random.random_range(1_000..3_000);
                    broker = random.random_range(0..gateways);
                    for other in 0..gateways {
                        let role = if other == broker {
                            AssigningRole::Broker { reachable_share: 1.0 }
                        } else {
                            AssigningRole::Substitute { gateway_count: gateways }
                        };
                        assigners.limit(other, role, &[limit], now);
                    }
                }
                let asked =
                    if random.random_bool(0.5) { broker } else { random.random_range(0..gateways) };
                assigners.request(asked, at_ms, now);
            }
            let most = assigners.most_in_window(0);
            assert!(most <= allowed_in_window(limit), "{gateways} gateways, {limit}: {most}");
        }
    }
}

/// Two halves of the gateways lose each other and elect a broker each; for the first second neither
/// knows it.
#[test]
fn both_sides_of_a_cut_assign_the_whole_limit() {
    for limit in [0.5, 2.2, 8.0, 20.0] {
        let start = Instant::now();
        let mut assigners = Assigners::new(2, start);
        for (at_ms, reachable_share) in (0..60_000).step_by(10).map(|at_ms| {
            let is_known = at_ms % 20_000 > 1_000;
            (at_ms, if is_known { 0.5 } else { 1.0 })
        }) {
            let now = start + ms(at_ms);
            for side in 0..2 {
                let role = AssigningRole::Broker { reachable_share };
                assigners.limit(side, role, &[limit], now);
                assigners.request(side, at_ms, now);
            }
        }
        let most = assigners.most_in_window(0);
        assert!(most <= allowed_in_window(limit), "{limit} a second: {most}");
    }
}

/// Load pattern: all upstreams of a service name limits that are far below what is asked.
#[test]
fn requests_beyond_the_limits_of_all_upstreams_wait_in_vain() {
    let start = Instant::now();
    let mut assigners = Assigners::new(1, start);
    let role = AssigningRole::Broker { reachable_share: 1.0 };
    assigners.limit(0, role, &[2.0, 2.0, 2.0], start);
    let broker = &mut assigners.brokers[0];
    let replies: Vec<SlotReply> = (0..40)
        .map(|request_id| broker.request_slot(1, "a".into(), request_id, &job(800), start))
        .collect();
    let queued = replies.iter().filter(|reply| **reply == SlotReply::Queued).count();
    // Six a second in 0.8 s.
    assert_eq!(queued, 4, "those that can be served in time wait");
    for reply in &replies[4..] {
        let SlotReply::Rejected(rejection) = reply else { panic!("{reply:?}") };
        assert!(rejection.retry_after > ms(800), "and the others hear when there is a place");
    }
    let mut granted = 0;
    for tick in 1..=8 {
        let replies = broker.expire_silent(start + ms(tick * 100));
        granted += replies.iter().filter(|reply| reply.reply.is_granted()).count();
    }
    assert!(granted >= 3, "{granted} of those that wait are served");
}

/// A session whose engine has had as many requests as it takes goes on at a neighbour, and stays
/// there: its prompt is prefilled once more, not at each change of engine.
#[test]
fn a_session_moves_between_a_limited_engine_and_its_neighbours_for_ever() {
    let start = Instant::now();
    let mut assigners = Assigners::new(1, start);
    let broker = &mut assigners.brokers[0];
    let mut request_id = 0;
    let mut send = |broker: &mut Broker, now: Instant| {
        request_id += 1;
        let session =
            WireJob { session_part: Some(5), prompt_tokens: 900, is_stream: true, ..job(800) };
        let reply = broker.request_slot(1, "a".into(), request_id, &session, now);
        let SlotReply::Granted { upstream } = reply else { panic!("{reply:?}") };
        broker.release(1, request_id, Observation::outcome_only(AttemptOutcome::Served), now);
        upstream
    };
    let home = send(broker, start);
    assert_eq!(send(broker, start + ms(500)), home);
    broker.set_rates(&[(home, 0.5)].into(), start + ms(1_000));
    let at: Vec<UpstreamId> =
        (0..20).map(|turn| send(broker, start + ms(1_100 + turn * 500))).collect();
    let moves = at.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(at[0] != home && moves == 0, "{at:?}");
}
