//! The choice among upstreams.

use std::time::{Duration, Instant};

use super::speed::milliseconds;
use super::upstream_state::UpstreamState;
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
pub(super) enum Selection {
    /// The best place that is free.
    Upstream(UpstreamId),
    /// Places are free, but only at upstreams that would serve it worse than others would.
    NoneSuitable,
    /// No place is free.
    AllFull,
}

/// How well an upstream suits a request; the least suits best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Suitability {
    /// Its entry can hardly reach the upstream.
    suspect: bool,
    /// The answer would not be whole in time.
    misses_deadline: bool,
    /// Reading the prompt would hold up the streams that run there for longer than they may pause.
    stalls_streams: bool,
    /// The first event would come after the objective.
    misses_objective: bool,
}

impl Scheduler {
    /// The upstream with a free place at which the first event is expected soonest, among those that
    /// suit the request best, whether these have a free place or not.
    pub(super) fn select_upstream(&self, job: &Job, now: Instant) -> Selection {
        let mut best_suitability: Option<Suitability> = None;
        let mut best_free: Option<(Suitability, f64, UpstreamId)> = None;
        for state in self.candidates(job, now) {
            let suitability = suitability(state, job, now);
            best_suitability =
                Some(best_suitability.map_or(suitability, |best| best.min(suitability)));
            if !state.has_free_slot() {
                continue;
            }
            let score_ms = self.score_ms(state, job, now);
            let better = |(best, least_ms, _): &(Suitability, f64, UpstreamId)| {
                (suitability, score_ms) < (*best, *least_ms)
            };
            if best_free.as_ref().is_none_or(better) {
                best_free = Some((suitability, score_ms, state.id));
            }
        }
        match (best_free, best_suitability) {
            (Some((suitability, _, upstream)), Some(best)) if suitability <= best => {
                Selection::Upstream(upstream)
            }
            (Some(_), _) => Selection::NoneSuitable,
            (None, _) => Selection::AllFull,
        }
    }

    /// Whether a request does as well at one upstream as at any other.
    pub(super) fn is_best_choice(&self, state: &UpstreamState, job: &Job, now: Instant) -> bool {
        let suitability_here = suitability(state, job, now);
        self.candidates(job, now).all(|other| suitability_here <= suitability(other, job, now))
    }

    /// Whether a request may go to an upstream at all.
    pub(super) fn may_use(&self, state: &UpstreamState, job: &Job, now: Instant) -> bool {
        state.is_usable(now) && !job.excluded.contains(&state.id)
    }

    fn candidates<'a>(
        &'a self,
        job: &'a Job,
        now: Instant,
    ) -> impl Iterator<Item = &'a UpstreamState> {
        let of_service = self.by_service.get(&job.service).into_iter().flatten();
        let states = of_service.filter_map(|upstream| self.upstreams.get(upstream));
        states.filter(move |state| self.may_use(state, job, now))
    }

    fn score_ms(&self, state: &UpstreamState, job: &Job, now: Instant) -> f64 {
        let held_tokens =
            if self.holds_session(state.id, job, now) { job.prompt_tokens } else { 0 };
        let first_event_ms = state.first_event_ms(job.prompt_tokens - held_tokens, now);
        let batch = f64::from(state.running()) / f64::from(state.upstream.slots.max(1));
        let way = match self.topology.distance(&job.zone, &state.upstream.zone) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_MS,
            Distance::OtherRegion => OTHER_REGION_MS,
        };
        let waiting = BASE_MS + first_event_ms + batch * FULL_BATCH_MS + way;
        waiting * (1.0 + FAILURE_WEIGHT * state.failure_rate())
    }
}

fn suitability(state: &UpstreamState, job: &Job, now: Instant) -> Suitability {
    let left_ms = |until: Instant| milliseconds(until.saturating_duration_since(now));
    let first_event_ms = state.first_event_ms(job.prompt_tokens, now);
    let event_ms = state.speed.output_ms(job.tokens_per_event);
    let longest_pause_ms = job.pause_objective.map_or(f64::INFINITY, milliseconds);
    Suitability {
        suspect: job.suspect.contains(&state.id),
        misses_deadline: state.completion_ms(job, now) * SAFETY > left_ms(job.deadline),
        stalls_streams: state.running() > 0 && first_event_ms + event_ms > longest_pause_ms,
        misses_objective: first_event_ms > left_ms(job.objective_at),
    }
}
