//! What a place is worth to a request: the order in which requests get places.
//!
//! An engine's places bind under load, so a place goes to the request that brings most for the time
//! for which it holds the place: its worth, by rank and size, over its cost. Among ranks this alone
//! would let many cheap requests pass the most important ones, so no rank may be served more often
//! than a more important one that waits.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Job, KindId, Rank};
use crate::model::ServiceId;

/// How much more a request of one rank is worth than one of the rank below it.
const RANK_RATIO: f64 = 4.0;

/// Levels below the first that are told apart; the users have four tiers.
const LOWEST_LEVEL: u8 = 3;

/// A request's worth that does not depend on its rank, in multiples of the lowest rank's, so that a
/// cheap request counts as one too.
const WORTH_OF_ANY: f64 = 0.25;

/// Part of a request's worth that does not depend on its size; from the users' rules.
const WORTH_OF_ANY_SIZE: f64 = 0.3;

/// The most that a request's size counts, in multiples of its kind's mean; from the users' rules.
const MOST_WORTH_OF_SIZE: f64 = 4.0;

/// How many prompt tokens an output token counts for in a request's size; from the users' rules.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 10.0;

/// Worth of a request that can no longer be in time; it may come back.
const WORTH_LATE: f64 = 0.1;

/// The same for one that has come back and has no further try.
const WORTH_LATE_RETURNING: f64 = 0.6;

/// Prompt tokens that cost an engine as much as one output token of one stream. Reading holds up the
/// whole batch; on the users' engines a step takes 3 ms for some ten requests, and 60 to 100 prompt
/// tokens are read in a millisecond.
const PROMPT_TOKENS_PER_STEP: f64 = 30.0;

/// Output tokens that stand for the fixed cost of a request.
const FIXED_COST_TOKENS: f64 = 5.0;

/// What one request leaves of the mean size before it.
const SIZE_MEMORY: f64 = 0.99;

/// Span over which served and refused requests are counted.
const SHARE_SPAN: Duration = Duration::from_secs(10);

/// How much more often a rank may be served than a more important one; the users tolerate 0.05.
const SHARE_TOLERANCE: f64 = 0.04;

/// Requests of a rank that are taken as served before any was counted.
const INITIAL_SERVED: f64 = 10.0;

/// What is learned of requests: sizes of each kind, and how often each rank is served.
#[derive(Debug, Default)]
pub(super) struct Worth {
    sizes: HashMap<KindId, f64>,
    shares: HashMap<(ServiceId, Rank), Share>,
}

#[derive(Debug)]
struct Share {
    served: f64,
    refused: f64,
    at: Instant,
}

impl Share {
    fn new(now: Instant) -> Share {
        Share { served: INITIAL_SERVED, refused: 0.0, at: now }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at);
        let kept = (-elapsed.as_secs_f64() / SHARE_SPAN.as_secs_f64()).exp();
        self.served *= kept;
        self.refused *= kept;
        self.at = now;
    }

    fn of_all(&self) -> f64 {
        self.served / (self.served + self.refused).max(f64::MIN_POSITIVE)
    }
}

impl Worth {
    /// Takes in a request's size.
    pub(super) fn count_size(&mut self, job: &Job) {
        let size = size(job);
        let mean = self.sizes.entry(job.kind).or_insert(size);
        *mean = *mean * SIZE_MEMORY + size * (1.0 - SIZE_MEMORY);
    }

    /// Worth of a place, for the time for which the request holds it.
    pub(super) fn density(&self, job: &Job, now: Instant) -> f64 {
        let mean = self.sizes.get(&job.kind).copied().unwrap_or(1.0).max(1.0);
        let of_size = WORTH_OF_ANY_SIZE + (1.0 - WORTH_OF_ANY_SIZE) * size(job) / mean;
        let in_time = match (now < job.objective_at, job.returning) {
            (true, _) => 1.0,
            (false, true) => WORTH_LATE_RETURNING,
            (false, false) => WORTH_LATE,
        };
        let of_rank = weight(job.rank) * of_size.min(MOST_WORTH_OF_SIZE);
        (of_rank + WORTH_OF_ANY) * in_time / cost(job)
    }

    /// Takes in that a request got a place.
    pub(super) fn count_served(&mut self, job: &Job, now: Instant) {
        self.share(job, now).served += 1.0;
    }

    /// Takes in that a request is refused for good. One that may come back is counted then.
    pub(super) fn count_refused(&mut self, job: &Job, now: Instant) {
        if job.returning {
            self.share(job, now).refused += 1.0;
        }
    }

    fn share(&mut self, job: &Job, now: Instant) -> &mut Share {
        let share = self.shares.entry((job.service, job.rank)).or_insert_with(|| Share::new(now));
        share.decay(now);
        share
    }

    /// Whether a rank is served more often than one of `waiting` that is more important.
    pub(super) fn is_ahead<'a>(
        &self,
        service: ServiceId,
        rank: Rank,
        waiting: impl Iterator<Item = &'a Rank>,
    ) -> bool {
        let of = |rank| self.shares.get(&(service, rank)).map_or(1.0, Share::of_all);
        let above = waiting.filter(|other| **other < rank);
        let least = above.map(|other| of(*other)).fold(1.0, f64::min);
        of(rank) > least + SHARE_TOLERANCE
    }
}

fn weight(rank: Rank) -> f64 {
    let level = rank.tier.saturating_add(rank.route_tier).min(LOWEST_LEVEL);
    RANK_RATIO.powi(i32::from(LOWEST_LEVEL - level))
}

fn size(job: &Job) -> f64 {
    f64::from(job.prompt_tokens) + PROMPT_TOKENS_PER_OUTPUT_TOKEN * f64::from(job.output_tokens)
}

/// What a request costs an engine, in output tokens.
fn cost(job: &Job) -> f64 {
    let prompt = f64::from(job.prompt_tokens) / PROMPT_TOKENS_PER_STEP;
    FIXED_COST_TOKENS + f64::from(job.output_tokens) + prompt
}
