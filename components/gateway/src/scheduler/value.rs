//! What a place is worth to a request: the order in which requests get places.
//!
//! An engine's places bind under load, so a place goes to the request that brings most for the time
//! for which it holds the place: its worth, by rank and size, over its cost. Among ranks this alone
//! would let many cheap requests pass the most important ones, so no rank may be served more often
//! than a more important one that waits. What is served much less often than the rest goes first, so
//! that no rank and no size is starved.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Job, Priority, RouteId};
use crate::model::ServiceId;

/// How much more a request of one rank is worth than one of the rank below it.
const PRIORITY_RATIO: f64 = 4.0;

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

/// Sizes from which a request counts as one of the larger and the largest of its kind, in multiples
/// of the kind's mean: about three in ten and one in ten.
const LARGER: f64 = 1.0;
const LARGEST: f64 = 2.2;

/// Part of its kind's share below which a size is neglected; the users' rules ask for a half of it.
const NEGLECTED_SIZE: f64 = 0.6;

/// Part of its service's share below which a rank is neglected; the users' rules ask for a quarter.
const NEGLECTED_PRIORITY: f64 = 0.35;

/// Requests of a rank or size that are taken as served before any was counted.
const INITIAL_SERVED: f64 = 10.0;

/// A part of a kind's requests by size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum SizeClass {
    Usual,
    Larger,
    Largest,
}

impl SizeClass {
    const ALL: [SizeClass; 3] = [SizeClass::Usual, SizeClass::Larger, SizeClass::Largest];

    fn of(size: f64, mean: f64) -> SizeClass {
        if size > mean * LARGEST {
            SizeClass::Largest
        } else if size > mean * LARGER {
            SizeClass::Larger
        } else {
            SizeClass::Usual
        }
    }
}

/// Among requests that wait, those of an earlier turn go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FairnessClass {
    /// Its rank or size is neglected.
    Boosted,
    /// By worth.
    Normal,
    /// Its rank is served more often than a more important one that waits.
    Throttled,
}

/// What is learned of requests: sizes of each kind, and how often ranks and sizes are served.
#[derive(Debug, Default)]
pub(super) struct ValueModel {
    sizes: HashMap<RouteId, f64>,
    priorities: HashMap<(ServiceId, Priority), ServedRatio>,
    classes: HashMap<(RouteId, SizeClass), ServedRatio>,
}

#[derive(Debug)]
struct ServedRatio {
    served: f64,
    rejected: f64,
    at: Instant,
}

impl ServedRatio {
    fn new(now: Instant) -> ServedRatio {
        ServedRatio { served: INITIAL_SERVED, rejected: 0.0, at: now }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at);
        let kept = (-elapsed.as_secs_f64() / SHARE_SPAN.as_secs_f64()).exp();
        self.served *= kept;
        self.rejected *= kept;
        self.at = now;
    }

    fn of_all(&self) -> f64 {
        ServedRatio::of_several([self].into_iter())
    }

    fn of_several<'a>(ratios: impl Iterator<Item = &'a ServedRatio>) -> f64 {
        let (served, rejected) = ratios.fold((0.0, 0.0), |(served, rejected), ratio| {
            (served + ratio.served, rejected + ratio.rejected)
        });
        served / (served + rejected).max(f64::MIN_POSITIVE)
    }
}

impl ValueModel {
    /// Takes in a request's size.
    pub(super) fn count_size(&mut self, job: &Job) {
        let size = size(job);
        let mean = self.sizes.entry(job.route).or_insert(size);
        *mean = *mean * SIZE_MEMORY + size * (1.0 - SIZE_MEMORY);
    }

    fn mean_size(&self, route: RouteId) -> f64 {
        self.sizes.get(&route).copied().unwrap_or(1.0).max(1.0)
    }

