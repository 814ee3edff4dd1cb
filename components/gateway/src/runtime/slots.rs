//! Gets places from brokers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use errors::ResultCode;
use log::info;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

use super::attempt::SharedRef;
use super::peer_socket::RETRANSMIT_INTERVAL;
use super::slot_guard::SlotGuard;
use super::state::Shared;
use crate::broker::{
    AddressedReply, ElectionKey, Message, SlotReply, SlotRequestId, WireJob, rank_candidates,
};
use crate::model::{PeerId, ServiceId, UpstreamId};
use crate::peers::Candidate;
use crate::scheduler::{AttemptOutcome, Job, Observation, Rejection, RejectionReason};

/// A broker that has not answered by now is passed over; several questions long, and a part of the
/// least objective.
const FIRST_ANSWER: Duration = Duration::from_millis(130);

/// Between questions while a request waits at a broker.
const RETRANSMIT_INTERVAL_QUEUED: Duration = Duration::from_millis(200);

/// A broker that has not answered a request that waits for so long is passed over.
const NEXT_ANSWER: Duration = Duration::from_millis(500);

/// How much later than a request may wait its broker's refusal may come.
const REFUSAL_UNDER_WAY: Duration = Duration::from_millis(300);

/// Brokers that a request asks beside its own process.
const MOST_BROKERS: usize = 2;

/// A request that asks for a place. Dropping it withdraws the question.
struct PendingSlotRequest {
    shared: SharedRef,
    broker: PeerId,
    request_id: SlotRequestId,
    replies: UnboundedReceiver<SlotReply>,
    completed: bool,
}

impl Drop for PendingSlotRequest {
    fn drop(&mut self) {
        self.shared.pending_slot_requests.borrow_mut().remove(&self.request_id);
        if !self.completed {
            self.shared.send_release(
                self.broker,
                self.request_id,
                Observation::outcome_only(AttemptOutcome::Abandoned),
            );
        }
    }
}

/// What a broker said.
enum Answer {
    Granted(SlotRequestId, UpstreamId),
    Rejected(Rejection),
    /// Nothing, or that it is no broker.
    None,
}

/// Finds a place for a request, with the help of the service's broker.
pub(super) async fn acquire(shared: &SharedRef, mut job: Job) -> Result<SlotGuard, Rejection> {
    let mut passed_over = Vec::new();
    loop {
        shared.update_suspect_upstreams(&mut job);
        let broker = shared.broker_of(job.service, &passed_over);
        match ask(shared, broker, &job).await {
            Answer::Granted(request_id, upstream) => {
                match shared.accept_slot(broker, request_id, upstream) {
                    Some(slot) => return Ok(slot),
                    None => job.excluded.push(upstream),
                }
            }
            Answer::Rejected(rejection) => return Err(rejection),
            Answer::None if broker == shared.process_id => {
                let (reason, retry_after) = (RejectionReason::NoUpstream, Duration::ZERO);
                return Err(Rejection { reason, retry_after });
            }
            Answer::None => passed_over.push(broker),
        }
    }
}

async fn ask(shared: &SharedRef, broker: PeerId, job: &Job) -> Answer {
    let mut pending = shared.begin_slot_request(broker);
    let asked_at = shared.clock.now();
    let (mut heard_at, mut queued) = (asked_at, false);
    shared.send_slot_request(broker, pending.request_id, job);
    loop {
        let (again, longest) = if queued {
            (RETRANSMIT_INTERVAL_QUEUED, NEXT_ANSWER)
        } else {
            (RETRANSMIT_INTERVAL, FIRST_ANSWER)
        };
        let reply = timeout(again, pending.replies.recv()).await;
        let now = shared.clock.now();
        if let Ok(Some(reply)) = &reply {
            shared.metrics.count_slot_reply(reply.name());
        }
        match reply {
            Ok(Some(SlotReply::Queued)) => (heard_at, queued) = (now, true),
            Ok(Some(SlotReply::Granted { upstream })) => {
                pending.completed = true;
                return Answer::Granted(pending.request_id, upstream);
            }
            Ok(Some(SlotReply::Rejected(rejection))) => {
                pending.completed = true;
                return Answer::Rejected(rejection);
            }
            Ok(Some(SlotReply::NotBroker) | None) => {
                pending.completed = true;
                shared.pass_over(broker, "not here", now);
                return Answer::None;
            }
            Err(_) if now > job.queue_deadline + REFUSAL_UNDER_WAY => {
                let (reason, retry_after) = (RejectionReason::Full, again);
                return Answer::Rejected(Rejection { reason, retry_after });
            }
            Err(_) if now.saturating_duration_since(heard_at) >= longest => {
                shared.pass_over(broker, "silent", now);
                return Answer::None;
            }
            Err(_) => shared.send_slot_request(broker, pending.request_id, job),
        }
    }
}

