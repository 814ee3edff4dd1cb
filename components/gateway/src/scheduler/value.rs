//! Value of requests, which determines the order in which they are assigned slots.
//!
//! Under load, slots are the scarce resource of engines. A slot is therefore assigned to the
//! request with the highest value density: its value, which depends on priority and size, divided
//! by its cost, which stands for the time for which it occupies the slot. Value density alone would
//! let many cheap requests overtake the most important ones, so no priority may be served more
//! often than a more important one that waits. Priorities and sizes that are served much less often
//! than the rest come first, so that none is starved.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Job, Priority, RouteId};
use crate::model::ServiceId;

/// Ratio between the weight of a priority level and that of the level below it.
const LEVEL_WEIGHT_RATIO: f64 = 4.0;

/// Lowest priority level that is distinguished, where 0 is the highest: the users have four tiers.
const LOWEST_LEVEL: u8 = 3;

/// Part of a request's value that does not depend on priority and size, as a multiple of the weight
/// of the lowest level, so that a cheap request also counts as one request.
const BASE_VALUE: f64 = 0.25;

/// Share of the size factor that does not depend on the size; set by the users' rules.
const SIZE_INDEPENDENT_SHARE: f64 = 0.3;

/// Maximum of the size factor, which is 1 for the mean size of the route; set by the users' rules.
const MAX_SIZE_FACTOR: f64 = 4.0;

/// Prompt tokens that an output token counts as in a request's size; set by the users' rules.
const OUTPUT_TOKEN_SIZE: f64 = 10.0;

/// Factor on the value of a request that has missed its latency objective; the caller may retry.
const LATE_VALUE_FACTOR: f64 = 0.1;

/// The same factor for a request whose caller will not retry.
const LATE_LAST_ATTEMPT_VALUE_FACTOR: f64 = 0.6;

/// Prompt tokens that cost an engine as much as one output token of one stream. Prefill interrupts
/// the whole batch; on the users' engines a step takes 3 ms for some ten requests, and 60 to 100
/// prompt tokens are prefilled in a millisecond.
const PROMPT_TOKENS_PER_COST_UNIT: f64 = 30.0;

/// Fixed cost of a request, in output tokens.
const FIXED_COST_OUTPUT_TOKENS: f64 = 5.0;

/// Factor by which each request reduces the weight of earlier ones in the mean size of a route.
const MEAN_SIZE_DECAY: f64 = 0.99;

/// Time constant with which counts of served and rejected requests decay.
const COUNT_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Amount by which the served ratio of a priority may exceed that of a more important one; the
/// users tolerate 0.05.
const SERVED_RATIO_TOLERANCE: f64 = 0.04;

/// Multiples of a route's mean size above which requests are large and very large: about three in
/// ten and one in ten.
const LARGE_MEAN_MULTIPLE: f64 = 1.0;
const VERY_LARGE_MEAN_MULTIPLE: f64 = 2.2;

/// A size class is underserved if its served ratio is below this fraction of its route's; the
/// users' rules require a half.
const UNDERSERVED_SIZE_FRACTION: f64 = 0.6;

/// A priority is underserved if its served ratio is below this fraction of its service's; the
/// users' rules require a quarter.
const UNDERSERVED_PRIORITY_FRACTION: f64 = 0.35;

/// Initial count of served requests of each priority and size class.
const INITIAL_SERVED: f64 = 10.0;

/// Class of a request by its size relative to the mean of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum SizeClass {
    Normal,
    Large,
    VeryLarge,
}

impl SizeClass {
    const ALL: [SizeClass; 3] = [SizeClass::Normal, SizeClass::Large, SizeClass::VeryLarge];

    fn of(size: f64, mean: f64) -> SizeClass {
        if size > mean * VERY_LARGE_MEAN_MULTIPLE {
            SizeClass::VeryLarge
        } else if size > mean * LARGE_MEAN_MULTIPLE {
            SizeClass::Large
        } else {
            SizeClass::Normal
        }
    }
}

/// Fairness class of a waiting request; requests of an earlier class are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FairnessClass {
    /// The priority or the size class is underserved.
    Boosted,
    /// Any other request.
    Normal,
    /// The priority is served more often than a more important one that waits.
    Throttled,
}

/// Requests of one group have the same fairness class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct FairnessGroup {
    priority: Priority,
    route: RouteId,
    size_class: SizeClass,
}

/// Statistics that determine values and fairness classes: mean request size of each route, and
/// served ratio of each priority and size class.
#[derive(Debug, Default)]
pub(super) struct ValueModel {
    mean_sizes: HashMap<RouteId, f64>,
    priorities: HashMap<(ServiceId, Priority), ServedRatio>,
    size_classes: HashMap<(RouteId, SizeClass), ServedRatio>,
}

/// Counts of served and rejected requests, which decay over time.
#[derive(Debug)]
struct ServedRatio {
    served: f64,
    rejected: f64,
    updated_at: Instant,
}

impl ServedRatio {
    fn new(now: Instant) -> ServedRatio {
        ServedRatio { served: INITIAL_SERVED, rejected: 0.0, updated_at: now }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let factor = (-elapsed.as_secs_f64() / COUNT_TIME_CONSTANT.as_secs_f64()).exp();
        self.served *= factor;
        self.rejected *= factor;
        self.updated_at = now;
    }

    fn ratio(&self) -> f64 {
        ServedRatio::combined_ratio([self].into_iter())
    }

    fn combined_ratio<'a>(served_ratios: impl Iterator<Item = &'a ServedRatio>) -> f64 {
        let (served, rejected) = served_ratios.fold((0.0, 0.0), |(served, rejected), ratio| {
            (served + ratio.served, rejected + ratio.rejected)
        });
        served / (served + rejected).max(f64::MIN_POSITIVE)
    }
}

