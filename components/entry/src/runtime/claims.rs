//! Takes a non-idempotent call to its claim, and notes in the claim what became of it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clock::unix_ms;
use errors::{Outcome, Refusal, ResultCode};
use identity::{ProcessId, UpstreamId};
use log::{info, warn};
use store::{Revision, StoreError, SwapResult};
use wire::{RequestKey, ServiceCall, v1};

use super::Shared;
use super::target::Target;
use crate::controllers::claims::{
    CLAIMED_EPOCH, Claim, ClaimAcquisition, ClaimRequest, ClaimState, ClaimStatus, Event, NextStep,
    STORED_RESPONSE_LIMIT_BYTES, StoredResponse, Writer, call_digest, read_claim, store_key,
    sweep_shard,
};

/// How long an agent may take to answer a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long the outcome of a call is tried to be written while the store fails.
const NOTE_PATIENCE: Duration = Duration::from_secs(600);

/// The same on a process that is to stop.
const NOTE_PATIENCE_DRAINING: Duration = Duration::from_secs(5);

/// Pause between two such tries.
const NOTE_PAUSE: Duration = Duration::from_millis(500);

/// Pause between two sweeps of a shard.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// How a non-idempotent call goes on.
pub(super) enum Acquired {
    /// Hand it over under this claim.
    Dispatch(v1::Claim),
    /// Read its answer from this upstream's agent.
    Join(UpstreamId),
    /// Nothing was claimed; try another upstream.
    PlaceAgain,
    /// Give the answer kept from before.
    Replay(StoredResponse),
    /// End with this.
    Refused(Refusal),
}

/// A non-idempotent call between its arrival and the end of its answer.
pub(super) struct OnceOnly {
    shared: Arc<Shared>,
    acquisition: ClaimAcquisition,
    store_key: String,
    head: Option<(u16, String)>,
    body: Vec<u8>,
    done: bool,
}

impl OnceOnly {
    pub(super) fn new(
        shared: Arc<Shared>,
        key: &RequestKey,
        call: &ServiceCall,
        deadline: Instant,
    ) -> OnceOnly {
        let request = ClaimRequest {
            customer: key.customer.clone(),
            idempotency_key: call.idempotency_key.clone(),
            call_sha256: call_digest(call),
            process: shared.process.clone(),
            deadline,
        };
        let acquisition = ClaimAcquisition::new(request, shared.clock.now());
        let store_key = store_key(&key.customer, &call.idempotency_key);
        OnceOnly { shared, acquisition, store_key, head: None, body: Vec::new(), done: false }
    }

    /// Brings the call to a claim for `upstream`, or to what became of an earlier claim.
    pub(super) async fn acquire(&mut self, upstream: &UpstreamId) -> Acquired {
        let Some(agent_process) = self.learn_process(upstream).await else {
            return Acquired::PlaceAgain;
        };
        let event = Event::Placed {
            upstream: upstream.clone(),
            agent_process,
            nonce: rand::random(),
            wall_ms: unix_ms(self.shared.clock.wall_time()),
        };
        self.drive(event).await
    }

    /// Ends a call that no upstream can take, or finds what became of an earlier one with its key.
    pub(super) async fn give_up(&mut self, refusal: Refusal) -> Acquired {
        self.drive(Event::NoUpstream(refusal)).await
    }

