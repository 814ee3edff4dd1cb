//! The choice among upstreams.

use std::time::{Duration, Instant};

use super::speed::milliseconds;
use super::tracked::Tracked;
use super::{Job, Scheduler};
use crate::model::{Distance, UpstreamId};

/// When to come back where no upstream of the service is known: a worker's announcement takes about
/// as long to arrive.
pub(super) const RETRY_WITHOUT_UPSTREAM: Duration = Duration::from_millis(1_000);

/// What a place in another availability zone of the region costs, in milliseconds of waiting; from
/// the price of the bytes that cross.
const OTHER_ZONE_MS: f64 = 6.0;

/// What a place in another region costs, in milliseconds of waiting; from its latency and the price
/// of the bytes that cross.
const OTHER_REGION_MS: f64 = 30.0;

/// What a fully taken upstream costs against an idle one, in milliseconds of waiting: more requests
/// in a batch make each step slower.
const FULL_BATCH_MS: f64 = 25.0;

/// How strongly a failure rate raises the score.
const FAILURE_WEIGHT: f64 = 8.0;

/// How much longer than expected an answer is reckoned to take against its time limit; callers'
/// estimates of its length are off by as much for one in four.
const SAFETY: f64 = 1.4;

/// A fixed part of each score on which failures act even at idle upstreams, in milliseconds.
const BASE_MS: f64 = 10.0;

/// What comes of looking for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Choice {
    /// The best place that is free.
    Place(UpstreamId),
    /// Places are free, but only at upstreams that would serve it worse than others would.
    NoneFits,
    /// No place is free.
    Full,
}

/// How well an upstream suits a request; the least suits best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Fit {
    /// Its entry can hardly reach the upstream.
    doubtful: bool,
    /// The answer would not be whole in time.
    too_slow: bool,
    /// Reading the prompt would hold up the streams that run there for longer than they may pause.
    disturbs: bool,
    /// The first event would come after the objective.
    late: bool,
}

impl Scheduler {
    /// The upstream with a free place at which the first event is expected soonest, among those that
    /// suit the request best, whether these have a free place or not.
    pub(super) fn choose(&self, job: &Job, now: Instant) -> Choice {
        let mut best_fit: Option<Fit> = None;
        let mut best_free: Option<(Fit, f64, UpstreamId)> = None;
        for tracked in self.candidates(job, now) {
            let fit = fit(tracked, job, now);
            best_fit = Some(best_fit.map_or(fit, |best| best.min(fit)));
            if !tracked.has_place() {
                continue;
            }
            let score_ms = self.score_ms(tracked, job, now);
            let better =
                |(best, least_ms, _): &(Fit, f64, UpstreamId)| (fit, score_ms) < (*best, *least_ms);
            if best_free.as_ref().is_none_or(better) {
                best_free = Some((fit, score_ms, tracked.id));
            }
        }
        match (best_free, best_fit) {
            (Some((fit, _, upstream)), Some(best)) if fit <= best => Choice::Place(upstream),
            (Some(_), _) => Choice::NoneFits,
            (None, _) => Choice::Full,
        }
    }

    /// Whether a request does as well at one upstream as at any other.
    pub(super) fn suits(&self, tracked: &Tracked, job: &Job, now: Instant) -> bool {
        let fit_here = fit(tracked, job, now);
        self.candidates(job, now).all(|other| fit_here <= fit(other, job, now))
    }

    /// Whether a request may go to an upstream at all.
    pub(super) fn may_use(&self, tracked: &Tracked, job: &Job, now: Instant) -> bool {
        tracked.is_usable(now) && !job.excluded.contains(&tracked.id)
    }

    fn candidates<'a>(&'a self, job: &'a Job, now: Instant) -> impl Iterator<Item = &'a Tracked> {
        let of_service = self.by_service.get(&job.service).into_iter().flatten();
        let tracked = of_service.filter_map(|upstream| self.upstreams.get(upstream));
        tracked.filter(move |tracked| self.may_use(tracked, job, now))
    }

    fn score_ms(&self, tracked: &Tracked, job: &Job, now: Instant) -> f64 {
        let held_tokens =
            if self.holds_session(tracked.id, job, now) { job.prompt_tokens } else { 0 };
        let first_event_ms = tracked.first_event_ms(job.prompt_tokens - held_tokens, now);
        let batch = f64::from(tracked.running()) / f64::from(tracked.upstream.slots.max(1));
        let way = match self.places.distance(&job.zone, &tracked.upstream.zone) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_MS,
            Distance::OtherRegion => OTHER_REGION_MS,
        };
        let waiting = BASE_MS + first_event_ms + batch * FULL_BATCH_MS + way;
        waiting * (1.0 + FAILURE_WEIGHT * tracked.failure_rate())
    }
}

fn fit(tracked: &Tracked, job: &Job, now: Instant) -> Fit {
    let left_ms = |until: Instant| milliseconds(until.saturating_duration_since(now));
    let first_event_ms = tracked.first_event_ms(job.prompt_tokens, now);
    let event_ms = tracked.speed.output_ms(job.tokens_per_event);
    let longest_pause_ms = job.pause_objective.map_or(f64::INFINITY, milliseconds);
    Fit {
        doubtful: job.doubtful.contains(&tracked.id),
        too_slow: tracked.whole_ms(job, now) * SAFETY > left_ms(job.limit_at),
        disturbs: tracked.running() > 0 && first_event_ms + event_ms > longest_pause_ms,
        late: first_event_ms > left_ms(job.objective_at),
    }
}
