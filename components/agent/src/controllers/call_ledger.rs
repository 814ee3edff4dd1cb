//! Ledger of non-idempotent calls, which enforces that each is sent to the upstream at most once.
//! An entry outlives the response of its call, and a call whose entry may have been evicted is
//! never treated as new.
//!
//! Calls are ordered by the store revision of their claim. When the ledger is full, the calls with
//! the lowest revisions are evicted and the highest evicted revision is kept: a dispatch at or
//! below it is refused, and its status is reported as `Unknown`.

use std::collections::{BTreeMap, HashMap};

use errors::{Refusal, ResultCode};
use identity::ProcessId;
use wire::{Claim, RequestKey};

use crate::core::{RequestStatus, UpstreamEvent};

/// Number of calls that an agent's ledger holds; each takes about 200 bytes.
pub const RETAINED_CALLS: usize = 65_536;

/// Recorded state of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallState {
    /// Accepted, but not yet sent to the upstream.
    Accepted,
    /// Sent to the upstream.
    Sent,
    /// The upstream sent a complete response.
    Ran,
    /// The call was not sent to the upstream and never will be.
    NotRun,
    /// The response of the upstream broke off, so the call may have run.
    Unknown,
    /// The status of the call was queried before its dispatch arrived; the dispatch is refused.
    Withdrawn,
}

/// Outcome of admitting a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallAdmission {
    /// The call is new and is to be passed to the core.
    New,
    /// The call was dispatched before. Its transcript may be read, but it must not be passed to the
    /// core again.
    Duplicate,
    /// The dispatch is refused. It does not send the call to the upstream, now or later.
    Rejected(Refusal),
}

/// Status of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStatus {
    /// The call has this status.
    Known(RequestStatus),
    /// The call ran, and its response is no longer held.
    Ran,
    /// The call may have run; this process cannot tell.
    Unknown,
}

/// Ledger of the non-idempotent calls of one agent process.
#[derive(Debug)]
pub struct CallLedger {
    process: ProcessId,
    capacity: usize,
    /// Claim revision and state of each call.
    calls: HashMap<RequestKey, (u64, CallState)>,
    keys_by_revision: BTreeMap<u64, RequestKey>,
    /// Highest claim revision of an evicted call; 0 if none has been evicted.
    evicted_revision: u64,
}

impl CallLedger {
    /// Creates an empty ledger that holds at most `capacity` calls.
    pub fn new(process: ProcessId, capacity: usize) -> CallLedger {
        CallLedger {
            process,
            capacity,
            calls: HashMap::new(),
            keys_by_revision: BTreeMap::new(),
            evicted_revision: 0,
        }
    }

    /// Admits or rejects a dispatch; called before the dispatch is passed to the core.
    pub fn admit(&mut self, key: &RequestKey, claim: &Claim) -> CallAdmission {
        if claim.agent_process != self.process {
            let refusal = Refusal::not_run(ResultCode::Withdrawn);
            return CallAdmission::Rejected(
                refusal.with_message("The claim is for another agent process."),
            );
        }
        match self.calls.get(key) {
            Some((_, CallState::Withdrawn | CallState::NotRun)) => {
                CallAdmission::Rejected(Refusal::not_run(ResultCode::Withdrawn))
            }
            Some(_) => CallAdmission::Duplicate,
            None if claim.revision <= self.evicted_revision => {
                CallAdmission::Rejected(Refusal::not_run(ResultCode::Withdrawn))
            }
            None => {
                self.insert(key, claim.revision, CallState::Accepted);
                CallAdmission::New
            }
        }
    }

    /// Records that the call is being sent to the upstream.
    pub fn record_start(&mut self, key: &RequestKey) {
        self.set_state(key, CallState::Sent);
    }

    /// Updates the state of a call after an event of the upstream.
    pub fn on_upstream_event(&mut self, key: &RequestKey, event: &UpstreamEvent) {
        match event {
            UpstreamEvent::Finished => self.set_state(key, CallState::Ran),
            UpstreamEvent::NotReached(_) => self.set_state(key, CallState::NotRun),
            UpstreamEvent::Failed(_) => self.set_state(key, CallState::Unknown),
            UpstreamEvent::Started { .. } | UpstreamEvent::Data(_) => {}
        }
    }

    /// Returns the status of a call; a call that was never seen is withdrawn, so that its dispatch
    /// is refused from now on. `core_status` must come from [`Core::status_or_withdraw`], after
    /// which the core refuses the dispatch too if it does not hold the call.
    ///
    /// [`Core::status_or_withdraw`]: crate::core::Core::status_or_withdraw
    pub fn status_or_withdraw(
        &mut self,
        key: &RequestKey,
        claim: &Claim,
        core_status: RequestStatus,
    ) -> CallStatus {
        let state = self.calls.get(key).map(|(_, state)| *state);
        match (core_status, state) {
            (RequestStatus::Queued | RequestStatus::Running | RequestStatus::Finished, _) => {
                CallStatus::Known(core_status)
            }
            (_, Some(CallState::Ran)) => CallStatus::Ran,
            (_, Some(CallState::Sent | CallState::Unknown)) => CallStatus::Unknown,
            (_, Some(CallState::Accepted)) => {
                self.set_state(key, CallState::NotRun);
                CallStatus::Known(RequestStatus::NotRun)
            }
            (_, Some(CallState::NotRun)) => CallStatus::Known(RequestStatus::NotRun),
            (_, Some(CallState::Withdrawn)) => CallStatus::Known(RequestStatus::Withdrawn),
            (_, None) if claim.revision <= self.evicted_revision => CallStatus::Unknown,
            (_, None) => {
                self.insert(key, claim.revision, CallState::Withdrawn);
                CallStatus::Known(RequestStatus::Withdrawn)
            }
        }
    }

    fn set_state(&mut self, key: &RequestKey, state: CallState) {
        if let Some(call) = self.calls.get_mut(key) {
            call.1 = state;
        }
    }

    fn insert(&mut self, key: &RequestKey, revision: u64, state: CallState) {
        self.calls.insert(key.clone(), (revision, state));
        self.keys_by_revision.insert(revision, key.clone());
        while self.calls.len() > self.capacity {
            let Some((revision, oldest)) = self.keys_by_revision.pop_first() else { return };
            self.calls.remove(&oldest);
            self.evicted_revision = self.evicted_revision.max(revision);
        }
    }
}
