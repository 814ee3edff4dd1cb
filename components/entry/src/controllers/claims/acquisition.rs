//! State machine that acquires the claim for one request with a non-idempotent call. Its input is
//! events and the current time, its output is the next step for the runtime to carry out.

use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use identity::{DispatchEpoch, ProcessId, UpstreamId};
use store::{Revision, StoreError, SwapResult};

use super::{Claim, ClaimRequest, ClaimState, ClaimStatus, Event, NextStep, Writer};

/// Longest time to acquire a claim, or to find out the outcome of another request's claim.
const ACQUISITION_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after another request's claim is first seen before its agent is queried: its dispatch may
/// still be on the way to the agent. Also the pause between two queries of an unreachable agent.
const CLAIM_QUERY_DELAY: Duration = Duration::from_millis(250);

/// Pause before the store is read again after a failed read.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Most write conflicts after which a request still replaces a claim; after more, it is refused.
const WRITE_CONFLICT_LIMIT: u32 = 8;

/// Retry time given to the caller after a failure of the store.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry time given to the caller of a call that is running or waits to be settled by an operator.
const OPEN_CLAIM_RETRY_AFTER: Duration = Duration::from_secs(5);

/// State machine that acquires the claim for one request.
#[derive(Debug)]
pub struct ClaimAcquisition {
    request: ClaimRequest,
    times_out_at: Instant,
    /// Contents of the next claim to write.
    draft: Option<ClaimDraft>,
    /// Refusal to end the request with if no earlier claim determines its result; set if no
    /// upstream can take the call.
    no_upstream_refusal: Option<Refusal>,
    /// A claim whose call is known not to run, so that the next write may replace it.
    replaceable_claim: Option<(Revision, Claim)>,
    /// The last written claim, while it is not known whether the write took effect.
    unconfirmed_claim: Option<Claim>,
    /// Revision of another request's claim, and when it was first seen.
    other_claim_first_seen: Option<(Revision, Instant)>,
    /// The claim whose agent is being queried.
    queried_claim: Option<(Revision, Claim)>,
    /// The claim that this request acts under, with its revision in the store.
    held: Option<(Revision, Claim)>,
    /// A claim of another request has been found on the key.
    found_other_claim: bool,
    /// Writes rejected because the key was not at the expected revision.
    conflicts: u32,
}

/// Contents of a claim to be written: the placement of the call and the identity of the write.
#[derive(Debug)]
struct ClaimDraft {
    upstream: UpstreamId,
    agent_process: ProcessId,
    writer: Writer,
    wall_ms: u64,
}

impl ClaimAcquisition {
    /// Starts the acquisition for a request that holds no claim.
    pub fn new(request: ClaimRequest, now: Instant) -> ClaimAcquisition {
        ClaimAcquisition {
            times_out_at: request.deadline.min(now + ACQUISITION_TIMEOUT),
            request,
            draft: None,
            no_upstream_refusal: None,
            replaceable_claim: None,
            unconfirmed_claim: None,
            other_claim_first_seen: None,
            queried_claim: None,
            held: None,
            found_other_claim: false,
            conflicts: 0,
        }
    }

    /// The claim that this request acts under, with its revision in the store.
    pub fn held_claim(&self) -> Option<(Revision, &Claim)> {
        self.held.as_ref().map(|(revision, claim)| (*revision, claim))
    }

    /// A claim that may have been written to the store although this request never acted under it.
    pub fn abandoned_claim(&self) -> Option<&Claim> {
        self.unconfirmed_claim.as_ref()
    }

    /// Handles an event and returns the next step.
    pub fn on_event(&mut self, event: Event, now: Instant) -> NextStep {
        match event {
            Event::Placed { upstream, agent_process, nonce, wall_ms } => {
                let writer = Writer { process: self.request.process.clone(), nonce };
                self.draft = Some(ClaimDraft { upstream, agent_process, writer, wall_ms });
                self.times_out_at = self.request.deadline.min(now + ACQUISITION_TIMEOUT);
                self.no_upstream_refusal = None;
                // The request is placed again only once the call is known not to run under the
                // claim held so far.
                self.replaceable_claim = self.held.take().or(self.replaceable_claim.take());
                self.write_claim()
            }
            Event::NoUpstream(refusal) => {
                self.no_upstream_refusal = Some(refusal);
                self.replaceable_claim = self.held.clone().or(self.replaceable_claim.take());
                NextStep::Read
            }
            Event::Wrote(result) => self.on_write_result(result, now),
            Event::Read(Ok(found)) => self.on_claim_read(found, now),
            Event::Read(Err(error)) => self.on_read_failed(&error, now),
            Event::PauseEnded => NextStep::Read,
            Event::StatusReceived(status) => self.on_status(status, now),
        }
    }

