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
mod peer_health;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::model::{PeerId, Topology, Upstream, UpstreamId};
use crate::scheduler::{
    AttemptOutcome, Job, Observation, Scheduler, SlotId, Submission, WaiterId, Wakeup,
};

pub use election::{ElectionKey, rank_candidates};
pub use message::{Message, MessageError, SlotReply, SlotRequestId, WireJob};
pub use peer_health::PeerHealth;

/// How long a place may be missing from what its entry says that it holds: until the verdict has
/// arrived and the next list is here.
const UNLISTED_SLOT_GRACE: Duration = Duration::from_millis(500);

/// Silence after which what an entry holds is no longer counted, and what it waits for is dropped;
/// several lists long.
const GATEWAY_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A request of an entry.
type RequestKey = (PeerId, SlotRequestId);

#[derive(Debug)]
struct HeldSlot {
    slot: SlotId,
    upstream: UpstreamId,
    since: Instant,
}

/// What goes back to an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressedReply {
    /// The entry.
    pub to: PeerId,
    /// Its request.
    pub request_id: SlotRequestId,
    /// What became of it.
    pub reply: SlotReply,
}

/// The places of upstreams, and which entry holds them.
#[derive(Debug)]
pub struct Broker {
    scheduler: Scheduler,
    held: HashMap<RequestKey, HeldSlot>,
    waiting: HashMap<RequestKey, WaiterId>,
    waiters: HashMap<WaiterId, RequestKey>,
    last_contact_at: HashMap<PeerId, Instant>,
}

impl Broker {
    /// A broker that knows no upstream.
    pub fn new(topology: Topology) -> Broker {
        Broker {
            scheduler: Scheduler::new(topology),
            held: HashMap::new(),
            waiting: HashMap::new(),
            waiters: HashMap::new(),
            last_contact_at: HashMap::new(),
        }
    }

    /// Takes in the upstreams that may be used now.
    pub fn set_upstreams(&mut self, usable: &[Upstream], now: Instant) -> Vec<AddressedReply> {
        self.scheduler.set_upstreams(usable, now);
        self.wake_waiting(now)
    }

    /// Its view of upstreams and waiting requests.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// An entry asks for a place, for the first time or again because it heard nothing.
    pub fn request_slot(
        &mut self,
        from: PeerId,
        zone: Rc<str>,
        request_id: SlotRequestId,
        wire_job: &WireJob,
        now: Instant,
    ) -> SlotReply {
        self.last_contact_at.insert(from, now);
        let request = (from, request_id);
        if let Some(held) = self.held.get(&request) {
            return SlotReply::Granted { upstream: held.upstream };
        }
        if self.waiting.contains_key(&request) {
            return SlotReply::Queued;
        }
        if !self.scheduler.knows_service(wire_job.service) {
            return SlotReply::NotBroker;
        }
        self.submit(request, wire_job.to_job(zone, now), now)
    }

    fn submit(&mut self, request: RequestKey, job: Job, now: Instant) -> SlotReply {
        match self.scheduler.submit(job, now) {
            Submission::Assigned(slot) => {
                let upstream = slot.upstream;
                self.held.insert(request, HeldSlot { slot: slot.id, upstream, since: now });
                SlotReply::Granted { upstream }
            }
            Submission::Queued(waiter) => {
                self.waiting.insert(request, waiter);
                self.waiters.insert(waiter, request);
                SlotReply::Queued
            }
            Submission::Rejected(rejection) => SlotReply::Rejected(rejection),
        }
    }

    /// An entry gives a place back, or no longer wants one.
    pub fn release(
        &mut self,
        from: PeerId,
        request_id: SlotRequestId,
        observation: Observation,
        now: Instant,
    ) -> Vec<AddressedReply> {
        self.last_contact_at.insert(from, now);
        let request = (from, request_id);
        if let Some(waiter) = self.waiting.remove(&request) {
            self.waiters.remove(&waiter);
            self.scheduler.cancel(waiter);
        }
        self.release_slot(request, observation, now)
    }

