//! Broker that assigns the slots of a service to all gateways.
//!
//! If each gateway selected upstreams by itself, from state that is one digest old, all would crowd
//! the same upstreams; and with one queue per gateway the most important request of all could not
//! be served first. Each service therefore has one broker, a gateway that all gateways elect alike
//! from the member list. It has the only queue, knows all requests in flight and learns the speed
//! of each upstream. It is not on the data path of requests: a gateway that cannot reach it asks
//! the next one in the ranking, which knows the held slots from the lists that gateways send.
//!
//! Load pattern: more than a thousand requests of a hundred gateways wait at one broker. A gateway
//! does not repeat the request of each, but lists them together, and the broker replies together.

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
pub use message::{
    Datagram, JobExtension, Message, MessageError, SlotReply, SlotRequestId, WireJob,
};
pub use peer_health::PeerHealth;

/// Time for which an assigned slot may be missing from its holder's list: the reply has to arrive
/// and the next list has to come back.
const UNLISTED_SLOT_GRACE: Duration = Duration::from_millis(500);

/// Silence after which the slots that a gateway holds are released and its queued requests are
/// dropped; several times the interval of its lists.
const GATEWAY_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Identifies a slot request among all gateways.
type RequestKey = (PeerId, SlotRequestId);

#[derive(Debug)]
struct HeldSlot {
    slot: SlotId,
    upstream: UpstreamId,
    since: Instant,
}

/// Reply with the gateway that it is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressedReply {
    /// Gateway that made the slot request.
    pub to: PeerId,
    /// Id of the slot request.
    pub request_id: SlotRequestId,
    /// Reply.
    pub reply: SlotReply,
}

/// Assigns the slots of upstreams and tracks which gateway holds each.
#[derive(Debug)]
pub struct Broker {
    scheduler: Scheduler,
    held: HashMap<RequestKey, HeldSlot>,
    waiter_by_request: HashMap<RequestKey, WaiterId>,
    request_by_waiter: HashMap<WaiterId, RequestKey>,
    last_contact_at: HashMap<PeerId, Instant>,
}

impl Broker {
    /// Creates a broker without upstreams.
    pub fn new(topology: Topology) -> Broker {
        Broker {
            scheduler: Scheduler::new(topology),
            held: HashMap::new(),
            waiter_by_request: HashMap::new(),
            request_by_waiter: HashMap::new(),
            last_contact_at: HashMap::new(),
        }
    }

    /// Replaces the usable upstreams.
    pub fn set_upstreams(&mut self, usable: &[Upstream], now: Instant) -> Vec<AddressedReply> {
        self.scheduler.set_upstreams(usable, now);
        self.wake_waiting(now)
    }

    /// Replaces the rates, in requests per second, at which upstreams may be assigned requests.
    pub fn set_rates(&mut self, rates: &HashMap<UpstreamId, f64>, now: Instant) {
        self.scheduler.set_rates(rates, now);
    }

    /// Scheduler with the upstreams and the queued requests.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Handles a slot request, including one repeated by a gateway that received no reply.
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
        if self.waiter_by_request.contains_key(&request) {
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
                self.waiter_by_request.insert(request, waiter);
                self.request_by_waiter.insert(waiter, request);
                SlotReply::Queued
            }
            Submission::Rejected(rejection) => SlotReply::Rejected(rejection),
        }
    }

    /// Releases a slot, or cancels a slot request that a gateway no longer needs.
    pub fn release(
        &mut self,
        from: PeerId,
        request_id: SlotRequestId,
        observation: Observation,
        now: Instant,
    ) -> Vec<AddressedReply> {
        self.last_contact_at.insert(from, now);
        let request = (from, request_id);
        if let Some(waiter) = self.waiter_by_request.remove(&request) {
            self.request_by_waiter.remove(&waiter);
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

    /// Reconciles the held slots with the list that a gateway sent. Slots that are missing from the
    /// list are released; listed slots that this broker did not assign were assigned by another one
    /// and are adopted.
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

    /// Replies to the list of queued slot requests that a gateway sent. A gateway that has lost a
    /// reply gets it again.
    pub fn review_queued(
        &self,
        from: PeerId,
        queued: &[SlotRequestId],
    ) -> Vec<(SlotRequestId, SlotReply)> {
        let reply = |request_id: &SlotRequestId| {
            let request = (from, *request_id);
            match self.held.get(&request) {
                Some(held) => SlotReply::Granted { upstream: held.upstream },
                None if self.waiter_by_request.contains_key(&request) => SlotReply::Queued,
                None => SlotReply::Unknown,
            }
        };
        queued.iter().map(|request_id| (*request_id, reply(request_id))).collect()
    }

    fn release_abandoned(&mut self, requests: &[RequestKey], now: Instant) -> Vec<AddressedReply> {
        let abandoned = Observation::outcome_only(AttemptOutcome::Abandoned);
        requests.iter().flat_map(|request| self.release_slot(*request, abandoned, now)).collect()
    }

    /// Releases the slots of silent gateways, drops their queued requests, and rejects queued
    /// requests that cannot get a slot in time.
    pub fn expire_silent(&mut self, now: Instant) -> Vec<AddressedReply> {
        self.last_contact_at
            .retain(|_, at| now.saturating_duration_since(*at) < GATEWAY_SILENCE_TIMEOUT);
        let is_silent = |(gateway, _): &&RequestKey| !self.last_contact_at.contains_key(gateway);
        let held: Vec<RequestKey> = self.held.keys().filter(is_silent).copied().collect();
        let waiting: Vec<RequestKey> =
            self.waiter_by_request.keys().filter(is_silent).copied().collect();
        for request in waiting {
            if let Some(waiter) = self.waiter_by_request.remove(&request) {
                self.request_by_waiter.remove(&waiter);
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
                    if let Some(request) = self.request_by_waiter.get(&waiter) {
                        let held = HeldSlot { slot: slot.id, upstream: slot.upstream, since: now };
                        self.held.insert(*request, held);
                    }
                    (waiter, reply)
                }
                Wakeup::Rejected(waiter, rejection) => (waiter, SlotReply::Rejected(rejection)),
            };
            let Some(request) = self.request_by_waiter.remove(&waiter) else { continue };
            self.waiter_by_request.remove(&request);
            replies.push(AddressedReply { to: request.0, request_id: request.1, reply });
        }
        replies
    }
}
