//! Acquires slots at upstreams from the services' brokers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use errors::ResultCode;
use log::info;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{sleep, timeout};

use super::peer_socket::RETRANSMIT_INTERVAL;
use super::slot_guard::SlotGuard;
use super::state::{AwaitedReply, Shared, SharedRef};
use crate::broker::{Message, SlotReply, SlotRequestId, WireJob};
use crate::model::{PeerId, ServiceId, Upstream, UpstreamId};
use crate::scheduler::{AttemptOutcome, Job, Observation, Rejection, RejectionReason};
use crate::upstream_notices::PauseDecision;

/// Time without any reply after which a broker counts as unavailable: several retransmissions, and
/// a fraction of the shortest latency objective.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(130);

/// Time without a reply to a queued request after which its broker counts as unavailable: that of
/// two lists of queued requests, and the replies to them.
const QUEUED_REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after a request's queue deadline within which its broker's rejection may still arrive.
const REJECTION_TRANSIT_TIME: Duration = Duration::from_millis(300);

/// Maximum number of brokers that a request asks before it asks its own gateway.
const MAX_BROKERS: usize = 2;

/// A slot request sent to a broker. Dropping it before it is completed cancels it at the broker.
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

/// Result of a slot request.
enum SlotRequestResult {
    /// A slot is granted, at most this long ago.
    Granted(SlotRequestId, UpstreamId, Duration),
    Rejected(Rejection),
    /// The broker did not reply, or is not the service's broker.
    BrokerUnavailable,
}

/// Acquires a slot for a request from the service's broker, or from the next ones if it is
/// unavailable.
pub(super) async fn acquire(shared: &SharedRef, mut job: Job) -> Result<SlotGuard, Rejection> {
    let mut unavailable_brokers = Vec::new();
    // Unlike those that have asked for a pause, these stay excluded.
    let mut excluded = job.excluded.clone();
    loop {
        match shared.check_pauses(&job, &excluded) {
            PauseDecision::RequestSlot => {}
            PauseDecision::Wait(pause) => {
                sleep(pause).await;
                continue;
            }
            PauseDecision::Reject(retry_after) => {
                return Err(Rejection { reason: RejectionReason::NoUpstream, retry_after });
            }
        }
        shared.update_unsuitable_upstreams(&mut job, &excluded);
        let broker = shared.select_broker(job.service, &unavailable_brokers);
        match request_slot(shared, broker, &job).await {
            SlotRequestResult::Granted(request_id, upstream, max_age) => {
                match shared.accept_slot(broker, request_id, &job, upstream, max_age) {
                    Some(slot) => return Ok(slot),
                    None => excluded.push(upstream),
                }
            }
            SlotRequestResult::Rejected(rejection) => return Err(rejection),
            SlotRequestResult::BrokerUnavailable if broker == shared.process_id => {
                let (reason, retry_after) = (RejectionReason::NoUpstream, Duration::ZERO);
                return Err(Rejection { reason, retry_after });
            }
            SlotRequestResult::BrokerUnavailable => unavailable_brokers.push(broker),
        }
    }
}

async fn request_slot(shared: &SharedRef, broker: PeerId, job: &Job) -> SlotRequestResult {
    let mut pending = shared.begin_slot_request(broker);
    let requested_at = shared.clock.now();
    let (mut last_reply_at, mut queued) = (requested_at, false);
    shared.send_slot_request(broker, pending.request_id, job);
    loop {
        // The gateway's periodic list repeats queued requests.
        let (retransmit_interval, reply_timeout) = if queued {
            (QUEUED_REPLY_TIMEOUT, QUEUED_REPLY_TIMEOUT)
        } else {
            (RETRANSMIT_INTERVAL, FIRST_REPLY_TIMEOUT)
        };
        let reply = timeout(retransmit_interval, pending.replies.recv()).await;
        let now = shared.clock.now();
        if let Ok(Some(reply)) = &reply {
            shared.metrics.count_slot_reply(reply.name());
        }
        match reply {
            Ok(Some(SlotReply::Queued)) => {
                (last_reply_at, queued) = (now, true);
                shared.mark_queued(pending.request_id, true);
            }
            Ok(Some(SlotReply::Unknown)) => {
                (last_reply_at, queued) = (now, false);
                shared.mark_queued(pending.request_id, false);
                shared.send_slot_request(broker, pending.request_id, job);
            }
            Ok(Some(SlotReply::Granted { upstream })) => {
                pending.completed = true;
                let max_age = now.saturating_duration_since(last_reply_at);
                return SlotRequestResult::Granted(pending.request_id, upstream, max_age);
            }
            Ok(Some(SlotReply::Rejected(rejection))) => {
                pending.completed = true;
                return SlotRequestResult::Rejected(rejection);
            }
            Ok(Some(SlotReply::NotBroker) | None) => {
                pending.completed = true;
                shared.record_unavailable_broker(broker, "not the broker", now);
                return SlotRequestResult::BrokerUnavailable;
            }
            Err(_) if now > job.queue_deadline + REJECTION_TRANSIT_TIME => {
                let (reason, retry_after) = (RejectionReason::Full, retransmit_interval);
                return SlotRequestResult::Rejected(Rejection { reason, retry_after });
            }
            Err(_) if now.saturating_duration_since(last_reply_at) >= reply_timeout => {
                shared.record_unavailable_broker(broker, "silent", now);
                return SlotRequestResult::BrokerUnavailable;
            }
            Err(_) => shared.send_slot_request(broker, pending.request_id, job),
        }
    }
}

