//! Which upstream a request goes to, and when.
//!
//! Engines admit in order of arrival and know no tiers: what waits at an engine cannot be
//! overtaken. So no more is handed to an upstream than it works on at once; the rest waits here, by
//! tier, and is refused at once where it would wait in vain. No I/O: time and events come in,
//! decisions come out.

mod candidates;
mod group;
mod job;
mod place;
mod queue;
mod shares;
mod speed;
mod tracked;
mod yielding;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::{InstanceId, Places, Upstream};
use candidates::Candidates;
use place::Choice;
use queue::Queue;
use shares::Growth;
use tracked::Tracked;
use yielding::Owed;

pub use job::{
    Assignment, Ending, Entry, Job, Offer, Rank, Refused, RefusedBecause, WaiterId, Woken,
};
pub use shares::SMALL_GROUP;
pub use tracked::Load;
pub use yielding::Waiting;

/// How long a place of a prompt's last part is remembered; engines drop unused parts after about as
/// long under load.
const AFFINITY_MEMORY: Duration = Duration::from_secs(10);

/// Places that go to waiting requests by rank between two that go to the lowest rank that waits, so
/// that no rank is starved. What waits there longest is cheap on the users' engines: a place for it
/// is held for a tenth of the time.
const PLACES_BETWEEN_LOWER: u32 = 3;

/// Most remembered places.
const AFFINITY_ENTRIES: usize = 4_096;

fn track(upstream: &Upstream, heard: &HashMap<u64, HashMap<u32, Load>>, now: Instant) -> Tracked {
    let mut tracked = Tracked::new(upstream.clone(), now);
    for load in heard.values().filter_map(|loads| loads.get(&tracked.short_id)) {
        tracked.others.add(*load);
    }
    tracked
}

/// All that is known of upstreams, and the requests that wait for them.
#[derive(Debug)]
pub struct Scheduler {
    places: Places,
    own_id: u64,
    entries: Vec<Entry>,
    upstreams: HashMap<InstanceId, Tracked>,
    by_short_id: HashMap<u32, InstanceId>,
    candidates: Candidates,
    heard: HashMap<u64, HashMap<u32, Load>>,
    queue: Queue,
    owed: Owed,
    growth: Growth,
    running: u32,
    sessions: HashMap<u64, (InstanceId, Instant)>,
    next_ticket: u64,
    until_lower: u32,
    rng: ChaCha8Rng,
}

impl Scheduler {
    /// A scheduler that knows no upstream and no other entry; `own_id` names this one.
    pub fn new(places: Places, own_id: u64) -> Scheduler {
        Scheduler {
            places,
            own_id,
            entries: Vec::new(),
            upstreams: HashMap::new(),
            by_short_id: HashMap::new(),
            candidates: Candidates::default(),
            heard: HashMap::new(),
            queue: Queue::default(),
            owed: Owed::default(),
            growth: Growth::default(),
            running: 0,
            sessions: HashMap::new(),
            next_ticket: 0,
            until_lower: PLACES_BETWEEN_LOWER,
            rng: ChaCha8Rng::seed_from_u64(own_id),
        }
    }

    /// Takes in the upstreams that may be used now. Gives back the addresses that are none's any
    /// more.
    pub fn set_upstreams(&mut self, usable: &[Upstream], now: Instant) -> Vec<SocketAddr> {
        let kept: HashSet<&str> = usable.iter().map(|upstream| &*upstream.instance).collect();
        let mut freed = Vec::new();
        self.upstreams.retain(|instance, tracked| {
            let keep = kept.contains(&**instance);
            if !keep {
                freed.push(tracked.upstream.address);
            }
            keep
        });
        for upstream in usable {
            match self.upstreams.get_mut(&upstream.instance) {
                Some(tracked) if tracked.is_same_lifetime(upstream) => {
                    tracked.upstream = upstream.clone();
                }
                Some(tracked) => {
                    freed.push(tracked.upstream.address);
                    *tracked = track(upstream, &self.heard, now);
                }
                None => {
                    let tracked = track(upstream, &self.heard, now);
                    self.upstreams.insert(upstream.instance.clone(), tracked);
                }
            }
        }
        self.share_places();
        freed
    }

