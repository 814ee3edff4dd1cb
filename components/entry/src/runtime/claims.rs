//! Acquires the claim for a non-idempotent call and records the outcome of the call in it.

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

/// Longest time for an agent to reply to a status query.
const STATUS_QUERY_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time for which writing the outcome of a call, or releasing its claim, is retried while the store
/// fails.
const OUTCOME_WRITE_TIMEOUT: Duration = Duration::from_secs(600);

/// The same time limit while this process drains. It is shorter, since the process waits for these
/// writes before it stops.
const OUTCOME_WRITE_TIMEOUT_DRAINING: Duration = Duration::from_secs(5);

/// Pause between two attempts to write the outcome of a call.
const OUTCOME_WRITE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Interval between two sweeps, each of one shard.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Result of acquiring the claim for a non-idempotent call.
pub(super) enum AcquireOutcome {
    /// Dispatch the call under this claim.
    Dispatch(v1::Claim),
    /// Attach to the call at the agent of this upstream and read its response.
    Attach(UpstreamId),
    /// Nothing was claimed, since the agent could not be reached; try another upstream.
    PlaceAgain,
    /// Return the stored response of an earlier run.
    Replay(StoredResponse),
    /// End the request with this refusal.
    Refused(Refusal),
}

/// A non-idempotent call and the state of its claim, from arrival until its outcome is recorded.
pub(super) struct NonIdempotentCall {
    shared: Arc<Shared>,
    acquisition: ClaimAcquisition,
    store_key: String,
    head: Option<(u16, String)>,
    body: Vec<u8>,
    outcome_recorded: bool,
}

impl NonIdempotentCall {
    pub(super) fn new(
        shared: Arc<Shared>,
        key: &RequestKey,
        call: &ServiceCall,
        deadline: Instant,
    ) -> NonIdempotentCall {
        let request = ClaimRequest {
            customer: key.customer.clone(),
            idempotency_key: call.idempotency_key.clone(),
            call_sha256: call_digest(call),
            process: shared.process.clone(),
            deadline,
        };
        let acquisition = ClaimAcquisition::new(request, shared.clock.now());
        let store_key = store_key(&key.customer, &call.idempotency_key);
        NonIdempotentCall {
            shared,
            acquisition,
            store_key,
            head: None,
            body: Vec::new(),
            outcome_recorded: false,
        }
    }

    /// Acquires a claim for `upstream`, or finds the outcome of an earlier claim on the key.
    pub(super) async fn acquire(&mut self, upstream: &UpstreamId) -> AcquireOutcome {
        let Some(agent_process) = self.find_agent_process(upstream).await else {
            return AcquireOutcome::PlaceAgain;
        };
        let event = Event::Placed {
            upstream: upstream.clone(),
            agent_process,
            nonce: rand::random(),
            wall_ms: unix_ms(self.shared.clock.wall_time()),
        };
        self.run_acquisition(event).await
    }

    /// Ends a call that no upstream can take, or finds the outcome of an earlier claim on its key.
    pub(super) async fn resolve_without_upstream(&mut self, refusal: Refusal) -> AcquireOutcome {
        self.run_acquisition(Event::NoUpstream(refusal)).await
    }