    async fn drive(&mut self, mut event: Event) -> Acquired {
        loop {
            event = match self.acquisition.on_event(event, self.shared.clock.now()) {
                NextStep::Write { claim, expected } => {
                    Event::Wrote(self.write(&claim, expected).await)
                }
                NextStep::Read => {
                    let found = read_claim(&*self.shared.store, &self.store_key).await;
                    Event::Read(found.map(|found| found.map(|(at, claim)| (at, Box::new(claim)))))
                }
                NextStep::Pause(pause) => {
                    tokio::time::sleep(pause).await;
                    Event::PauseEnded
                }
                NextStep::QueryAgent { claim, revision } => {
                    Event::StatusReceived(self.settle(&claim, revision).await)
                }
                NextStep::Dispatch { claim, revision } => {
                    return Acquired::Dispatch((&claim.to_agent_claim(revision)).into());
                }
                NextStep::Attach { claim, .. } => return Acquired::Join(claim.upstream.clone()),
                NextStep::RecordRan { claim, revision } => {
                    self.note(revision, *claim, ClaimState::Ran { answer: None });
                    let refusal = Refusal::new(ResultCode::AlreadyRan, Outcome::Ran);
                    return Acquired::Refused(refusal);
                }
                NextStep::Replay(answer) => return Acquired::Replay(answer),
                NextStep::Reject(refusal) => return Acquired::Refused(refusal),
            };
        }
    }

    /// The identity of the call at the agent, once it is claimed.
    pub(super) fn request_key(&self) -> Option<RequestKey> {
        self.acquisition.held_claim().map(|(revision, claim)| claim.request_key(revision))
    }

    /// The claim that goes with questions to the agent.
    pub(super) fn claim(&self) -> Option<v1::Claim> {
        self.acquisition
            .held_claim()
            .map(|(revision, claim)| (&claim.to_agent_claim(revision)).into())
    }

    /// Whether the process that answered is the one that the call was handed to.
    pub(super) fn is_named(&self, process: &str) -> bool {
        self.acquisition
            .held_claim()
            .is_some_and(|(_, claim)| claim.agent_process.as_str() == process)
    }

    /// Gives up the connection to an upstream's agent, so that its process is asked for again.
    pub(super) async fn forget_process(&self, upstream: &UpstreamId) {
        if let Ok(target) = Target::connect(&self.shared, upstream).await {
            self.shared.agents.replace(target.address, &target.connection);
        }
    }

    /// Notes the head of the answer.
    pub(super) fn on_head(&mut self, status: u16, content_type: &str) {
        self.head = Some((status, content_type.to_owned()));
    }

    /// Notes a piece of the answer.
    pub(super) fn on_piece(&mut self, piece: &Bytes) {
        if self.body.len() <= STORED_RESPONSE_LIMIT_BYTES {
            self.body.extend_from_slice(piece);
        }
    }

    /// Notes in the claim that the answer arrived whole.
    pub(super) fn on_whole(&mut self) {
        let (status, content_type) = self.head.take().unwrap_or_default();
        self.end(Some(ClaimState::from_response(status, &content_type, &self.body)));
    }

    /// Notes in the claim how the call ended without its whole answer.
    pub(super) fn on_refused(&mut self, outcome: Outcome) {
        self.end(ClaimState::from_outcome(outcome));
    }

    fn end(&mut self, state: Option<ClaimState>) {
        if std::mem::replace(&mut self.done, true) {
            return;
        }
        if let (Some((revision, claim)), Some(state)) = (self.acquisition.held_claim(), state) {
            self.note(revision, claim.clone(), state);
        }
        if let Some(claim) = self.acquisition.abandoned_claim() {
            let release = release(self.shared.clone(), claim.clone());
            self.in_background(release);
        }
    }

    fn note(&self, revision: Revision, claim: Claim, state: ClaimState) {
        let moved = claim.with_state(state, new_writer(&self.shared.process));
        self.in_background(note(self.shared.clone(), revision, moved));
    }

