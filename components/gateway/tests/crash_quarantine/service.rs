//! A simulated plain service, with crashing requests beside a popular sound one.

use std::collections::HashMap;
use std::time::Instant;

use gateway::crash_quarantine::{CrashQuarantine, QuarantineDecision, QuarantineNews};
use gateway::model::{RequestHash, UpstreamId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{CRASHING_REQUESTS, POPULAR_REQUEST, ms, request_cause};

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