    async fn run_acquisition(&mut self, mut event: Event) -> AcquireOutcome {
        loop {
            event =
                match self.acquisition.on_event(event, self.shared.clock.now()) {
                    NextStep::Write { claim, expected } => {
                        Event::Wrote(self.write_claim(&claim, expected).await)
                    }
                    NextStep::Read => {
                        let found = read_claim(&*self.shared.store, &self.store_key).await;
                        Event::Read(found.map(|found| {
                            found.map(|(revision, claim)| (revision, Box::new(claim)))
                        }))
                    }
                    NextStep::Pause(pause) => {
                        tokio::time::sleep(pause).await;
                        Event::PauseEnded
                    }
                    NextStep::QueryAgent { claim, revision } => {
                        Event::StatusReceived(self.query_agent(&claim, revision).await)
                    }
                    NextStep::Dispatch { claim, revision } => {
                        return AcquireOutcome::Dispatch((&claim.to_agent_claim(revision)).into());
                    }
                    NextStep::Attach { claim, .. } => {
                        return AcquireOutcome::Attach(claim.upstream.clone());
                    }
                    NextStep::RecordRan { claim, revision } => {
                        self.record_state(revision, *claim, ClaimState::Ran { answer: None });
                        let refusal = Refusal::new(ResultCode::AlreadyRan, Outcome::Ran);
                        return AcquireOutcome::Refused(refusal);
                    }
                    NextStep::Replay(response) => return AcquireOutcome::Replay(response),
                    NextStep::Reject(refusal) => return AcquireOutcome::Refused(refusal),
                };
        }
    }

    /// Key by which the agent identifies the call; `None` until it is claimed.
    pub(super) fn request_key(&self) -> Option<RequestKey> {
        self.acquisition.held_claim().map(|(revision, claim)| claim.request_key(revision))
    }

    /// The claim in the form that is sent to the agent with a dispatch or a status query.
    pub(super) fn claim(&self) -> Option<v1::Claim> {
        self.acquisition
            .held_claim()
            .map(|(revision, claim)| (&claim.to_agent_claim(revision)).into())
    }

    /// Whether the claim names this agent process.
    pub(super) fn is_claimed_process(&self, process: &str) -> bool {
        self.acquisition
            .held_claim()
            .is_some_and(|(_, claim)| claim.agent_process.as_str() == process)
    }

    /// Drops the connection to an upstream's agent, so that its process id is queried again.
    pub(super) async fn drop_agent_connection(&self, upstream: &UpstreamId) {
        if let Ok(target) = Target::connect(&self.shared, upstream).await {
            self.shared.agents.replace(target.address, &target.connection);
        }
    }

    /// Keeps the head of the response for the claim.
    pub(super) fn on_head(&mut self, status: u16, content_type: &str) {
        self.head = Some((status, content_type.to_owned()));
    }

    /// Keeps a chunk of the response for the claim, unless the body is already too large to store.
    pub(super) fn on_data(&mut self, data: &Bytes) {
        if self.body.len() <= STORED_RESPONSE_LIMIT_BYTES {
            self.body.extend_from_slice(data);
        }
    }

    /// Records in the claim that the response is complete.
    pub(super) fn on_complete(&mut self) {
        let (status, content_type) = self.head.take().unwrap_or_default();
        self.record_outcome(Some(ClaimState::from_response(status, &content_type, &self.body)));
    }

    /// Records in the claim the outcome of a call that ended without a complete response.
    pub(super) fn on_refused(&mut self, outcome: Outcome) {
        self.record_outcome(ClaimState::from_outcome(outcome));
    }

    fn record_outcome(&mut self, state: Option<ClaimState>) {
        if std::mem::replace(&mut self.outcome_recorded, true) {
            return;
        }
        if let (Some((revision, claim)), Some(state)) = (self.acquisition.held_claim(), state) {
            self.record_state(revision, claim.clone(), state);
        }
        if let Some(claim) = self.acquisition.abandoned_claim() {
            let release_task = release_claim(self.shared.clone(), claim.clone());
            self.spawn_background(release_task);
        }
    }

    fn record_state(&self, revision: Revision, claim: Claim, state: ClaimState) {
        let updated = claim.with_state(state, new_writer(&self.shared.process));
        self.spawn_background(write_outcome(self.shared.clone(), revision, updated));
    }