    fn write_claim(&mut self) -> NextStep {
        if let Some(refusal) = self.no_upstream_refusal.take() {
            return NextStep::Reject(refusal);
        }
        let Some(draft) = &self.draft else { return NextStep::Reject(internal_refusal()) };
        let epoch = self.replaceable_claim.as_ref().map_or(0, |(_, claim)| claim.epoch.0) + 1;
        let claim = Claim {
            customer: self.request.customer.clone(),
            idempotency_key: self.request.idempotency_key.clone(),
            call_sha256: self.request.call_sha256.clone(),
            epoch: DispatchEpoch(epoch),
            writer: draft.writer.clone(),
            upstream: draft.upstream.clone(),
            agent_process: draft.agent_process.clone(),
            claimed_at_ms: draft.wall_ms,
            state: ClaimState::Claimed,
            settled_by: None,
        };
        self.unconfirmed_claim = Some(claim.clone());
        let expected = self.replaceable_claim.as_ref().map(|(revision, _)| *revision);
        NextStep::Write { claim: Box::new(claim), expected }
    }

    fn on_write_result(
        &mut self,
        result: Result<SwapResult, StoreError>,
        now: Instant,
    ) -> NextStep {
        match result {
            Ok(SwapResult::Written(revision)) => match self.unconfirmed_claim.take() {
                Some(claim) => self.dispatch_under_claim(revision, claim, now),
                None => NextStep::Reject(internal_refusal()),
            },
            // The conflicting claim may be an earlier write of this request whose reply was lost.
            Ok(SwapResult::Conflict(_)) => {
                self.conflicts += 1;
                NextStep::Read
            }
            Err(StoreError::Unknown(_)) => self.read_unless_timed_out(now),
            Err(error) => {
                self.unconfirmed_claim = None;
                NextStep::Reject(self.store_refusal(&error))
            }
        }
    }

    /// Dispatches under a claim that was written. After the deadline the request is refused
    /// instead.
    fn dispatch_under_claim(&mut self, revision: Revision, claim: Claim, now: Instant) -> NextStep {
        self.held = Some((revision, claim.clone()));
        if now >= self.request.deadline {
            return NextStep::Reject(Refusal::not_run(ResultCode::DeadlinePassed));
        }
        NextStep::Dispatch { claim: Box::new(claim), revision }
    }

    fn on_read_failed(&mut self, error: &StoreError, now: Instant) -> NextStep {
        if now + READ_RETRY_PAUSE >= self.times_out_at {
            return NextStep::Reject(self.store_refusal(error));
        }
        NextStep::Pause(READ_RETRY_PAUSE)
    }

    fn read_unless_timed_out(&self, now: Instant) -> NextStep {
        if now >= self.times_out_at {
            let error = StoreError::Unknown("no reply in time".to_owned());
            return NextStep::Reject(self.store_refusal(&error));
        }
        NextStep::Read
    }

    fn on_claim_read(&mut self, found: Option<(Revision, Box<Claim>)>, now: Instant) -> NextStep {
        let Some((revision, claim)) = found else {
            // An earlier write of this request may still be in flight. It claims the same, and the
            // expected revision lets only one of the two take effect.
            self.replaceable_claim = None;
            return if now >= self.times_out_at {
                self.read_unless_timed_out(now)
            } else {
                self.write_claim()
            };
        };
        let claim = *claim;
        let is_own = self
            .unconfirmed_claim
            .as_ref()
            .is_some_and(|unconfirmed| unconfirmed.writer == claim.writer);
        if is_own && claim.state == ClaimState::Claimed {
            self.unconfirmed_claim = None;
            return self.dispatch_under_claim(revision, claim, now);
        }
        if claim.call_sha256 != self.request.call_sha256 {
            return NextStep::Reject(Refusal::not_run(ResultCode::IdempotencyKeyReused));
        }
        match &claim.state {
            ClaimState::Ran { answer: Some(answer) } => NextStep::Replay(answer.clone()),
            ClaimState::Ran { answer: None } => NextStep::Reject(already_ran_refusal()),
            ClaimState::NotRun => self.replace_claim(revision, claim),
            ClaimState::Claimed => self.on_other_claim(revision, claim, now),
        }
    }

