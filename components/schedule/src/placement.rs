//! Placement of a request on the upstream that is expected to finish it first.

use std::time::{Duration, Instant};

use identity::{Tier, UpstreamId};
use wire::LoadDigest;

use crate::cost::{RequestSize, Speed, decode_time, prefill_time};
use crate::preempt::TOP_TIER;
use crate::prefix::{ExpectedPrefix, PrefixHistory, PromptFingerprint};
use crate::recent::{RecentPlacements, UnreportedLoad};

/// Average length of a response, as a share of the tokens allowed.
const EXPECTED_OUTPUT_SHARE: f64 = 0.7;

/// Relative slowdown of a request's generation by each further request at the upstream.
const SLOWDOWN_PER_REQUEST: f64 = 0.03;

/// Ratio of observed to expected generation speed up to which an upstream counts as a straggler. It
/// is well below one half, since concurrent prefill by itself may halve the speed.
const STRAGGLER_SPEED_RATIO: f64 = 0.3;

/// Expected finish times up to this share later than the earliest one count as equal to it.
const NEAR_BEST_MARGIN: f64 = 0.15;

/// Switches for the placement rules. All are on by default; a rule is switched off only to measure
/// its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRules {
    /// Correct reports by the placements of this process and by the time that has passed since.
    pub correct_reports: bool,
    /// Reduce the expected speed of upstreams that are observed to be much slower than configured.
    pub stragglers: bool,
    /// Choose at random among the near-best upstreams, so that entries do not all choose the same.
    pub spread: bool,
    /// Account for upstreams that are likely to have the prefix of the prompt cached.
    pub prefix_home: bool,
}

impl Default for PlacementRules {
    fn default() -> Self {
        PlacementRules { correct_reports: true, stragglers: true, spread: true, prefix_home: true }
    }
}

/// An upstream that can serve a request, and its state as known to the entry process.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Configured speed of the upstream.
    pub speed: Speed,
    /// Configured number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Load in the last report of the upstream.
    pub load: LoadDigest,
    /// Time at which the load was reported; `None` before the first report.
    pub reported_at: Option<Instant>,
    /// Requests of this process that are in flight at the upstream.
    pub own_outstanding: u32,
    /// Round-trip time of a message to the upstream.
    pub round_trip: Duration,
}

/// Request to be placed, and the inputs of the decision.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Size of the request.
    pub size: RequestSize,
    /// Tier of the request.
    pub tier: Tier,
    /// Fingerprint of the prompt.
    pub prompt: &'a PromptFingerprint,
    /// Time of the decision.
    pub now: Instant,
    /// Random number for the choice among near-best upstreams.
    pub random: u64,
}

/// Placement decision for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement<'a> {
    /// Dispatch the request to this upstream.
    Upstream {
        /// The upstream.
        upstream: &'a UpstreamId,
        /// Expected time until the request is finished.
        finish: Duration,
    },
    /// There is no candidate.
    NoUpstream,
}

/// Places requests, based on the candidates and on earlier placements by this process.
#[derive(Debug, Default)]
pub struct Placer {
    rules: PlacementRules,
    recent: RecentPlacements,
    prefixes: PrefixHistory,
}

impl Placer {
    /// Creates a placer with the given rules.
    pub fn new(rules: PlacementRules) -> Placer {
        Placer { rules, ..Placer::default() }
    }