    fn spawn_background(&self, task: impl Future<Output = ()> + Send + 'static) {
        let shared = self.shared.clone();
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            task.await;
            shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        });
    }

    async fn write_claim(
        &self,
        claim: &Claim,
        expected: Option<Revision>,
    ) -> Result<SwapResult, StoreError> {
        let text = claim.to_text()?;
        self.shared.store.swap(&self.store_key, expected, &text, None).await
    }

    async fn find_agent_process(&self, upstream: &UpstreamId) -> Option<ProcessId> {
        let target = Target::connect(&self.shared, upstream).await.ok()?;
        Some(target.process)
    }

    /// Queries the agent named in a claim for the status of the call. An agent that has not
    /// received the call will refuse its dispatch from then on.
    async fn query_agent(&self, claim: &Claim, revision: Revision) -> ClaimStatus {
        let Ok(mut target) = Target::connect(&self.shared, &claim.upstream).await else {
            return ClaimStatus::Unreachable;
        };
        // The existing connection may have failed without notice, which may be why the claim is
        // still open.
        if target.reconnect(&self.shared).await.is_err() {
            return ClaimStatus::Unreachable;
        }
        let request = v1::SettleRequest {
            key: Some((&claim.request_key(revision)).into()),
            dispatch_epoch: CLAIMED_EPOCH.0,
            process: claim.agent_process.to_string(),
            claim: Some((&claim.to_agent_claim(revision)).into()),
        };
        let reply =
            tokio::time::timeout(STATUS_QUERY_TIMEOUT, target.connection.client.settle(request))
                .await;
        let Ok(Ok(reply)) = reply else { return ClaimStatus::Unreachable };
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

/// Generates a writer id that no other write has.
pub(super) fn new_writer(process: &ProcessId) -> Writer {
    Writer { process: process.clone(), nonce: rand::random() }
}

/// Writes the outcome to a claim, and retries while the store fails.
async fn write_outcome(shared: Arc<Shared>, revision: Revision, claim: Claim) {
    let Ok(text) = claim.to_text() else { return };
    let key = claim.store_key();
    let started_at = shared.clock.now();
    loop {
        match shared.store.swap(&key, Some(revision), &text, None).await {
            // If the first write took effect and its reply was lost, the retry conflicts with it.
            Ok(SwapResult::Written(_) | SwapResult::Conflict(_)) => return,
            Err(error) if has_timed_out(&shared, started_at) => {
                warn!("claim customer={} outcome not written: {error}", claim.customer);
                return;
            }
            Err(_) => tokio::time::sleep(OUTCOME_WRITE_RETRY_PAUSE).await,
        }
    }
}

/// Releases a claim that may have been written to the store although its request was refused.
async fn release_claim(shared: Arc<Shared>, claim: Claim) {
    let key = claim.store_key();
    let started_at = shared.clock.now();
    loop {
        match read_claim(&*shared.store, &key).await {
            Ok(Some((revision, found))) => {
                if found.writer == claim.writer && found.state == ClaimState::Claimed {
                    info!("claim customer={} released", claim.customer);
                    let released =
                        found.with_state(ClaimState::NotRun, new_writer(&shared.process));
                    write_outcome(shared, revision, released).await;
                }
                return;
            }
            // The write of the claim may still be in flight.
            Ok(None) | Err(_) => {
                if has_timed_out(&shared, started_at) {
                    return;
                }
                tokio::time::sleep(OUTCOME_WRITE_RETRY_PAUSE).await;
            }
        }
    }
}

/// Removes expired claims from a randomly chosen shard at each interval. Several entry processes
/// together cover all shards without coordination.
pub(super) async fn sweep_claims(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let shard = rand::random();
        match sweep_shard(&*shared.store, shard, shared.clock.wall_time()).await {
            Ok(0) => {}
            Ok(removed) => info!("claims shard={shard} removed={removed}"),
            Err(error) => warn!("claims shard={shard} sweep failed: {error}"),
        }
    }
}

fn has_timed_out(shared: &Shared, started_at: Instant) -> bool {
    let draining = shared.draining.load(Ordering::SeqCst);
    let timeout = if draining { OUTCOME_WRITE_TIMEOUT_DRAINING } else { OUTCOME_WRITE_TIMEOUT };
    shared.clock.now().saturating_duration_since(started_at) >= timeout
}
