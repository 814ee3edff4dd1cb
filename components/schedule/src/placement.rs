//! Chooses the upstream on which a request is expected to finish first.

use std::time::{Duration, Instant};

use identity::{Tier, UpstreamId};
use wire::LoadDigest;

use crate::cost::{RequestSize, Speed, decode_time, prefill_time};
use crate::preempt::TOP_TIER;
use crate::prefix::{ExpectedPrefix, Fingerprint, PrefixHistory};
use crate::recent::{RecentPlacements, UnreportedLoad};

/// Share of the tokens allowed that answers have on the whole.
const EXPECTED_TOKENS_SHARE: f64 = 0.7;

/// How much each further request slows the generation of the others.
const SLOWDOWN_PER_REQUEST: f64 = 0.03;

/// Part of the expected speed of generation below which an upstream is a straggler; prefill beside
/// generation alone may halve it.
const STRAGGLER_PART: f64 = 0.3;

/// Finishes this much later than the best count as equal, in parts of the best.
const NEAR_BEST: f64 = 0.15;

/// Which rules of placement are on; all are, but where the cost of one is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRules {
    /// Reports are corrected by own placements since and by the time that has passed.
    pub correct_reports: bool,
    /// Upstreams that are observed to be much slower than their settings count as slow.
    pub stragglers: bool,
    /// One of the near-best upstreams is drawn, so that entries do not all choose the same.
    pub spread: bool,
    /// Prompts return to where their start is cached.
    pub prefix_home: bool,
}

impl Default for PlacementRules {
    fn default() -> Self {
        PlacementRules { correct_reports: true, stragglers: true, spread: true, prefix_home: true }
    }
}

/// An upstream that fits a request, as the entry process sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Its speed by the settings.
    pub speed: Speed,
    /// Requests that it works on at once by the settings.
    pub slots: u32,
    /// Its last report.
    pub load: LoadDigest,
    /// When the report was made; `None` before the first.
    pub reported_at: Option<Instant>,
    /// Requests of this process in flight there.
    pub own_outstanding: u32,
    /// Round-trip time of a message to the upstream.
    pub round_trip: Duration,
}

/// A request that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Its size.
    pub size: RequestSize,
    /// Its tier.
    pub tier: Tier,
    /// Its prompt.
    pub prompt: &'a Fingerprint,
    /// The time of the decision.
    pub now: Instant,
    /// A random number for this decision.
    pub random: u64,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement<'a> {
    /// Hand it to this upstream.
    Upstream {
        /// The upstream.
        upstream: &'a UpstreamId,
        /// When it is expected to be done.
        finish: Duration,
    },
    /// No candidate fits.
    NoUpstream,
}

/// The state that placement keeps between requests.
#[derive(Debug, Default)]
pub struct Placer {
    rules: PlacementRules,
    recent: RecentPlacements,
    prefixes: PrefixHistory,
}

impl Placer {
    /// A placer with the given rules.
    pub fn new(rules: PlacementRules) -> Placer {
        Placer { rules, ..Placer::default() }
    }