    /// A line for each upstream that is in use, for logs: own and all requests in flight, prompt
    /// tokens that wait, and the time expected until a first event.
    pub fn describe(&self) -> String {
        let mut used: Vec<&Tracked> =
            self.upstreams.values().filter(|tracked| tracked.running() > 0).collect();
        used.sort_by(|a, b| a.upstream.instance.cmp(&b.upstream.instance));
        let describe = |tracked: &&Tracked| {
            format!(
                "{}:{}/{}/{}/{:.0}",
                tracked.upstream.instance,
                tracked.own.running,
                tracked.running(),
                tracked.backlog_tokens(),
                tracked.speed.expect_ms(tracked.backlog_tokens()),
            )
        };
        used.iter().map(describe).collect::<Vec<_>>().join(",")
    }

    /// Whether any upstream of a service is known.
    pub fn knows_service(&self, service: &str) -> bool {
        self.candidates.knows(service)
    }

    /// Finds a place for a request, lets it wait for one, or refuses it.
    pub fn offer(&mut self, job: Job, now: Instant) -> Offer {
        if !self.knows_service(&job.service) {
            let retry_after = place::RETRY_WITHOUT_UPSTREAM;
            return Offer::Refuse(Refused { reason: RefusedBecause::NoUpstream, retry_after });
        }
        if !self.queue.has_ahead(&job, now)
            && let Choice::Place(instance) = self.find(&job, now)
        {
            return Offer::Place(self.assign(&instance, &job, now));
        }
        let wait = self.queue.expected_wait(&job, now);
        if now + wait > job.wait_until {
            return Offer::Refuse(Refused { reason: RefusedBecause::Full, retry_after: wait });
        }
        Offer::Wait(self.queue.push(job))
    }

    /// Gives places that are free now to requests that wait, the most important first.
    pub fn wake(&mut self, now: Instant) -> Vec<Woken> {
        let mut woken = self.give_up(now);
        while self.until_lower == 0
            && let Some(waiter) = self.queue.first_of_lowest(now)
            && let Some(job) = self.queue.job(waiter).cloned()
            && let Choice::Place(instance) = self.choose(&job, now)
        {
            woken.push(self.place_waiter(waiter, &job, &instance, now));
            self.until_lower = PLACES_BETWEEN_LOWER;
        }
        let mut full: HashSet<String> = HashSet::new();
        for waiter in self.queue.in_order(now) {
            let Some(job) = self.queue.job(waiter).cloned() else { continue };
            if full.contains(&job.service) {
                continue;
            }
            match self.find(&job, now) {
                Choice::Place(instance) => {
                    woken.push(self.place_waiter(waiter, &job, &instance, now));
                    self.until_lower = self.until_lower.saturating_sub(1);
                }
                Choice::Full if job.excluded.is_empty() => {
                    full.insert(job.service);
                }
                Choice::Full | Choice::NoneFits => {}
            }
        }
        for (waiter, job) in self.queue.excess(now) {
            woken.push(self.refuse_waiter(waiter, &job, now));
        }
        woken
    }

    fn place_waiter(
        &mut self,
        waiter: WaiterId,
        job: &Job,
        instance: &InstanceId,
        now: Instant,
    ) -> Woken {
        self.queue.remove(waiter);
        Woken::Place(waiter, self.assign(instance, job, now))
    }

    /// Refuses what has waited in vain.
    fn give_up(&mut self, now: Instant) -> Vec<Woken> {
        let overdue = self.queue.overdue(now);
        overdue.iter().map(|(waiter, job)| self.refuse_waiter(*waiter, job, now)).collect()
    }