impl Shared {
    /// Selects the gateway to ask for a slot: the first available one in the service's election
    /// order.
    fn select_broker(&self, service: ServiceId, unavailable_brokers: &[PeerId]) -> PeerId {
        if unavailable_brokers.len() >= MAX_BROKERS {
            return self.process_id;
        }
        let now = self.clock.now();
        let peer_health = self.peer_health.borrow();
        let ranked = self.ranked_brokers(service);
        let usable = |id: &&PeerId| {
            **id == self.process_id
                || (!unavailable_brokers.contains(id) && peer_health.is_available(**id, now))
        };
        ranked.iter().find(usable).copied().unwrap_or(self.process_id)
    }

    fn record_unavailable_broker(&self, broker: PeerId, reason: &str, now: Instant) {
        self.metrics.count_slot_reply("passed_over");
        info!("broker.passed_over broker={broker} reason={reason:?}");
        self.peer_health.borrow_mut().record_timeout(broker, now);
    }

    /// Decides what a request does if all upstreams that it may use have asked for a pause.
    fn check_pauses(&self, job: &Job, excluded: &[UpstreamId]) -> PauseDecision {
        let now = self.clock.now();
        let notices = self.upstream_notices.borrow();
        if notices.paused(now).next().is_none() {
            return PauseDecision::RequestSlot;
        }
        let upstreams = self.upstreams.borrow();
        let is_usable = |(id, upstream): &(&UpstreamId, &Upstream)| {
            !upstream.draining
                && !excluded.contains(id)
                && has_version(job, upstream)
                && is_of_service(job, upstream)
        };
        let usable = upstreams.iter().filter(is_usable).map(|(id, _)| *id);
        notices.decide(usable, job.queue_deadline, now)
    }

    /// Marks upstreams that this gateway can hardly reach as suspect, and excludes those that are
    /// draining or have asked for a pause, beside those in `excluded`.
    fn update_unsuitable_upstreams(&self, job: &mut Job, excluded: &[UpstreamId]) {
        job.excluded = excluded.to_vec();
        job.suspect = self.reachability.borrow().suspects(self.clock.now());
        let upstreams = self.upstreams.borrow();
        let draining = upstreams.iter().filter(|(_, upstream)| upstream.draining);
        let draining = draining.map(|(id, _)| *id);
        let notices = self.upstream_notices.borrow();
        for id in draining.chain(notices.paused(self.clock.now())) {
            if !job.excluded.contains(&id) {
                job.excluded.push(id);
            }
        }
    }