    /// Places a request on a candidate with the earliest or a near-best expected finish time, and
    /// records the placement.
    pub fn place_request<'a>(
        &mut self,
        candidates: &[Candidate<'a>],
        request: &PlacementRequest<'_>,
    ) -> Placement<'a> {
        let Some((finish, upstream)) = self.choose_upstream(candidates, request) else {
            return Placement::NoUpstream;
        };
        self.recent.record_placement(upstream, request.size, request.now);
        self.prefixes.record_placement(request.prompt, upstream);
        Placement::Upstream { upstream, finish }
    }

    fn choose_upstream<'a>(
        &self,
        candidates: &[Candidate<'a>],
        request: &PlacementRequest<'_>,
    ) -> Option<(Duration, &'a UpstreamId)> {
        let expected =
            self.prefixes.expected_prefix(request.prompt).filter(|_| self.rules.prefix_home);
        let preferred =
            expected.and_then(|expected| find_preferred_upstream(candidates, &expected));
        let finishes: Vec<(Duration, &UpstreamId)> = candidates
            .iter()
            .map(|candidate| {
                let cached_tokens =
                    expected_cached_tokens(expected.as_ref(), preferred, candidate.upstream);
                (self.expected_finish(candidate, request, cached_tokens), candidate.upstream)
            })
            .collect();
        let best = *finishes.iter().min()?;
        if !self.rules.spread {
            return Some(best);
        }
        let latest_finish = best.0.mul_f64(1.0 + NEAR_BEST_MARGIN);
        let near_best: Vec<_> =
            finishes.into_iter().filter(|(finish, _)| *finish <= latest_finish).collect();
        near_best.get((request.random % near_best.len() as u64) as usize).copied()
    }

    /// Returns the expected time until a request is finished on a candidate that has
    /// `cached_tokens` of its prompt cached.
    fn expected_finish(
        &self,
        candidate: &Candidate<'_>,
        request: &PlacementRequest<'_>,
        cached_tokens: u32,
    ) -> Duration {
        let load = self.estimate_load(candidate, request.now);
        let prefill_tokens = u64::from(request.size.prompt_tokens.saturating_sub(cached_tokens));
        // Prefill is shared evenly, so each request ahead delays this one by at most as many tokens
        // as this one has.
        let tokens_ahead = load.prefill_tokens.min(prefill_tokens * u64::from(load.requests));
        let prefill = prefill_time(prefill_tokens + tokens_ahead, load.speed);
        let output_tokens = (f64::from(request.size.max_tokens) * EXPECTED_OUTPUT_SHARE) as u64;
        let wait = if request.tier == TOP_TIER { Duration::ZERO } else { load.queue_wait() };
        candidate.round_trip + wait + prefill + decode_time(output_tokens, load.speed)
    }

    /// Estimates the current load of a candidate from its last report, the placements of this
    /// process and the time that has passed since.
    fn estimate_load(&self, candidate: &Candidate<'_>, now: Instant) -> EstimatedLoad {
        let report = candidate.load;
        let unreported = if self.rules.correct_reports {
            self.recent.unreported_since(candidate.upstream, candidate.reported_at)
        } else {
            UnreportedLoad::default()
        };
        let report_age = match candidate.reported_at {
            Some(at) if self.rules.correct_reports => now.saturating_duration_since(at),
            _ => Duration::ZERO,
        };
        let mut speed = candidate.speed;
        if self.rules.stragglers {
            speed = straggler_adjusted_speed(speed, report);
        }
        let limit = if report.limit == 0 { candidate.slots } else { report.limit }.max(1);
        let reported_requests = report.queued + report.running;
        let decoded_since_report = report_age.as_secs_f64()
            * f64::from(speed.decode_tokens_per_s)
            * f64::from(reported_requests.min(limit));
        let prefilled_since_report =
            report_age.as_secs_f64() * f64::from(speed.prefill_tokens_per_s);
        let decode_tokens_left =
            report.remaining_decode_tokens.saturating_sub(decoded_since_report as u64);
        let remaining_share = match report.remaining_decode_tokens {
            0 => 1.0,
            total => decode_tokens_left as f64 / total as f64,
        };
        let requests_left = (f64::from(reported_requests) * remaining_share).ceil() as u32;
        let requests = candidate.own_outstanding.max(requests_left + unreported.requests);
        let slowdown = 1.0 + SLOWDOWN_PER_REQUEST * f64::from(requests);
        speed.decode_tokens_per_s = (f64::from(speed.decode_tokens_per_s) / slowdown) as u32;
        EstimatedLoad {
            speed,
            limit,
            requests,
            prefill_tokens: report
                .queued_prefill_tokens
                .saturating_sub(prefilled_since_report as u64)
                + unreported.prompt_tokens,
            decode_tokens: decode_tokens_left + unreported.max_tokens,
        }
    }
}

/// Estimated load of an upstream at the time of a decision.
#[derive(Debug, Clone, Copy)]
struct EstimatedLoad {
    speed: Speed,
    limit: u32,
    requests: u32,
    prefill_tokens: u64,
    decode_tokens: u64,
}

impl EstimatedLoad {
    /// Returns the time until a request at the end of the queue starts to run.
    fn queue_wait(&self) -> Duration {
        if self.requests < self.limit {
            return Duration::ZERO;
        }
        let share_ahead = f64::from(self.requests + 1 - self.limit) / f64::from(self.requests);
        let decode = decode_time(self.decode_tokens, self.speed) / self.limit;
        (decode + prefill_time(self.prefill_tokens, self.speed)).mul_f64(share_ahead)
    }
}

/// Returns the configured speed, reduced if the upstream is a straggler: if generation is observed
/// to be much slower than the number of running requests explains. Prefill is then assumed to be
/// slower by the same ratio.
fn straggler_adjusted_speed(configured: Speed, report: LoadDigest) -> Speed {
    let observed = f64::from(report.decode_tokens_per_s);
    let unloaded = f64::from(configured.decode_tokens_per_s);
    let expected = unloaded / (1.0 + SLOWDOWN_PER_REQUEST * f64::from(report.running));
    let ratio = observed / expected;
    if observed == 0.0 || ratio > STRAGGLER_SPEED_RATIO {
        return configured;
    }
    let scale = |speed: u32| (f64::from(speed) * ratio) as u32;
    Speed {
        prefill_tokens_per_s: scale(configured.prefill_tokens_per_s),
        decode_tokens_per_s: scale(configured.decode_tokens_per_s),
    }
}

fn find_preferred_upstream<'a>(
    candidates: &[Candidate<'a>],
    expected: &ExpectedPrefix<'_>,
) -> Option<&'a UpstreamId> {
    candidates
        .iter()
        .map(|candidate| candidate.upstream)
        .max_by_key(|name| expected.rendezvous_hash(name))
}

fn expected_cached_tokens(
    expected: Option<&ExpectedPrefix<'_>>,
    preferred: Option<&UpstreamId>,
    upstream: &UpstreamId,
) -> u32 {
    let Some(expected) = expected else { return 0 };
    let likely_cached = preferred == Some(upstream) || expected.last_upstream == Some(upstream);
    if likely_cached { expected.tokens } else { 0 }
}