    /// Places a request on a candidate with the earliest expected finish and remembers it.
    pub fn place_request<'a>(
        &mut self,
        candidates: &[Candidate<'a>],
        request: &PlacementRequest<'_>,
    ) -> Placement<'a> {
        let Some((finish, upstream)) = self.choose(candidates, request) else {
            return Placement::NoUpstream;
        };
        self.recent.record_placement(upstream, request.size, request.now);
        self.prefixes.record_placement(request.prompt, upstream);
        Placement::Upstream { upstream, finish }
    }

    fn choose<'a>(
        &self,
        candidates: &[Candidate<'a>],
        request: &PlacementRequest<'_>,
    ) -> Option<(Duration, &'a UpstreamId)> {
        let expected =
            self.prefixes.expected_prefix(request.prompt).filter(|_| self.rules.prefix_home);
        let home = expected.and_then(|expected| find_home(candidates, &expected));
        let finishes: Vec<(Duration, &UpstreamId)> = candidates
            .iter()
            .map(|candidate| {
                let cached = cached_tokens(expected.as_ref(), home, candidate.upstream);
                (self.expected_finish(candidate, request, cached), candidate.upstream)
            })
            .collect();
        let best = *finishes.iter().min()?;
        if !self.rules.spread {
            return Some(best);
        }
        let bound = best.0.mul_f64(1.0 + NEAR_BEST);
        let near: Vec<_> = finishes.into_iter().filter(|(finish, _)| *finish <= bound).collect();
        near.get((request.random % near.len() as u64) as usize).copied()
    }

    /// When a request would be done on a candidate that holds `cached` tokens of its prompt.
    fn expected_finish(
        &self,
        candidate: &Candidate<'_>,
        request: &PlacementRequest<'_>,
        cached: u32,
    ) -> Duration {
        let work = self.work_ahead(candidate, request.now);
        let prompt = u64::from(request.size.prompt_tokens.saturating_sub(cached));
        // Prefill is shared evenly: each request ahead takes as much as this one at most.
        let shared = work.prefill_tokens.min(prompt * u64::from(work.requests));
        let prefill = prefill_time(prompt + shared, work.speed);
        let tokens = (f64::from(request.size.max_tokens) * EXPECTED_TOKENS_SHARE) as u64;
        let wait = if request.tier == TOP_TIER { Duration::ZERO } else { work.wait() };
        candidate.round_trip + wait + prefill + decode_time(tokens, work.speed)
    }

    fn work_ahead(&self, candidate: &Candidate<'_>, now: Instant) -> Work {
        let load = candidate.load;
        let unreported = if self.rules.correct_reports {
            self.recent.unreported_since(candidate.upstream, candidate.reported_at)
        } else {
            UnreportedLoad::default()
        };
        let age = match candidate.reported_at {
            Some(at) if self.rules.correct_reports => now.saturating_duration_since(at),
            _ => Duration::ZERO,
        };
        let mut speed = candidate.speed;
        if self.rules.stragglers {
            speed = observed_speed(speed, load);
        }
        let limit = if load.limit == 0 { candidate.slots } else { load.limit }.max(1);
        let reported = load.queued + load.running;
        let drained_decode = age.as_secs_f64()
            * f64::from(speed.decode_tokens_per_s)
            * f64::from(reported.min(limit));
        let drained_prefill = age.as_secs_f64() * f64::from(speed.prefill_tokens_per_s);
        let decode_left = load.remaining_decode_tokens.saturating_sub(drained_decode as u64);
        let left = match load.remaining_decode_tokens {
            0 => 1.0,
            total => decode_left as f64 / total as f64,
        };
        let reported_left = (f64::from(reported) * left).ceil() as u32;
        let requests = candidate.own_outstanding.max(reported_left + unreported.requests);
        let slowdown = 1.0 + SLOWDOWN_PER_REQUEST * f64::from(requests);
        speed.decode_tokens_per_s = (f64::from(speed.decode_tokens_per_s) / slowdown) as u32;
        Work {
            speed,
            limit,
            requests,
            prefill_tokens: load.queued_prefill_tokens.saturating_sub(drained_prefill as u64)
                + unreported.prompt_tokens,
            decode_tokens: decode_left + unreported.max_tokens,
        }
    }
}

/// What an upstream is believed to have before it.
#[derive(Debug, Clone, Copy)]
struct Work {
    speed: Speed,
    limit: u32,
    requests: u32,
    prefill_tokens: u64,
    decode_tokens: u64,
}

impl Work {
    /// Time until a request that joins the end of the queue is handed over.
    fn wait(&self) -> Duration {
        if self.requests < self.limit {
            return Duration::ZERO;
        }
        let ahead = f64::from(self.requests + 1 - self.limit) / f64::from(self.requests);
        let decode = decode_time(self.decode_tokens, self.speed) / self.limit;
        (decode + prefill_time(self.prefill_tokens, self.speed)).mul_f64(ahead)
    }
}

/// The speeds of the settings, cut down where generation is observed to be much slower than the
/// batch explains: then the upstream is a straggler, in prefill as well.
fn observed_speed(settings: Speed, load: LoadDigest) -> Speed {
    let observed = f64::from(load.decode_tokens_per_s);
    let alone = f64::from(settings.decode_tokens_per_s);
    let expected = alone / (1.0 + SLOWDOWN_PER_REQUEST * f64::from(load.running));
    let part = observed / expected;
    if observed == 0.0 || part > STRAGGLER_PART {
        return settings;
    }
    let cut = |speed: u32| (f64::from(speed) * part) as u32;
    Speed {
        prefill_tokens_per_s: cut(settings.prefill_tokens_per_s),
        decode_tokens_per_s: cut(settings.decode_tokens_per_s),
    }
}

fn find_home<'a>(
    candidates: &[Candidate<'a>],
    expected: &ExpectedPrefix<'_>,
) -> Option<&'a UpstreamId> {
    candidates.iter().map(|candidate| candidate.upstream).max_by_key(|name| expected.rank(name))
}

fn cached_tokens(
    expected: Option<&ExpectedPrefix<'_>>,
    home: Option<&UpstreamId>,
    upstream: &UpstreamId,
) -> u32 {
    let Some(expected) = expected else { return 0 };
    let likely = home == Some(upstream) || expected.last_upstream == Some(upstream);
    if likely { expected.tokens } else { 0 }
}
