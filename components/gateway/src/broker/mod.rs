//! One entry gives the places of a service to all entries.
//!
//! Entries that choose by what they last heard of each other crowd the same upstreams, and a queue
//! at each entry cannot serve the most important request of all. So each service has a broker, an
//! entry that every entry works out alike from the list of members. It holds the one queue, knows
//! what is in flight and learns how fast each upstream is. It is on no request's data path: an
//! entry that cannot reach it asks the next one, which knows the places that are held from the
//! entries themselves.

mod election;
mod message;
mod reach;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::model::{PeerId, Places, Upstream, UpstreamId};
use crate::scheduler::{Ending, Job, Observed, Offer, PlaceId, Scheduler, WaiterId, Woken};

pub use election::{Matter, rank_entries};
pub use message::{AskedJob, Message, MessageError, Ticket, Verdict};
pub use reach::Reach;

/// How long a place may be missing from what its entry says that it holds: until the verdict has
/// arrived and the next list is here.
const VERDICT_UNDER_WAY: Duration = Duration::from_millis(500);

/// Silence after which what an entry holds is no longer counted, and what it waits for is dropped;
/// several lists long.
const ENTRY_MEMORY: Duration = Duration::from_millis(1_500);

/// A request of an entry.
type Request = (PeerId, Ticket);

#[derive(Debug)]
struct Held {
    place: PlaceId,
    upstream: UpstreamId,
    since: Instant,
}

/// What goes back to an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The entry.
    pub to: PeerId,
    /// Its request.
    pub ticket: Ticket,
    /// What became of it.
    pub verdict: Verdict,
}

/// The places of upstreams, and which entry holds them.
#[derive(Debug)]
pub struct Broker {
    scheduler: Scheduler,
    held: HashMap<Request, Held>,
    waiting: HashMap<Request, WaiterId>,
    waiters: HashMap<WaiterId, Request>,
    heard_at: HashMap<PeerId, Instant>,
}

impl Broker {
    /// A broker that knows no upstream.
    pub fn new(places: Places) -> Broker {
        Broker {
            scheduler: Scheduler::new(places),
            held: HashMap::new(),
            waiting: HashMap::new(),
            waiters: HashMap::new(),
            heard_at: HashMap::new(),
        }
    }

    /// Takes in the upstreams that may be used now.
    pub fn set_upstreams(&mut self, usable: &[Upstream], now: Instant) -> Vec<Reply> {
        self.scheduler.set_upstreams(usable, now);
        self.wake(now)
    }

    /// Its view of upstreams and waiting requests.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// An entry asks for a place, for the first time or again because it heard nothing.
    pub fn ask(
        &mut self,
        from: PeerId,
        zone: Rc<str>,
        ticket: Ticket,
        asked: &AskedJob,
        now: Instant,
    ) -> Verdict {
        self.heard_at.insert(from, now);
        let request = (from, ticket);
        if let Some(held) = self.held.get(&request) {
            return Verdict::Granted { upstream: held.upstream };
        }
        if self.waiting.contains_key(&request) {
            return Verdict::Queued;
        }
        if !self.scheduler.knows_service(asked.service) {
            return Verdict::NotHere;
        }
        self.offer(request, asked.to_job(zone, now), now)
    }

    fn offer(&mut self, request: Request, job: Job, now: Instant) -> Verdict {
        match self.scheduler.offer(job, now) {
            Offer::Place(place) => {
                let upstream = place.upstream;
                self.held.insert(request, Held { place: place.id, upstream, since: now });
                Verdict::Granted { upstream }
            }
            Offer::Wait(waiter) => {
                self.waiting.insert(request, waiter);
                self.waiters.insert(waiter, request);
                Verdict::Queued
            }
            Offer::Refuse(refused) => Verdict::Refused(refused),
        }
    }

    /// An entry gives a place back, or no longer wants one.
    pub fn release(
        &mut self,
        from: PeerId,
        ticket: Ticket,
        observed: Observed,
        now: Instant,
    ) -> Vec<Reply> {
        self.heard_at.insert(from, now);
        let request = (from, ticket);
        if let Some(waiter) = self.waiting.remove(&request) {
            self.waiters.remove(&waiter);
            self.scheduler.withdraw(waiter);
        }
        self.free(request, observed, now)
    }

    fn free(&mut self, request: Request, observed: Observed, now: Instant) -> Vec<Reply> {
        let Some(held) = self.held.remove(&request) else { return Vec::new() };
        let woken = self.scheduler.release(held.place, request.0, observed, now);
        self.reply(woken, now)
    }

    /// Takes in all places that an entry holds. What is not among them is free; what this broker
    /// did not give was given by another.
    pub fn hold(
        &mut self,
        from: PeerId,
        listed: &[(Ticket, UpstreamId)],
        now: Instant,
    ) -> Vec<Reply> {
        self.heard_at.insert(from, now);
        for &(ticket, upstream) in listed {
            let request = (from, ticket);
            if !self.held.contains_key(&request)
                && let Some(place) = self.scheduler.take_foreign(upstream)
            {
                self.held.insert(request, Held { place, upstream, since: now });
            }
        }
        let is_listed = |ticket| listed.iter().any(|(other, _)| *other == ticket);
        let is_lost = |((entry, ticket), held): &(&Request, &Held)| {
            let settled = now.saturating_duration_since(held.since) > VERDICT_UNDER_WAY;
            *entry == from && settled && !is_listed(*ticket)
        };
        let lost: Vec<Request> =
            self.held.iter().filter(is_lost).map(|(request, _)| *request).collect();
        self.free_all(&lost, now)
    }

    fn free_all(&mut self, requests: &[Request], now: Instant) -> Vec<Reply> {
        let abandoned = Observed::only(Ending::Abandoned);
        requests.iter().flat_map(|request| self.free(*request, abandoned, now)).collect()
    }

    /// Drops what silent entries held and waited for, and refuses what waits in vain.
    pub fn settle(&mut self, now: Instant) -> Vec<Reply> {
        self.heard_at.retain(|_, at| now.saturating_duration_since(*at) < ENTRY_MEMORY);
        let is_silent = |(entry, _): &&Request| !self.heard_at.contains_key(entry);
        let held: Vec<Request> = self.held.keys().filter(is_silent).copied().collect();
        let waiting: Vec<Request> = self.waiting.keys().filter(is_silent).copied().collect();
        for request in waiting {
            if let Some(waiter) = self.waiting.remove(&request) {
                self.waiters.remove(&waiter);
                self.scheduler.withdraw(waiter);
            }
        }
        let mut replies = self.free_all(&held, now);
        replies.extend(self.wake(now));
        replies
    }

    fn wake(&mut self, now: Instant) -> Vec<Reply> {
        let woken = self.scheduler.wake(now);
        self.reply(woken, now)
    }

    fn reply(&mut self, woken: Vec<Woken>, now: Instant) -> Vec<Reply> {
        let mut replies = Vec::with_capacity(woken.len());
        for woken in woken {
            let (waiter, verdict) = match woken {
                Woken::Place(waiter, place) => {
                    let verdict = Verdict::Granted { upstream: place.upstream };
                    if let Some(request) = self.waiters.get(&waiter) {
                        let held = Held { place: place.id, upstream: place.upstream, since: now };
                        self.held.insert(*request, held);
                    }
                    (waiter, verdict)
                }
                Woken::Refuse(waiter, refused) => (waiter, Verdict::Refused(refused)),
            };
            let Some(request) = self.waiters.remove(&waiter) else { continue };
            self.waiting.remove(&request);
            replies.push(Reply { to: request.0, ticket: request.1, verdict });
        }
        replies
    }
}