impl Shared {
    /// The entry to ask for a place: the first of the service's brokers that answers.
    fn broker_of(&self, service: ServiceId, passed_over: &[PeerId]) -> PeerId {
        if passed_over.len() >= MOST_BROKERS {
            return self.process_id;
        }
        let now = self.clock.now();
        let peer_health = self.peer_health.borrow();
        let ranked = self.ranked_brokers(service);
        let usable = |id: &&PeerId| {
            **id == self.process_id
                || (!passed_over.contains(id) && peer_health.is_available(**id, now))
        };
        ranked.iter().find(usable).copied().unwrap_or(self.process_id)
    }

    /// All entries, the service's broker first.
    pub(super) fn ranked_brokers(&self, service: ServiceId) -> Rc<[PeerId]> {
        self.ranked_gateways(ElectionKey::Service(service))
    }

    /// All entries, the one that does something for all first.
    pub(super) fn ranked_gateways(&self, election_key: ElectionKey) -> Rc<[PeerId]> {
        let mut ranked = self.ranked_gateways.borrow_mut();
        let rank = || {
            let mut candidates = self.peers.borrow().candidates(self.clock.now());
            if !self.is_leaving() || candidates.is_empty() {
                let cores = self.settings.borrow().cores;
                candidates.push(Candidate { id: self.process_id, cores });
            }
            rank_candidates(election_key, &candidates).into()
        };
        ranked.entry(election_key).or_insert_with(rank).clone()
    }

    /// Has it worked out again who does what, where members came or went.
    pub(super) fn update_candidates(&self) {
        let now = self.clock.now();
        let mut ids: Vec<PeerId> =
            self.peers.borrow().candidates(now).iter().map(|candidate| candidate.id).collect();
        if !self.is_leaving() {
            ids.push(self.process_id);
        }
        ids.sort_unstable();
        if *self.candidate_ids.borrow() == ids {
            return;
        }
        self.candidate_ids.replace(ids);
        self.ranked_gateways.borrow_mut().clear();
        let handed_over = self
            .bucket_owner
            .borrow_mut()
            .update_members(|customer| self.bucket_role(customer), now);
        self.send_bucket_levels(handed_over, true);
    }

    fn pass_over(&self, broker: PeerId, why: &str, now: Instant) {
        self.metrics.count_slot_reply("passed_over");
        info!("broker.passed_over broker={broker} reason={why:?}");
        self.peer_health.borrow_mut().record_timeout(broker, now);
    }

    /// Notes upstreams that this entry knows to be bad for the request.
    fn update_suspect_upstreams(&self, job: &mut Job) {
        job.suspect = self.reachability.borrow().suspects(self.clock.now());
        let upstreams = self.upstreams.borrow();
        let leaving = upstreams.iter().filter(|(_, upstream)| upstream.draining);
        for (id, _) in leaving {
            if !job.excluded.contains(id) {
                job.excluded.push(*id);
            }
        }
    }

    /// Takes the place that a broker gave; `None` where this entry knows better.
    fn accept_slot(
        self: &Rc<Self>,
        broker: PeerId,
        request_id: SlotRequestId,
        upstream: UpstreamId,
    ) -> Option<SlotGuard> {
        let known = self.upstreams.borrow().get(&upstream).cloned();
        let Some(usable) = known.filter(|upstream| !upstream.draining) else {
            info!("place.unusable broker={broker} upstream={}", upstream.0);
            self.send_release(
                broker,
                request_id,
                Observation::outcome_only(AttemptOutcome::Abandoned),
            );
            return None;
        };
        Some(SlotGuard::new(self.clone(), broker, request_id, usable))
    }

    fn begin_slot_request(self: &Rc<Self>, broker: PeerId) -> PendingSlotRequest {
        let request_id = self.next_slot_request_id.get().wrapping_add(1);
        self.next_slot_request_id.set(request_id);
        let (sender, replies) = unbounded_channel();
        self.pending_slot_requests.borrow_mut().insert(request_id, sender);
        PendingSlotRequest { shared: self.clone(), broker, request_id, replies, completed: false }
    }