    /// Accepts a slot that a broker granted, the only way to an upstream. Releases it and returns
    /// `None` if its upstream is of another service, gone, draining, of another version or has asked
    /// for a pause, or has a limit and the grant is old.
    fn accept_slot(
        self: &Rc<Self>,
        broker: PeerId,
        request_id: SlotRequestId,
        job: &Job,
        upstream: UpstreamId,
        max_age: Duration,
    ) -> Option<SlotGuard> {
        let known = self.upstreams.borrow().get(&upstream).cloned();
        let is_paused = self.upstream_notices.borrow().is_paused(upstream, self.clock.now());
        let is_valid = self.upstream_limits.borrow().may_use_grant(upstream, max_age);
        let may_use = |upstream: &Upstream| {
            is_of_service(job, upstream)
                && !upstream.draining
                && !is_paused
                && is_valid
                && has_version(job, upstream)
        };
        let is_foreign = known.as_ref().is_some_and(|upstream| !is_of_service(job, upstream));
        let Some(usable) = known.filter(may_use) else {
            let id = upstream.0;
            info!("slot.unusable broker={broker} upstream={id} of_other_service={is_foreign}");
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
        let request_id = self.last_slot_request_id.get().wrapping_add(1);
        self.last_slot_request_id.set(request_id);
        let (sender, replies) = unbounded_channel();
        let awaited = AwaitedReply { broker, queued: false, replies: sender };
        self.pending_slot_requests.borrow_mut().insert(request_id, awaited);
        PendingSlotRequest { shared: self.clone(), broker, request_id, replies, completed: false }
    }

    fn send_slot_request(&self, broker: PeerId, request_id: SlotRequestId, job: &Job) {
        let wire_job = WireJob::from_job(job, self.clock.now());
        self.send_message(
            broker,
            Message::SlotRequest { from: self.process_id, request_id, job: wire_job },
        );
    }

    fn mark_queued(&self, request_id: SlotRequestId, queued: bool) {
        if let Some(awaited) = self.pending_slot_requests.borrow_mut().get_mut(&request_id) {
            awaited.queued = queued;
        }
    }

    /// Slot requests that a broker has queued.
    fn queued_at(&self, broker: PeerId) -> Vec<SlotRequestId> {
        let pending = self.pending_slot_requests.borrow();
        let queued =
            pending.iter().filter(|(_, awaited)| awaited.queued && awaited.broker == broker);
        queued.map(|(request_id, _)| *request_id).collect()
    }

    /// Tells a broker that a slot is released, or a slot request cancelled.
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

    /// Registers a slot as held by this gateway.
    pub(super) fn register_held_slot(
        &self,
        request_id: SlotRequestId,
        upstream: UpstreamId,
        now: Instant,
    ) {
        self.held_slots.borrow_mut().insert(request_id, upstream);
        self.reachability.borrow_mut().record_start(upstream, request_id, now);
    }

    /// Releases a held slot.
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

    /// Sends the list of slots that this gateway holds, and of its queued requests, to the brokers
    /// and their standbys.
    pub(super) fn send_held_slots(&self) {
        let services: Vec<ServiceId> = self.broker.borrow().scheduler().services().collect();
        let mut recipients: Vec<PeerId> = vec![self.process_id];
        for service in services {
            recipients.extend(self.ranked_brokers(service).iter().take(MAX_BROKERS));
        }
        recipients
            .extend(self.pending_slot_requests.borrow().values().map(|awaited| awaited.broker));
        recipients.sort_unstable();
        recipients.dedup();
        let slots: Vec<(SlotRequestId, UpstreamId)> = self
            .held_slots
            .borrow()
            .iter()
            .map(|(request_id, upstream)| (*request_id, *upstream))
            .collect();
        for to in recipients {
            let (slots, queued) = (slots.clone(), self.queued_at(to));
            self.send_message(to, Message::HeldSlots { from: self.process_id, slots, queued });
        }
    }

    /// Passes a broker's reply on to the request that waits for it. A slot that is granted without a
    /// waiting request is released again.
    pub(super) fn handle_slot_reply(
        &self,
        broker: PeerId,
        request_id: SlotRequestId,
        reply: SlotReply,
    ) {
        if broker != self.process_id && reply != SlotReply::NotBroker {
            self.peer_health.borrow_mut().record_reply(broker);
        }
        let granted = reply.is_granted();
        let delivered = self
            .pending_slot_requests
            .borrow()
            .get(&request_id)
            .filter(|awaited| awaited.broker == broker)
            .is_some_and(|awaited| awaited.replies.send(reply).is_ok());
        if granted && !delivered && !self.held_slots.borrow().contains_key(&request_id) {
            self.send_release(
                broker,
                request_id,
                Observation::outcome_only(AttemptOutcome::Abandoned),
            );
        }
    }
}

/// Whether an upstream belongs to the service that handles a request.
fn is_of_service(job: &Job, upstream: &Upstream) -> bool {
    ServiceId::of(&upstream.service) == job.service
}

/// Whether an upstream has the software version that a request needs.
fn has_version(job: &Job, upstream: &Upstream) -> bool {
    job.version.is_none_or(|version| version == upstream.version_id())
}

/// The result code for a rejection.
pub(super) fn result_code(reason: RejectionReason) -> ResultCode {
    match reason {
        RejectionReason::NoUpstream => ResultCode::NoUpstream,
        RejectionReason::Full => ResultCode::Overloaded,
    }
}
