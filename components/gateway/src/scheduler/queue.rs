//! Requests that wait for a place.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Job, WaiterId};

/// Span over which served requests are counted to tell how long a place takes.
const RATE_SPAN: Duration = Duration::from_millis(1_000);

/// Requests a second that a service is taken to serve before any was counted.
const INITIAL_RATE: f64 = 20.0;

#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: HashMap<WaiterId, Job>,
    next: WaiterId,
    rates: HashMap<String, Rate>,
}

/// Requests served a second, decaying.
#[derive(Debug)]
struct Rate {
    per_second: f64,
    at: Instant,
}

impl Rate {
    fn decayed(&self, now: Instant) -> f64 {
        let spans = now.saturating_duration_since(self.at).as_secs_f64() / RATE_SPAN.as_secs_f64();
        self.per_second * (-spans).exp()
    }
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, job: Job) -> WaiterId {
        self.next += 1;
        self.waiting.insert(self.next, job);
        self.next
    }

    pub(super) fn remove(&mut self, waiter: WaiterId) {
        self.waiting.remove(&waiter);
    }

    pub(super) fn job(&self, waiter: WaiterId) -> Option<&Job> {
        self.waiting.get(&waiter)
    }

    /// Whether a request of the same service waits that goes first.
    pub(super) fn has_ahead(&self, job: &Job) -> bool {
        self.ahead(job) > 0
    }

    fn ahead(&self, job: &Job) -> usize {
        let same = self.waiting.values().filter(|other| other.service == job.service);
        same.filter(|other| other.tier <= job.tier).count()
    }

    /// How long a request would wait: those ahead of it at the rate at which this entry's are served.
    pub(super) fn expected_wait(&self, job: &Job, now: Instant) -> Duration {
        let rate = self.rates.get(&job.service).map_or(INITIAL_RATE, |rate| rate.decayed(now));
        let ahead = self.ahead(job) as f64 + 1.0;
        Duration::from_secs_f64((ahead / rate.max(1.0)).min(60.0))
    }

    pub(super) fn count_served(&mut self, service: &str, now: Instant) {
        let gained = 1.0 / RATE_SPAN.as_secs_f64();
        match self.rates.get_mut(service) {
            Some(rate) => {
                rate.per_second = rate.decayed(now) + gained;
                rate.at = now;
            }
            None => {
                let rate = Rate { per_second: INITIAL_RATE, at: now };
                self.rates.insert(service.to_owned(), rate);
            }
        }
    }

    /// Waiting requests, the first to be served first: by tier, then those that can still be in
    /// time, then by age.
    pub(super) fn in_order(&self, now: Instant) -> Vec<WaiterId> {
        let mut waiters: Vec<_> = self.waiting.iter().collect();
        waiters.sort_by_key(|(id, job)| (job.tier, job.objective_at < now, job.arrived, **id));
        waiters.into_iter().map(|(id, _)| *id).collect()
    }
}