impl ValueModel {
    /// Updates the mean size of a route with a request.
    pub(super) fn record_size(&mut self, job: &Job) {
        let size = request_size(job);
        let mean = self.mean_sizes.entry(job.route).or_insert(size);
        *mean = *mean * MEAN_SIZE_DECAY + size * (1.0 - MEAN_SIZE_DECAY);
    }

    fn mean_size(&self, route: RouteId) -> f64 {
        self.mean_sizes.get(&route).copied().unwrap_or(1.0).max(1.0)
    }

    /// Value of serving a request, divided by its cost.
    pub(super) fn value_density(&self, job: &Job, now: Instant) -> f64 {
        let relative_size = request_size(job) / self.mean_size(job.route);
        let size_factor = SIZE_INDEPENDENT_SHARE + (1.0 - SIZE_INDEPENDENT_SHARE) * relative_size;
        let lateness_factor = match (now < job.objective_at, job.is_last_attempt) {
            (true, _) => 1.0,
            (false, true) => LATE_LAST_ATTEMPT_VALUE_FACTOR,
            (false, false) => LATE_VALUE_FACTOR,
        };
        let weighted_value = priority_weight(job.priority) * size_factor.min(MAX_SIZE_FACTOR);
        (weighted_value + BASE_VALUE) * lateness_factor / cost(job)
    }

    /// Group of requests that a request shares its fairness class with.
    pub(super) fn fairness_group(&self, job: &Job) -> FairnessGroup {
        let size_class = SizeClass::of(request_size(job), self.mean_size(job.route));
        FairnessGroup { priority: job.priority, route: job.route, size_class }
    }

    /// Fairness class of a request. `waiting` holds the priorities of its service's waiting
    /// requests.
    pub(super) fn fairness_class<'a>(
        &self,
        job: &Job,
        waiting: impl Iterator<Item = &'a Priority>,
    ) -> FairnessClass {
        if self.is_size_underserved(job) || self.is_priority_underserved(job) {
            FairnessClass::Boosted
        } else if self.is_overserved(job.service, job.priority, waiting) {
            FairnessClass::Throttled
        } else {
            FairnessClass::Normal
        }
    }

    fn is_size_underserved(&self, job: &Job) -> bool {
        let class = SizeClass::of(request_size(job), self.mean_size(job.route));
        let Some(own) = self.size_classes.get(&(job.route, class)) else { return false };
        let route_ratios =
            SizeClass::ALL.iter().filter_map(|class| self.size_classes.get(&(job.route, *class)));
        class != SizeClass::Normal
            && own.ratio() < UNDERSERVED_SIZE_FRACTION * ServedRatio::combined_ratio(route_ratios)
    }

    fn is_priority_underserved(&self, job: &Job) -> bool {
        let Some(own) = self.priorities.get(&(job.service, job.priority)) else { return false };
        let of_service = self.priorities.iter().filter(|((service, _), _)| *service == job.service);
        let service_ratios = of_service.map(|(_, ratio)| ratio);
        own.ratio() < UNDERSERVED_PRIORITY_FRACTION * ServedRatio::combined_ratio(service_ratios)
    }

    /// Counts a request that was assigned a slot.
    pub(super) fn record_served(&mut self, job: &Job, now: Instant) {
        for served_ratio in self.served_ratios(job, now) {
            served_ratio.served += 1.0;
        }
    }

    /// Counts a request that is rejected for good. One whose caller may retry is counted at the
    /// retry.
    pub(super) fn record_rejected(&mut self, job: &Job, now: Instant) {
        if job.is_last_attempt {
            for served_ratio in self.served_ratios(job, now) {
                served_ratio.rejected += 1.0;
            }
        }
    }

    /// Served ratios of a request's priority and size class, decayed to `now`.
    fn served_ratios(&mut self, job: &Job, now: Instant) -> [&mut ServedRatio; 2] {
        let class = SizeClass::of(request_size(job), self.mean_size(job.route));
        let of_priority = self
            .priorities
            .entry((job.service, job.priority))
            .or_insert_with(|| ServedRatio::new(now));
        let of_class =
            self.size_classes.entry((job.route, class)).or_insert_with(|| ServedRatio::new(now));
        of_priority.decay(now);
        of_class.decay(now);
        [of_priority, of_class]
    }

    /// Whether a priority is served more often than a more important one among `waiting`.
    fn is_overserved<'a>(
        &self,
        service: ServiceId,
        priority: Priority,
        waiting: impl Iterator<Item = &'a Priority>,
    ) -> bool {
        let ratio_of =
            |priority| self.priorities.get(&(service, priority)).map_or(1.0, ServedRatio::ratio);
        let more_important = waiting.filter(|other| **other < priority);
        let lowest_ratio = more_important.map(|other| ratio_of(*other)).fold(1.0, f64::min);
        ratio_of(priority) > lowest_ratio + SERVED_RATIO_TOLERANCE
    }
}

fn priority_weight(priority: Priority) -> f64 {
    let level = priority.tier.saturating_add(priority.route_tier).min(LOWEST_LEVEL);
    LEVEL_WEIGHT_RATIO.powi(i32::from(LOWEST_LEVEL - level))
}

fn request_size(job: &Job) -> f64 {
    f64::from(job.prompt_tokens) + OUTPUT_TOKEN_SIZE * f64::from(job.output_tokens)
}

/// Cost of a request to an engine, in output tokens.
fn cost(job: &Job) -> f64 {
    let prefill_cost = f64::from(job.prompt_tokens) / PROMPT_TOKENS_PER_COST_UNIT;
    FIXED_COST_OUTPUT_TOKENS + f64::from(job.output_tokens) + prefill_cost
}