    fn replace_claim(&mut self, revision: Revision, claim: Claim) -> NextStep {
        if self.conflicts > WRITE_CONFLICT_LIMIT {
            return NextStep::Reject(already_running_refusal());
        }
        self.replaceable_claim = Some((revision, claim));
        self.write_claim()
    }

    fn on_other_claim(&mut self, revision: Revision, claim: Claim, now: Instant) -> NextStep {
        let is_replaceable =
            self.replaceable_claim.as_ref().is_some_and(|(known, _)| *known == revision);
        if is_replaceable {
            return self.replace_claim(revision, claim);
        }
        self.found_other_claim = true;
        match self.other_claim_first_seen {
            Some((seen, since)) if seen == revision => {
                if now < since + CLAIM_QUERY_DELAY {
                    return NextStep::Pause(since + CLAIM_QUERY_DELAY - now);
                }
            }
            _ => {
                self.other_claim_first_seen = Some((revision, now));
                return NextStep::Pause(CLAIM_QUERY_DELAY);
            }
        }
        if now >= self.times_out_at {
            return NextStep::Reject(already_running_refusal());
        }
        self.queried_claim = Some((revision, claim.clone()));
        NextStep::QueryAgent { claim: Box::new(claim), revision }
    }

    fn on_status(&mut self, status: ClaimStatus, now: Instant) -> NextStep {
        let Some((revision, claim)) = self.queried_claim.take() else {
            return NextStep::Reject(internal_refusal());
        };
        let boxed = || Box::new(claim.clone());
        match status {
            ClaimStatus::Held(process) if process == claim.agent_process => {
                self.held = Some((revision, claim.clone()));
                NextStep::Attach { claim: boxed(), revision }
            }
            // Read again before refusing: another request may have replaced the claim since.
            ClaimStatus::NotRun(process)
                if process == claim.agent_process && self.no_upstream_refusal.is_some() =>
            {
                self.replaceable_claim = Some((revision, claim));
                NextStep::Read
            }
            ClaimStatus::NotRun(process) if process == claim.agent_process => {
                self.replace_claim(revision, claim)
            }
            ClaimStatus::Ran(process) if process == claim.agent_process => {
                NextStep::RecordRan { claim: boxed(), revision }
            }
            ClaimStatus::Unreachable if now + CLAIM_QUERY_DELAY < self.times_out_at => {
                NextStep::Pause(CLAIM_QUERY_DELAY)
            }
            ClaimStatus::Unreachable => {
                NextStep::Reject(unsettled_refusal("does not respond", &claim))
            }
            ClaimStatus::Unknown(process) if process == claim.agent_process => {
                NextStep::Reject(unsettled_refusal("cannot tell whether it ran", &claim))
            }
            // The agent was replaced by another process, which has no record of the call.
            _ => {
                NextStep::Reject(unsettled_refusal("has been replaced by another process", &claim))
            }
        }
    }

    /// Refusal after a failure of the store, before this request dispatched its call.
    fn store_refusal(&self, error: &StoreError) -> Refusal {
        let outcome = if self.found_other_claim || self.conflicts > 0 {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let wait = match error {
            StoreError::Throttled(wait) => *wait,
            StoreError::Unavailable(_) | StoreError::Unknown(_) => STORE_RETRY_AFTER,
        };
        let message = format!("{error}; retry with the same Idempotency-Key");
        Refusal::new(ResultCode::StoreUnavailable, outcome)
            .with_message(message)
            .with_retry_after(wait)
    }
}

fn internal_refusal() -> Refusal {
    Refusal::not_run(ResultCode::Internal)
}

fn already_ran_refusal() -> Refusal {
    Refusal::new(ResultCode::AlreadyRan, Outcome::Ran)
}

fn already_running_refusal() -> Refusal {
    Refusal::new(ResultCode::AlreadyRunning, Outcome::Unknown)
        .with_retry_after(OPEN_CLAIM_RETRY_AFTER)
}

fn unsettled_refusal(reason: &str, claim: &Claim) -> Refusal {
    let message = format!(
        "The agent of upstream {} that this call was dispatched to {reason}; an operator can settle \
         the claim.",
        claim.upstream
    );
    Refusal::new(ResultCode::UpstreamLost, Outcome::Unknown)
        .with_message(message)
        .with_retry_after(OPEN_CLAIM_RETRY_AFTER)
}
