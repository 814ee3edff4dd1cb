//! One request for a non-idempotent call on its way to a claim: what happened and the time come in,
//! what to do next comes out.

use std::time::{Duration, Instant};

use errors::{Outcome, Refusal, ResultCode};
use identity::{DispatchEpoch, ProcessId, UpstreamId};
use store::{Revision, StoreError, SwapResult};

use super::{Claim, ClaimRequest, ClaimState, ClaimStatus, Event, NextStep, Writer};

/// How long a claim may take to be made or settled.
const PATIENCE: Duration = Duration::from_secs(8);

/// How long another's claim may stand before its agent is asked; its dispatch may be on its way.
const CLAIM_GRACE: Duration = Duration::from_millis(250);

/// Pause before the store is read again after it failed.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// How often one request may find that another took the claim before it.
const CONFLICT_LIMIT: u32 = 8;

/// When to come back after the store failed.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// When to come back to a call that runs or waits for its operator.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// State machine that acquires the claim for one request.
#[derive(Debug)]
pub struct ClaimAcquisition {
    request: ClaimRequest,
    gives_up_at: Instant,
    /// What the next write is to say.
    wanted: Option<Wanted>,
    /// The end of a call that no upstream can take.
    refused: Option<Refusal>,
    /// The claim that is known not to run, to be replaced.
    replaced: Option<(Revision, Claim)>,
    /// The last write whose reply has not been seen.
    unread: Option<Claim>,
    /// Another's claim and since when it has been seen there.
    awaited: Option<(Revision, Instant)>,
    /// The claim whose agent is being asked.
    asked: Option<(Revision, Claim)>,
    /// The claim that this request acts under.
    held: Option<(Revision, Claim)>,
    /// The key was found claimed by another request.
    seen_another: bool,
    conflicts: u32,
}

#[derive(Debug)]
struct Wanted {
    upstream: UpstreamId,
    agent_process: ProcessId,
    writer: Writer,
    wall_ms: u64,
}

impl ClaimAcquisition {
    /// A request that has claimed nothing.
    pub fn new(request: ClaimRequest, now: Instant) -> ClaimAcquisition {
        ClaimAcquisition {
            gives_up_at: request.deadline.min(now + PATIENCE),
            request,
            wanted: None,
            refused: None,
            replaced: None,
            unread: None,
            awaited: None,
            asked: None,
            held: None,
            seen_another: false,
            conflicts: 0,
        }
    }

    /// The claim that this request acts under.
    pub fn held_claim(&self) -> Option<(Revision, &Claim)> {
        self.held.as_ref().map(|(revision, claim)| (*revision, claim))
    }

    /// A write that may stand in the store and that this request never acted under.
    pub fn abandoned_claim(&self) -> Option<&Claim> {
        self.unread.as_ref()
    }

    /// Takes what happened and says what to do.
    pub fn on_event(&mut self, event: Event, now: Instant) -> NextStep {
        match event {
            Event::Placed { upstream, agent_process, nonce, wall_ms } => {
                let writer = Writer { process: self.request.process.clone(), nonce };
                self.wanted = Some(Wanted { upstream, agent_process, writer, wall_ms });
                self.gives_up_at = self.request.deadline.min(now + PATIENCE);
                self.refused = None;
                // Whoever places again knows that the claim held so far does not run.
                self.replaced = self.held.take().or(self.replaced.take());
                self.write()
            }
            Event::NoUpstream(refusal) => {
                self.refused = Some(refusal);
                self.replaced = self.held.clone().or(self.replaced.take());
                NextStep::Read
            }
            Event::Wrote(result) => self.on_wrote(result, now),
            Event::Read(Ok(found)) => self.on_found(found, now),
            Event::Read(Err(error)) => self.on_unread(&error, now),
            Event::PauseEnded => NextStep::Read,
            Event::StatusReceived(status) => self.on_status(status, now),
        }
    }

    fn write(&mut self) -> NextStep {
        if let Some(refusal) = self.refused.take() {
            return NextStep::Reject(refusal);
        }
        let Some(wanted) = &self.wanted else { return NextStep::Reject(internal()) };
        let epoch = self.replaced.as_ref().map_or(0, |(_, claim)| claim.epoch.0) + 1;
        let claim = Claim {
            customer: self.request.customer.clone(),
            idempotency_key: self.request.idempotency_key.clone(),
            call_sha256: self.request.call_sha256.clone(),
            epoch: DispatchEpoch(epoch),
            writer: wanted.writer.clone(),
            upstream: wanted.upstream.clone(),
            agent_process: wanted.agent_process.clone(),
            claimed_at_ms: wanted.wall_ms,
            state: ClaimState::Claimed,
            settled_by: None,
        };
        self.unread = Some(claim.clone());
        let expected = self.replaced.as_ref().map(|(revision, _)| *revision);
        NextStep::Write { claim: Box::new(claim), expected }
    }

    fn on_wrote(&mut self, result: Result<SwapResult, StoreError>, now: Instant) -> NextStep {
        match result {
            Ok(SwapResult::Written(revision)) => match self.unread.take() {
                Some(claim) => self.dispatch(revision, claim, now),
                None => NextStep::Reject(internal()),
            },
            // A conflict may be with an earlier write of this request whose reply was lost.
            Ok(SwapResult::Conflict(_)) => {
                self.conflicts += 1;
                NextStep::Read
            }
            Err(StoreError::Unknown(_)) => self.read_unless_late(now),
            Err(error) => {
                self.unread = None;
                NextStep::Reject(self.store_failed(&error))
            }
        }
    }

