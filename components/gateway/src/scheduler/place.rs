//! The choice among upstreams.

use std::time::{Duration, Instant};

use rand::Rng;

use super::tracked::Tracked;
use super::{AFFINITY_MEMORY, Job, Scheduler};
use crate::model::{Distance, InstanceId};

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

/// How far chance moves a score, so that entries with the same knowledge don't choose alike.
const SPREAD: f64 = 0.15;

/// How strongly a failure rate raises the score.
const FAILURE_WEIGHT: f64 = 8.0;

/// How much longer than expected an answer is reckoned to take against its time limit; callers'
/// estimates of its length are off by as much for one in four.
const SAFETY: f64 = 1.4;

/// A fixed part of each score on which failures and chance act even at idle upstreams, in
/// milliseconds.
const BASE_MS: f64 = 10.0;

/// What comes of looking for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Choice {
    /// The best place that is free.
    Place(InstanceId),
    /// Places are free, but only at upstreams that would serve it worse than others would.
    NoneFits,
    /// No place is free.
    Full,
}

/// A usable upstream, looked at for a request.
struct Candidate {
    instance: InstanceId,
    score_ms: f64,
    has_place: bool,
    fit: Fit,
    /// Whether it may be out of reach.
    doubtful: bool,
}

/// How well an upstream suits a request; the least suits best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
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
    pub(super) fn choose(&mut self, job: &Job, now: Instant) -> Choice {
        let candidates = self.look(job, now);
        let sound = candidates.iter().filter(|candidate| !candidate.doubtful);
        let best_fit = sound.map(|candidate| candidate.fit).min();
        let free = || candidates.iter().filter(|candidate| candidate.has_place);
        let best = free()
            .filter(|candidate| best_fit.is_none_or(|best| candidate.fit <= best))
            .min_by(|a, b| a.doubtful.cmp(&b.doubtful).then(a.score_ms.total_cmp(&b.score_ms)));
        match best {
            Some(best) => Choice::Place(best.instance.clone()),
            None if free().next().is_some() => Choice::NoneFits,
            None => Choice::Full,
        }
    }

    fn look(&mut self, job: &Job, now: Instant) -> Vec<Candidate> {
        let session = self.session_place(job, now);
        let large_group = self.is_large_group();
        let growth = if large_group { self.growth.factor() } else { 1.0 };
        let looked_at = if large_group {
            self.candidates.some(&job.service, &mut self.rng)
        } else {
            self.candidates.all(&job.service)
        };
        let mut candidates = Vec::with_capacity(looked_at.len());
        for instance in looked_at {
            let Some(tracked) = self.upstreams.get(&instance) else { continue };
            if tracked.upstream.draining || tracked.is_gone || job.excluded.contains(&instance) {
                continue;
            }
            let distance = self.places.distance_to(&tracked.upstream.zone);
            let holds_session = session.as_ref() == Some(&instance);
            let chance = 1.0 + SPREAD * (self.rng.random::<f64>() - 0.5);
            let first_event_ms = expect_first_event_ms(tracked, job, holds_session);
            candidates.push(Candidate {
                score_ms: score_ms(tracked, first_event_ms, distance) * chance,
                has_place: tracked.has_place(growth, now),
                fit: fit(tracked, job, first_event_ms, now),
                doubtful: tracked.is_paused(now) || tracked.is_silent(now),
                instance,
            });
        }
        candidates
    }

    fn session_place(&self, job: &Job, now: Instant) -> Option<InstanceId> {
        let (instance, at) = self.sessions.get(&job.session_part?)?;
        (now.saturating_duration_since(*at) < AFFINITY_MEMORY).then(|| instance.clone())
    }
}

/// Time until a first event, in milliseconds.
fn expect_first_event_ms(tracked: &Tracked, job: &Job, holds_session: bool) -> f64 {
    let own_tokens = if holds_session { 0 } else { u64::from(job.prompt_tokens) };
    tracked.speed.expect_ms(tracked.backlog_tokens() + own_tokens)
}

fn fit(tracked: &Tracked, job: &Job, first_event_ms: f64, now: Instant) -> Fit {
    let left_ms = |until: Instant| until.saturating_duration_since(now).as_secs_f64() * 1_000.0;
    let whole_ms = first_event_ms + tracked.speed.expect_output_ms(job.output_tokens);
    let event_ms = tracked.speed.expect_output_ms(job.tokens_per_event);
    let longest_pause_ms =
        job.pause_objective.map_or(f64::INFINITY, |pause| pause.as_secs_f64() * 1_000.0);
    Fit {
        too_slow: whole_ms * SAFETY > left_ms(job.limit_at),
        disturbs: tracked.running() > 0 && first_event_ms + event_ms > longest_pause_ms,
        late: first_event_ms > left_ms(job.objective_at),
    }
}

fn score_ms(tracked: &Tracked, first_event_ms: f64, distance: Distance) -> f64 {
    let batch = f64::from(tracked.running()) / f64::from(tracked.upstream.slots.max(1));
    let way = match distance {
        Distance::SameZone => 0.0,
        Distance::SameRegion => OTHER_ZONE_MS,
        Distance::OtherRegion => OTHER_REGION_MS,
    };
    let waiting = BASE_MS + first_event_ms + batch * FULL_BATCH_MS + way;
    waiting * (1.0 + FAILURE_WEIGHT * tracked.failure_rate())
}
