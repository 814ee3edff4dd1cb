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

impl Scheduler {
    /// The upstream with a free place at which the first event is expected soonest.
    pub(super) fn choose(&mut self, job: &Job, now: Instant) -> Option<InstanceId> {
        let session = self.session_place(job, now);
        let large_group = self.is_large_group();
        let growth = if large_group { self.growth.factor() } else { 1.0 };
        let mut best: Option<(f64, InstanceId)> = None;
        let mut fallback: Option<(f64, InstanceId)> = None;
        let looked_at = if large_group {
            self.candidates.some(&job.service, &mut self.rng)
        } else {
            self.candidates.all(&job.service)
        };
        for instance in &looked_at {
            let Some(tracked) = self.upstreams.get(instance) else { continue };
            if tracked.upstream.draining
                || tracked.is_gone
                || job.excluded.contains(instance)
                || !tracked.has_place(growth, now)
            {
                continue;
            }
            let distance = self.places.distance_to(&tracked.upstream.zone);
            let holds_session = session.as_ref() == Some(instance);
            let chance = 1.0 + SPREAD * (self.rng.random::<f64>() - 0.5);
            let score = score_ms(tracked, job, holds_session, distance, now) * chance;
            let doubtful = tracked.is_paused(now) || tracked.is_silent(now);
            let candidate = if doubtful { &mut fallback } else { &mut best };
            if candidate.as_ref().is_none_or(|(least, _)| score < *least) {
                *candidate = Some((score, instance.clone()));
            }
        }
        best.or(fallback).map(|(_, instance)| instance)
    }

    fn session_place(&self, job: &Job, now: Instant) -> Option<InstanceId> {
        let (instance, at) = self.sessions.get(&job.session_part?)?;
        (now.saturating_duration_since(*at) < AFFINITY_MEMORY).then(|| instance.clone())
    }
}

fn score_ms(
    tracked: &Tracked,
    job: &Job,
    holds_session: bool,
    distance: Distance,
    now: Instant,
) -> f64 {
    let own_tokens = if holds_session { 0 } else { u64::from(job.prompt_tokens) };
    let first_event = tracked.speed.expect_ms(tracked.backlog_tokens() + own_tokens);
    let batch = f64::from(tracked.running()) / f64::from(tracked.upstream.slots.max(1));
    let way = match distance {
        Distance::SameZone => 0.0,
        Distance::SameRegion => OTHER_ZONE_MS,
        Distance::OtherRegion => OTHER_REGION_MS,
    };
    let whole = first_event + tracked.speed.expect_output_ms(job.output_tokens);
    let left = job.limit_at.saturating_duration_since(now).as_secs_f64() * 1_000.0;
    let over = (whole * SAFETY - left).max(0.0);
    let waiting = BASE_MS + first_event + batch * FULL_BATCH_MS + way + over;
    waiting * (1.0 + FAILURE_WEIGHT * tracked.failure_rate())
}