    fn send_slot_request(&self, broker: PeerId, request_id: SlotRequestId, job: &Job) {
        let wire_job = WireJob::from_job(job, self.clock.now());
        self.send_message(
            broker,
            Message::SlotRequest { from: self.process_id, request_id, job: wire_job },
        );
    }

    /// Gives a place back.
    pub(super) fn send_release(
        &self,
        broker: PeerId,
        request_id: SlotRequestId,
        observation: Observation,
    ) {
        self.send_message(
            broker,
            Message::Release { from: self.process_id, request_id, observation },
        );
    }

    /// Counts a place as held by this entry.
    pub(super) fn register_held_slot(
        &self,
        request_id: SlotRequestId,
        upstream: UpstreamId,
        now: Instant,
    ) {
        self.held_slots.borrow_mut().insert(request_id, upstream);
        self.reachability.borrow_mut().record_start(upstream, request_id, now);
    }

    /// Gives a held place back.
    pub(super) fn release_held_slot(
        &self,
        broker: PeerId,
        request_id: SlotRequestId,
        upstream: UpstreamId,
        observation: Observation,
    ) {
        let now = self.clock.now();
        self.held_slots.borrow_mut().remove(&request_id);
        self.reachability.borrow_mut().record_end(upstream, request_id, observation.outcome, now);
        self.send_release(broker, request_id, observation);
    }

    /// Tells brokers and those that stand in for them what this entry holds.
    pub(super) fn send_held_slots(&self) {
        let services: Vec<ServiceId> = self.broker.borrow().scheduler().services().collect();
        let mut recipients: Vec<PeerId> = vec![self.process_id];
        for service in services {
            recipients.extend(self.ranked_brokers(service).iter().take(MOST_BROKERS));
        }
        recipients.sort_unstable();
        recipients.dedup();
        let slots: Vec<(SlotRequestId, UpstreamId)> = self
            .held_slots
            .borrow()
            .iter()
            .map(|(request_id, upstream)| (*request_id, *upstream))
            .collect();
        for to in recipients {
            self.send_message(
                to,
                Message::HeldSlots { from: self.process_id, slots: slots.clone() },
            );
        }
    }

    /// Takes in a broker's verdict.
    pub(super) fn handle_slot_reply(
        &self,
        broker: PeerId,
        request_id: SlotRequestId,
        reply: SlotReply,
    ) {
        if broker != self.process_id && reply != SlotReply::NotBroker {
            self.peer_health.borrow_mut().record_reply(broker);
        }
        let asked = self.pending_slot_requests.borrow().get(&request_id).cloned();
        let granted = matches!(reply, SlotReply::Granted { .. });
        let taken = asked.is_some_and(|asked| asked.send(reply).is_ok());
        if granted && !taken && !self.held_slots.borrow().contains_key(&request_id) {
            self.send_release(
                broker,
                request_id,
                Observation::outcome_only(AttemptOutcome::Abandoned),
            );
        }
    }

    /// Takes in a message to this entry as a broker.
    pub(super) fn handle_broker_message(&self, zone: Rc<str>, message: Message) {
        let now = self.clock.now();
        let replies = match message {
            Message::SlotRequest { from, request_id, job } => {
                let reply = if self.is_leaving() && from != self.process_id {
                    SlotReply::NotBroker
                } else {
                    self.broker.borrow_mut().request_slot(from, zone, request_id, &job, now)
                };
                vec![AddressedReply { to: from, request_id, reply }]
            }
            Message::Release { from, request_id, observation } => {
                self.broker.borrow_mut().release(from, request_id, observation, now)
            }
            Message::HeldSlots { from, slots } => {
                self.broker.borrow_mut().reconcile_held_slots(from, &slots, now)
            }
            _ => Vec::new(),
        };
        self.send_replies(replies);
    }

    /// Sends what became of requests for places.
    pub(super) fn send_replies(&self, replies: Vec<AddressedReply>) {
        for AddressedReply { to, request_id, reply } in replies {
            self.send_message(to, Message::SlotReply { from: self.process_id, request_id, reply });
        }
    }
}

/// The result code of a refusal.
pub(super) fn result_code(reason: RejectionReason) -> ResultCode {
    match reason {
        RejectionReason::NoUpstream => ResultCode::NoUpstream,
        RejectionReason::Full => ResultCode::Overloaded,
    }
}