    fn refuse_waiter(&mut self, waiter: WaiterId, job: &Job, now: Instant) -> Woken {
        self.queue.remove(waiter);
        let retry_after = self.queue.expected_wait(job, now);
        Woken::Refuse(waiter, Refused { reason: RefusedBecause::Full, retry_after })
    }

    /// Takes a request out of the queue.
    pub fn withdraw(&mut self, waiter: WaiterId) {
        self.queue.remove(waiter);
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes in the first event of an answer, or the head of a plain one.
    pub fn first_event(&mut self, assignment: &mut Assignment, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(&assignment.instance) {
            tracked.leave_backlog(assignment);
            tracked.learn_first_event(assignment, now);
            assignment.last_event_at = Some(now);
            tracked.heard_at = now;
        }
    }

    /// Takes in `count` further events of a stream. Gives back the pause before them.
    pub fn further_events(
        &mut self,
        assignment: &mut Assignment,
        count: u32,
        now: Instant,
    ) -> Duration {
        let before = assignment.last_event_at.replace(now).unwrap_or(now);
        let pause = now.saturating_duration_since(before);
        if let Some(tracked) = self.upstreams.get_mut(&assignment.instance) {
            tracked.heard_at = now;
            tracked.speed.observe_output(pause, count.saturating_mul(assignment.tokens_per_event));
        }
        pause
    }

    /// Takes in that an upstream has sent something.
    pub fn heard(&mut self, instance: &InstanceId, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(instance) {
            tracked.heard_at = now;
        }
    }

    /// Whether an upstream has sent nothing for some time although it has work.
    pub fn is_silent(&self, instance: &InstanceId, now: Instant) -> bool {
        self.upstreams.get(instance).is_none_or(|tracked| tracked.is_silent(now))
    }

    /// Frees a place.
    pub fn ended(&mut self, assignment: &mut Assignment, ending: Ending, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.growth.observe(self.running, now);
        if let Some(tracked) = self.upstreams.get_mut(&assignment.instance) {
            tracked.leave_backlog(assignment);
            tracked.end(assignment.ticket, ending, now);
        }
    }

    /// A place that is not owed to something more important at another entry.
    fn find(&mut self, job: &Job, now: Instant) -> Choice {
        let choice = self.choose(job, now);
        let Choice::Place(instance) = &choice else { return choice };
        let draw = self.rng.random();
        if self.owed.take(&job.service, job.rank, draw) {
            if let Some(tracked) = self.upstreams.get_mut(instance) {
                tracked.leave_place(now);
            }
            return Choice::Full;
        }
        choice
    }

    fn assign(&mut self, instance: &InstanceId, job: &Job, now: Instant) -> Assignment {
        self.queue.count_placed(&job.service, job.rank, now);
        self.next_ticket += 1;
        self.running += 1;
        self.growth.observe(self.running, now);
        let ticket = self.next_ticket;
        if let Some(part) = job.session_part {
            self.remember_session(part, instance, now);
        }
        let tracked = self.upstreams.get_mut(instance);
        let (address, backlog_tokens) = tracked
            .map_or((SocketAddr::from(([0, 0, 0, 0], 0)), 0), |tracked| {
                tracked.begin(ticket, job.prompt_tokens, now)
            });
        Assignment {
            instance: instance.clone(),
            address,
            prompt_tokens: job.prompt_tokens,
            output_tokens: job.output_tokens,
            at: now,
            tokens_per_event: job.tokens_per_event,
            last_event_at: None,
            backlog_tokens,
            in_backlog: true,
            ticket,
        }
    }

    fn remember_session(&mut self, part: u64, instance: &InstanceId, now: Instant) {
        if self.sessions.len() >= AFFINITY_ENTRIES {
            self.sessions.retain(|_, (_, at)| now.saturating_duration_since(*at) < AFFINITY_MEMORY);
        }
        if self.sessions.len() < AFFINITY_ENTRIES {
            self.sessions.insert(part, (instance.clone(), now));
        }
    }
}