    fn release_slot(
        &mut self,
        request: RequestKey,
        observation: Observation,
        now: Instant,
    ) -> Vec<AddressedReply> {
        let Some(held) = self.held.remove(&request) else { return Vec::new() };
        let wakeups = self.scheduler.release(held.slot, request.0, observation, now);
        self.apply_wakeups(wakeups, now)
    }

    /// Takes in all places that an entry holds. What is not among them is free; what this broker
    /// did not give was given by another.
    pub fn reconcile_held_slots(
        &mut self,
        from: PeerId,
        listed: &[(SlotRequestId, UpstreamId)],
        now: Instant,
    ) -> Vec<AddressedReply> {
        self.last_contact_at.insert(from, now);
        for &(request_id, upstream) in listed {
            let request = (from, request_id);
            if !self.held.contains_key(&request)
                && let Some(slot) = self.scheduler.adopt_slot(upstream)
            {
                self.held.insert(request, HeldSlot { slot, upstream, since: now });
            }
        }
        let is_listed = |request_id| listed.iter().any(|(other, _)| *other == request_id);
        let is_lost = |((gateway, request_id), held): &(&RequestKey, &HeldSlot)| {
            let is_past_grace = now.saturating_duration_since(held.since) > UNLISTED_SLOT_GRACE;
            *gateway == from && is_past_grace && !is_listed(*request_id)
        };
        let lost: Vec<RequestKey> =
            self.held.iter().filter(is_lost).map(|(request, _)| *request).collect();
        self.release_abandoned(&lost, now)
    }

    fn release_abandoned(&mut self, requests: &[RequestKey], now: Instant) -> Vec<AddressedReply> {
        let abandoned = Observation::outcome_only(AttemptOutcome::Abandoned);
        requests.iter().flat_map(|request| self.release_slot(*request, abandoned, now)).collect()
    }

    /// Drops what silent entries held and waited for, and refuses what waits in vain.
    pub fn expire_silent(&mut self, now: Instant) -> Vec<AddressedReply> {
        self.last_contact_at
            .retain(|_, at| now.saturating_duration_since(*at) < GATEWAY_SILENCE_TIMEOUT);
        let is_silent = |(gateway, _): &&RequestKey| !self.last_contact_at.contains_key(gateway);
        let held: Vec<RequestKey> = self.held.keys().filter(is_silent).copied().collect();
        let waiting: Vec<RequestKey> = self.waiting.keys().filter(is_silent).copied().collect();
        for request in waiting {
            if let Some(waiter) = self.waiting.remove(&request) {
                self.waiters.remove(&waiter);
                self.scheduler.cancel(waiter);
            }
        }
        let mut replies = self.release_abandoned(&held, now);
        replies.extend(self.wake_waiting(now));
        replies
    }

    fn wake_waiting(&mut self, now: Instant) -> Vec<AddressedReply> {
        let wakeups = self.scheduler.wake_waiting(now);
        self.apply_wakeups(wakeups, now)
    }

    fn apply_wakeups(&mut self, wakeups: Vec<Wakeup>, now: Instant) -> Vec<AddressedReply> {
        let mut replies = Vec::with_capacity(wakeups.len());
        for wakeup in wakeups {
            let (waiter, reply) = match wakeup {
                Wakeup::Assigned(waiter, slot) => {
                    let reply = SlotReply::Granted { upstream: slot.upstream };
                    if let Some(request) = self.waiters.get(&waiter) {
                        let held = HeldSlot { slot: slot.id, upstream: slot.upstream, since: now };
                        self.held.insert(*request, held);
                    }
                    (waiter, reply)
                }
                Wakeup::Rejected(waiter, rejection) => (waiter, SlotReply::Rejected(rejection)),
            };
            let Some(request) = self.waiters.remove(&waiter) else { continue };
            self.waiting.remove(&request);
            replies.push(AddressedReply { to: request.0, request_id: request.1, reply });
        }
        replies
    }
}