    /// Worth of a place, for the time for which the request holds it.
    pub(super) fn value_density(&self, job: &Job, now: Instant) -> f64 {
        let size = size(job) / self.mean_size(job.route);
        let of_size = WORTH_OF_ANY_SIZE + (1.0 - WORTH_OF_ANY_SIZE) * size;
        let in_time = match (now < job.objective_at, job.is_last_attempt) {
            (true, _) => 1.0,
            (false, true) => WORTH_LATE_RETURNING,
            (false, false) => WORTH_LATE,
        };
        let of_priority = weight(job.priority) * of_size.min(MOST_WORTH_OF_SIZE);
        (of_priority + WORTH_OF_ANY) * in_time / cost(job)
    }

    /// Where a request stands among those that wait, whose ranks are `waiting`.
    pub(super) fn fairness_class<'a>(
        &self,
        job: &Job,
        waiting: impl Iterator<Item = &'a Priority>,
    ) -> FairnessClass {
        if self.is_size_neglected(job) || self.is_priority_neglected(job) {
            FairnessClass::Boosted
        } else if self.is_ahead(job.service, job.priority, waiting) {
            FairnessClass::Throttled
        } else {
            FairnessClass::Normal
        }
    }

    fn is_size_neglected(&self, job: &Job) -> bool {
        let class = SizeClass::of(size(job), self.mean_size(job.route));
        let Some(own) = self.classes.get(&(job.route, class)) else { return false };
        let route =
            SizeClass::ALL.iter().filter_map(|class| self.classes.get(&(job.route, *class)));
        class != SizeClass::Usual && own.of_all() < NEGLECTED_SIZE * ServedRatio::of_several(route)
    }

    fn is_priority_neglected(&self, job: &Job) -> bool {
        let Some(own) = self.priorities.get(&(job.service, job.priority)) else { return false };
        let of_service = self.priorities.iter().filter(|((service, _), _)| *service == job.service);
        let service = of_service.map(|(_, ratio)| ratio);
        own.of_all() < NEGLECTED_PRIORITY * ServedRatio::of_several(service)
    }

    /// Takes in that a request got a place.
    pub(super) fn count_served(&mut self, job: &Job, now: Instant) {
        for ratio in self.ratios(job, now) {
            ratio.served += 1.0;
        }
    }

    /// Takes in that a request is refused for good. One that may come back is counted then.
    pub(super) fn count_rejected(&mut self, job: &Job, now: Instant) {
        if job.is_last_attempt {
            for ratio in self.ratios(job, now) {
                ratio.rejected += 1.0;
            }
        }
    }

    /// What is counted of a request's rank and of its size.
    fn ratios(&mut self, job: &Job, now: Instant) -> [&mut ServedRatio; 2] {
        let class = SizeClass::of(size(job), self.mean_size(job.route));
        let of_priority = self
            .priorities
            .entry((job.service, job.priority))
            .or_insert_with(|| ServedRatio::new(now));
        let of_class =
            self.classes.entry((job.route, class)).or_insert_with(|| ServedRatio::new(now));
        of_priority.decay(now);
        of_class.decay(now);
        [of_priority, of_class]
    }

    /// Whether a rank is served more often than one of `waiting` that is more important.
    fn is_ahead<'a>(
        &self,
        service: ServiceId,
        priority: Priority,
        waiting: impl Iterator<Item = &'a Priority>,
    ) -> bool {
        let of =
            |priority| self.priorities.get(&(service, priority)).map_or(1.0, ServedRatio::of_all);
        let above = waiting.filter(|other| **other < priority);
        let least = above.map(|other| of(*other)).fold(1.0, f64::min);
        of(priority) > least + SHARE_TOLERANCE
    }
}

fn weight(priority: Priority) -> f64 {
    let level = priority.tier.saturating_add(priority.route_tier).min(LOWEST_LEVEL);
    PRIORITY_RATIO.powi(i32::from(LOWEST_LEVEL - level))
}

fn size(job: &Job) -> f64 {
    f64::from(job.prompt_tokens) + PROMPT_TOKENS_PER_OUTPUT_TOKEN * f64::from(job.output_tokens)
}

/// What a request costs an engine, in output tokens.
fn cost(job: &Job) -> f64 {
    let prompt = f64::from(job.prompt_tokens) / PROMPT_TOKENS_PER_STEP;
    FIXED_COST_TOKENS + f64::from(job.output_tokens) + prompt
}