    fn in_background(&self, work: impl Future<Output = ()> + Send + 'static) {
        let shared = self.shared.clone();
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            work.await;
            shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        });
    }

    async fn write(
        &self,
        claim: &Claim,
        expected: Option<Revision>,
    ) -> Result<SwapResult, StoreError> {
        let text = claim.to_text()?;
        self.shared.store.swap(&self.store_key, expected, &text, None).await
    }

    async fn learn_process(&self, upstream: &UpstreamId) -> Option<ProcessId> {
        let target = Target::connect(&self.shared, upstream).await.ok()?;
        Some(target.process)
    }

    /// Asks the agent named in a claim; where it never saw the call, it refuses it from now on.
    async fn settle(&self, claim: &Claim, revision: Revision) -> ClaimStatus {
        let Ok(mut target) = Target::connect(&self.shared, &claim.upstream).await else {
            return ClaimStatus::Unreachable;
        };
        // The connection may have fallen silent, which is why one asks.
        if target.reconnect(&self.shared).await.is_err() {
            return ClaimStatus::Unreachable;
        }
        let request = v1::SettleRequest {
            key: Some((&claim.request_key(revision)).into()),
            dispatch_epoch: CLAIMED_EPOCH.0,
            process: claim.agent_process.to_string(),
            claim: Some((&claim.to_agent_claim(revision)).into()),
        };
        let answer =
            tokio::time::timeout(ASK_TIMEOUT, target.connection.client.settle(request)).await;
        let Ok(Ok(reply)) = answer else { return ClaimStatus::Unreachable };
        let reply = reply.into_inner();
        let process = ProcessId::new(reply.process.clone());
        match reply.state() {
            v1::RequestState::Withdrawn | v1::RequestState::NotRun => ClaimStatus::NotRun(process),
            v1::RequestState::Queued | v1::RequestState::Running | v1::RequestState::Finished => {
                ClaimStatus::Held(process)
            }
            v1::RequestState::Ran => ClaimStatus::Ran(process),
            v1::RequestState::OtherProcess
            | v1::RequestState::Unknown
            | v1::RequestState::Unspecified => ClaimStatus::Unknown(process),
        }
    }
}

/// A writer id that no other write has.
pub(super) fn new_writer(process: &ProcessId) -> Writer {
    Writer { process: process.clone(), nonce: rand::random() }
}

/// Writes the outcome of a claim, again and again while the store fails.
async fn note(shared: Arc<Shared>, revision: Revision, claim: Claim) {
    let Ok(text) = claim.to_text() else { return };
    let key = claim.store_key();
    let began_at = shared.clock.now();
    loop {
        match shared.store.swap(&key, Some(revision), &text, None).await {
            // Where the reply was lost, the next try conflicts with the first.
            Ok(SwapResult::Written(_) | SwapResult::Conflict(_)) => return,
            Err(error) if is_overdue(&shared, began_at) => {
                warn!("claim customer={} not noted: {error}", claim.customer);
                return;
            }
            Err(_) => tokio::time::sleep(NOTE_PAUSE).await,
        }
    }
}

/// Frees a key whose claim may stand in the store although its request has been refused.
async fn release(shared: Arc<Shared>, claim: Claim) {
    let key = claim.store_key();
    let began_at = shared.clock.now();
    loop {
        match read_claim(&*shared.store, &key).await {
            Ok(Some((revision, found))) => {
                if found.writer == claim.writer && found.state == ClaimState::Claimed {
                    info!("claim customer={} released", claim.customer);
                    let freed = found.with_state(ClaimState::NotRun, new_writer(&shared.process));
                    note(shared, revision, freed).await;
                }
                return;
            }
            // The write may still be on its way.
            Ok(None) | Err(_) => {
                if is_overdue(&shared, began_at) {
                    return;
                }
                tokio::time::sleep(NOTE_PAUSE).await;
            }
        }
    }
}

/// Sweeps a shard drawn anew each time, so that several entries together see them all.
pub(super) async fn sweep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let shard = rand::random();
        match sweep_shard(&*shared.store, shard, shared.clock.wall_time()).await {
            Ok(0) => {}
            Ok(removed) => info!("claims shard={shard} removed={removed}"),
            Err(error) => warn!("claims shard={shard} not swept: {error}"),
        }
    }
}

fn is_overdue(shared: &Shared, began_at: Instant) -> bool {
    let draining = shared.draining.load(Ordering::SeqCst);
    let patience = if draining { NOTE_PATIENCE_DRAINING } else { NOTE_PATIENCE };
    shared.clock.now().saturating_duration_since(began_at) >= patience
}