    /// Another request may have run the call in the meantime where the claim is late.
    fn dispatch(&mut self, revision: Revision, claim: Claim, now: Instant) -> NextStep {
        self.held = Some((revision, claim.clone()));
        if now >= self.request.deadline {
            return NextStep::Reject(Refusal::not_run(ResultCode::DeadlinePassed));
        }
        NextStep::Dispatch { claim: Box::new(claim), revision }
    }

    fn on_unread(&mut self, error: &StoreError, now: Instant) -> NextStep {
        if now + READ_PAUSE >= self.gives_up_at {
            return NextStep::Reject(self.store_failed(error));
        }
        NextStep::Pause(READ_PAUSE)
    }

    fn read_unless_late(&self, now: Instant) -> NextStep {
        if now >= self.gives_up_at {
            let error = StoreError::Unknown("no answer in time".to_owned());
            return NextStep::Reject(self.store_failed(&error));
        }
        NextStep::Read
    }

    fn on_found(&mut self, found: Option<(Revision, Box<Claim>)>, now: Instant) -> NextStep {
        let Some((revision, claim)) = found else {
            // A write still on its way says the same as this one; only one of them can take effect.
            self.replaced = None;
            return if now >= self.gives_up_at { self.read_unless_late(now) } else { self.write() };
        };
        let claim = *claim;
        let own = self.unread.as_ref().is_some_and(|unread| unread.writer == claim.writer);
        if own && claim.state == ClaimState::Claimed {
            self.unread = None;
            return self.dispatch(revision, claim, now);
        }
        if claim.call_sha256 != self.request.call_sha256 {
            return NextStep::Reject(Refusal::not_run(ResultCode::IdempotencyKeyReused));
        }
        match &claim.state {
            ClaimState::Ran { answer: Some(answer) } => NextStep::Replay(answer.clone()),
            ClaimState::Ran { answer: None } => NextStep::Reject(already_ran()),
            ClaimState::NotRun => self.replace(revision, claim),
            ClaimState::Claimed => self.on_another(revision, claim, now),
        }
    }

    fn replace(&mut self, revision: Revision, claim: Claim) -> NextStep {
        if self.conflicts > CONFLICT_LIMIT {
            return NextStep::Reject(already_running());
        }
        self.replaced = Some((revision, claim));
        self.write()
    }

    fn on_another(&mut self, revision: Revision, claim: Claim, now: Instant) -> NextStep {
        let replaceable = self.replaced.as_ref().is_some_and(|(known, _)| *known == revision);
        if replaceable {
            return self.replace(revision, claim);
        }
        self.seen_another = true;
        match self.awaited {
            Some((awaited, since)) if awaited == revision => {
                if now < since + CLAIM_GRACE {
                    return NextStep::Pause(since + CLAIM_GRACE - now);
                }
            }
            _ => {
                self.awaited = Some((revision, now));
                return NextStep::Pause(CLAIM_GRACE);
            }
        }
        if now >= self.gives_up_at {
            return NextStep::Reject(already_running());
        }
        self.asked = Some((revision, claim.clone()));
        NextStep::QueryAgent { claim: Box::new(claim), revision }
    }

    fn on_status(&mut self, status: ClaimStatus, now: Instant) -> NextStep {
        let Some((revision, claim)) = self.asked.take() else {
            return NextStep::Reject(internal());
        };
        let boxed = || Box::new(claim.clone());
        match status {
            ClaimStatus::Held(process) if process == claim.agent_process => {
                self.held = Some((revision, claim.clone()));
                NextStep::Attach { claim: boxed(), revision }
            }
            // Another request may have taken the claim over since.
            ClaimStatus::NotRun(process)
                if process == claim.agent_process && self.refused.is_some() =>
            {
                self.replaced = Some((revision, claim));
                NextStep::Read
            }
            ClaimStatus::NotRun(process) if process == claim.agent_process => {
                self.replace(revision, claim)
            }
            ClaimStatus::Ran(process) if process == claim.agent_process => {
                NextStep::RecordRan { claim: boxed(), revision }
            }
            ClaimStatus::Unreachable if now + CLAIM_GRACE < self.gives_up_at => {
                NextStep::Pause(CLAIM_GRACE)
            }
            ClaimStatus::Unreachable => NextStep::Reject(unsettled("does not answer", &claim)),
            ClaimStatus::Unknown(process) if process == claim.agent_process => {
                NextStep::Reject(unsettled("cannot say what became of it", &claim))
            }
            // Another process stands in its place and has seen nothing of the call.
            _ => NextStep::Reject(unsettled("has ended", &claim)),
        }
    }

    /// The answer where the store failed before anything was handed over for this request.
    fn store_failed(&self, error: &StoreError) -> Refusal {
        let outcome = if self.seen_another || self.conflicts > 0 {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let wait = match error {
            StoreError::Throttled(wait) => *wait,
            StoreError::Unavailable(_) | StoreError::Unknown(_) => STORE_RETRY_AFTER,
        };
        let message = format!("{error}; ask again with the same Idempotency-Key");
        Refusal::new(ResultCode::StoreUnavailable, outcome)
            .with_message(message)
            .with_retry_after(wait)
    }
}

fn internal() -> Refusal {
    Refusal::not_run(ResultCode::Internal)
}

fn already_ran() -> Refusal {
    Refusal::new(ResultCode::AlreadyRan, Outcome::Ran)
}

fn already_running() -> Refusal {
    Refusal::new(ResultCode::AlreadyRunning, Outcome::Unknown).with_retry_after(RETRY_AFTER)
}

fn unsettled(why: &str, claim: &Claim) -> Refusal {
    let message = format!(
        "The agent of {} that this call was handed to {why}; an operator can settle it.",
        claim.upstream
    );
    Refusal::new(ResultCode::UpstreamLost, Outcome::Unknown)
        .with_message(message)
        .with_retry_after(RETRY_AFTER)
}
