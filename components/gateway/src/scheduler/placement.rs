//! Selection of an upstream for a request.

use std::time::{Duration, Instant};

use super::queue::Waiter;
use super::speed::milliseconds;
use super::upstream_state::UpstreamState;
use super::{Job, Scheduler};
use crate::model::{Distance, UpstreamId};

/// Time after which a caller may retry if no upstream of the service is known: an upstream's
/// announcement takes about as long to arrive.
pub(super) const NO_UPSTREAM_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Cost of a slot in another availability zone of the region, in milliseconds of waiting time. It
/// follows from the price of traffic between zones.
const OTHER_ZONE_COST_MS: f64 = 6.0;

/// Cost of a slot in another region, in milliseconds of waiting time. It follows from the latency
/// and the price of traffic between regions.
const OTHER_REGION_COST_MS: f64 = 30.0;

/// Cost of a fully occupied upstream compared with an idle one, in milliseconds of waiting time:
/// more requests in a batch make each step slower.
const FULL_BATCH_COST_MS: f64 = 25.0;

/// Weight of the failure rate in the score.
const FAILURE_WEIGHT: f64 = 8.0;

/// Factor on the expected completion time when it is compared with the deadline: one in four of the
/// callers' estimates of the output length is off by as much.
const COMPLETION_TIME_MARGIN: f64 = 1.4;

/// Constant part of each score, in milliseconds, so that failures raise the score of idle upstreams
/// too.
const BASE_SCORE_MS: f64 = 10.0;

/// Time for which the suitability of the most suitable upstream is kept for a waiting request. It
/// changes as prompts are prefilled, over some tens of milliseconds.
const MAX_BEST_SUITABILITY_AGE: Duration = Duration::from_millis(25);

/// Result of the selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Selection {
    /// The selected upstream, which has a free slot.
    Upstream(UpstreamId),
    /// Slots are free, but only at upstreams that are less suitable than fully occupied ones.
    NoneSuitable,
    /// No usable upstream has a free slot.
    AllFull,
}

/// Suitability of an upstream for a request; the lowest value is the most suitable. Earlier fields
/// take precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Suitability {
    /// The gateway has trouble reaching the upstream.
    suspect: bool,
    /// The response would not be complete by the deadline.
    misses_deadline: bool,
    /// Prefilling the prompt would interrupt the streams that run there for longer than the pause
    /// objective.
    stalls_streams: bool,
    /// The first event would come after the latency objective.
    misses_objective: bool,
}

impl Suitability {
    /// Suitability of an upstream that has every flaw.
    const LEAST: Suitability = Suitability {
        suspect: true,
        misses_deadline: true,
        stalls_streams: true,
        misses_objective: true,
    };
}

impl Scheduler {
    /// Selects, among the most suitable upstreams, the one with a free slot and the lowest score.
    /// Fully occupied upstreams are compared as well: a request waits for one of them rather than
    /// go to a less suitable upstream.
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
            let is_better = |(best, best_score_ms, _): &(Suitability, f64, UpstreamId)| {
                (suitability, score_ms) < (*best, *best_score_ms)
            };
            if best_free.as_ref().is_none_or(is_better) {
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

    /// Whether a waiting request may be sent to an upstream, and no other upstream is more suitable.
    pub(super) fn is_best_choice(
        &self,
        state: &UpstreamState,
        waiter: &Waiter,
        now: Instant,
    ) -> bool {
        let job = &waiter.job;
        self.may_use(state, job, now)
            && suitability(state, job, now) <= self.best_suitability(waiter, now)
    }

    /// Suitability of the most suitable upstream for a waiting request, at most
    /// `MAX_BEST_SUITABILITY_AGE` old.
    fn best_suitability(&self, waiter: &Waiter, now: Instant) -> Suitability {
        if let Some((best, computed_at)) = waiter.best_suitability.get()
            && now.saturating_duration_since(computed_at) < MAX_BEST_SUITABILITY_AGE
        {
            return best;
        }
        let job = &waiter.job;
        let of_candidates = self.candidates(job, now).map(|other| suitability(other, job, now));
        let best = of_candidates.min().unwrap_or(Suitability::LEAST);
        waiter.best_suitability.set(Some((best, now)));
        best
    }

    /// Whether a request may be sent to an upstream.
    pub(super) fn may_use(&self, state: &UpstreamState, job: &Job, now: Instant) -> bool {
        state.is_usable(now)
            && job.version.is_none_or(|version| version == state.version)
            && !job.excluded.contains(&state.id)
    }

    fn candidates<'a>(
        &'a self,
        job: &'a Job,
        now: Instant,
    ) -> impl Iterator<Item = &'a UpstreamState> {
        let of_service = self.by_service.get(&job.service).into_iter().flatten();
        let states = of_service.filter_map(|upstream| self.upstreams.get(upstream));
        let count_comparison =
            |_: &&UpstreamState| self.comparisons.set(self.comparisons.get() + 1);
        states.inspect(count_comparison).filter(move |state| self.may_use(state, job, now))
    }

    fn score_ms(&self, state: &UpstreamState, job: &Job, now: Instant) -> f64 {
        let cached_tokens =
            if self.has_session(state.id, job, now) { job.prompt_tokens } else { 0 };
        let first_event_ms = state.first_event_ms(job.prompt_tokens - cached_tokens, now);
        let utilization = f64::from(state.running()) / f64::from(state.upstream.slots.max(1));
        let distance_ms = match self.topology.distance(&job.zone, &state.upstream.zone) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_COST_MS,
            Distance::OtherRegion => OTHER_REGION_COST_MS,
        };
        let total_ms =
            BASE_SCORE_MS + first_event_ms + utilization * FULL_BATCH_COST_MS + distance_ms;
        total_ms * (1.0 + FAILURE_WEIGHT * state.failure_rate())
    }
}

fn suitability(state: &UpstreamState, job: &Job, now: Instant) -> Suitability {
    let time_left_ms = |until: Instant| milliseconds(until.saturating_duration_since(now));
    let first_event_ms = state.first_event_ms(job.prompt_tokens, now);
    let event_ms = state.speed.output_ms(job.tokens_per_event);
    let max_pause_ms = job.pause_objective.map_or(f64::INFINITY, milliseconds);
    Suitability {
        suspect: job.suspect.contains(&state.id),
        misses_deadline: state.completion_ms(job, now) * COMPLETION_TIME_MARGIN
            > time_left_ms(job.deadline),
        stalls_streams: state.running() > 0 && first_event_ms + event_ms > max_pause_ms,
        misses_objective: first_event_ms > time_left_ms(job.objective_at),
    }
}
