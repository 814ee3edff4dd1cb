//! Requests that wait for a place.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Job, Rank, WaiterId};

/// Span over which placed requests are counted to tell how long a place takes.
const RATE_SPAN: Duration = Duration::from_millis(1_000);

/// Requests a second that are taken to find a place before any was counted.
const INITIAL_RATE: f64 = 20.0;

/// Prompt tokens that cost an engine as much as one output token. Reading a prompt token holds up the
/// whole batch: on the users' engines a step takes 3 ms for some ten requests, and 60 to 100 prompt
/// tokens are read in a millisecond.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 30.0;

/// How much cheaper a request counts for each millisecond that it has waited, in output tokens; a
/// token takes about four milliseconds in a full batch.
const AGING_TOKENS_PER_MS: f64 = 0.25;

/// Least rate that is reckoned with.
const LEAST_RATE: f64 = 0.5;

/// Longest time for which a queue holds requests, at the rate at which they find places: callers of
/// streams give up after two seconds.
const QUEUE_SPAN: Duration = Duration::from_millis(1_000);

/// Requests that a queue holds at any rate.
const LEAST_QUEUE: f64 = 3.0;

#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: HashMap<WaiterId, Job>,
    next: WaiterId,
    rates: HashMap<(String, Rank), Rate>,
}

/// Requests placed a second, decaying.
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
    pub(super) fn has_ahead(&self, job: &Job, now: Instant) -> bool {
        let own = Order::of(job, now);
        self.of_service(&job.service).any(|other| Order::of(other, now).is_before(&own))
    }

    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Job> + 'a {
        self.waiting.values().filter(move |job| job.service == service)
    }

    /// How many requests wait, by service and rank.
    pub(super) fn counts(&self) -> HashMap<(&str, Rank), u32> {
        let mut counts = HashMap::new();
        for job in self.waiting.values() {
            *counts.entry((job.service.as_str(), job.rank)).or_insert(0) += 1;
        }
        counts
    }

    /// How long a request would wait: those of its own rank at the rate at which that rank finds
    /// places now, which shows what higher ranks leave over.
    pub(super) fn expected_wait(&self, job: &Job, now: Instant) -> Duration {
        let rate = self.rate(&job.service, job.rank, now);
        let own = Order::of(job, now);
        let ahead = self
            .of_service(&job.service)
            .filter(|other| other.rank == job.rank && Order::of(other, now).is_before(&own))
            .count();
        Duration::from_secs_f64((ahead as f64 + 1.0) / rate)
    }

    /// Counts a request that found a place.
    pub(super) fn count_placed(&mut self, service: &str, rank: Rank, now: Instant) {
        let gained = 1.0 / RATE_SPAN.as_secs_f64();
        match self.rates.get_mut(&(service.to_owned(), rank)) {
            Some(rate) => {
                rate.per_second = rate.decayed(now) + gained;
                rate.at = now;
            }
            None => {
                let rate = Rate { per_second: INITIAL_RATE, at: now };
                self.rates.insert((service.to_owned(), rank), rate);
            }
        }
    }

    /// Requests that have waited for as long as they may.
    pub(super) fn overdue(&self, now: Instant) -> Vec<(WaiterId, Job)> {
        let overdue = self.waiting.iter().filter(|(_, job)| now >= job.wait_until);
        overdue.map(|(id, job)| (*id, job.clone())).collect()
    }

    /// Requests beyond what can find a place in time, by service and rank: those that would be served
    /// last. They are better told at once than after a wait.
    pub(super) fn excess(&self, now: Instant) -> Vec<(WaiterId, Job)> {
        let mut room: HashMap<(&str, Rank), f64> = HashMap::new();
        let mut excess = Vec::new();
        for waiter in self.in_order(now) {
            let job = &self.waiting[&waiter];
            let room = room.entry((&job.service, job.rank)).or_insert_with(|| {
                LEAST_QUEUE + self.rate(&job.service, job.rank, now) * QUEUE_SPAN.as_secs_f64()
            });
            *room -= 1.0;
            if *room < 0.0 {
                excess.push((waiter, job.clone()));
            }
        }
        excess
    }

    fn rate(&self, service: &str, rank: Rank, now: Instant) -> f64 {
        let rate = self.rates.get(&(service.to_owned(), rank));
        rate.map_or(INITIAL_RATE, |rate| rate.decayed(now)).max(LEAST_RATE)
    }

    /// The first of the lowest rank that waits, if several ranks do.
    pub(super) fn first_of_lowest(&self, now: Instant) -> Option<WaiterId> {
        let lowest = self.waiting.values().map(|job| job.rank).max()?;
        let highest = self.waiting.values().map(|job| job.rank).min()?;
        if lowest == highest {
            return None;
        }
        self.in_order(now).into_iter().find(|id| self.waiting[id].rank == lowest)
    }

    /// Waiting requests, the first to be served first.
    pub(super) fn in_order(&self, now: Instant) -> Vec<WaiterId> {
        let mut waiters: Vec<_> =
            self.waiting.iter().map(|(id, job)| (*id, Order::of(job, now))).collect();
        waiters.sort_by(|(first, a), (second, b)| a.compare(b).then(first.cmp(second)));
        waiters.into_iter().map(|(id, _)| id).collect()
    }
}

/// Where a request stands in the queue: by rank, then those that can still be in time, then the
/// cheapest, so that a place serves as many as it can; waiting makes a request cheaper.
#[derive(Debug, Clone, Copy)]
struct Order {
    rank: Rank,
    late: bool,
    cost_tokens: f64,
}

impl Order {
    fn of(job: &Job, now: Instant) -> Order {
        let waited_ms = now.saturating_duration_since(job.arrived).as_secs_f64() * 1_000.0;
        let prompt = f64::from(job.prompt_tokens) / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
        Order {
            rank: job.rank,
            late: job.objective_at < now,
            cost_tokens: f64::from(job.output_tokens) + prompt - AGING_TOKENS_PER_MS * waited_ms,
        }
    }

    fn compare(&self, other: &Order) -> Ordering {
        let by_rank = (self.rank, self.late).cmp(&(other.rank, other.late));
        by_rank.then(self.cost_tokens.total_cmp(&other.cost_tokens))
    }

    fn is_before(&self, other: &Order) -> bool {
        self.compare(other) == Ordering::Less
    }
}
