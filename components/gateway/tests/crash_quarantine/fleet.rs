//! A simulated fleet, prompts with crashing parts, and engines that end for other reasons.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gateway::crash_quarantine::{
    Cause, CrashQuarantine, PartId, QuarantineDecision, QuarantineNews,
};
use gateway::model::UpstreamId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ms;

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
