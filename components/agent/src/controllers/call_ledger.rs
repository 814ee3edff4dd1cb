//! Memory of non-idempotent calls: outlives their answers, and never takes a call for unseen that
//! may have been forgotten.
//!
//! Calls are ordered by the store revision of their claim. What no longer fits is forgotten from
//! the oldest on, and the highest revision forgotten is kept: a dispatch at or below it is refused,
//! and a question about it is answered with `Unknown`.

use std::collections::{BTreeMap, HashMap};

use errors::{Refusal, ResultCode};
use identity::ProcessId;
use wire::{Claim, RequestKey};

use crate::core::{RequestStatus, UpstreamEvent};

/// Calls that are remembered; about 200 bytes each.
pub const CAPACITY: usize = 65_536;

/// What is remembered of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Taken, and not handed to the upstream so far.
    Accepted,
    /// Handed to the upstream.
    HandedOver,
    /// The upstream answered.
    Ran,
    /// The upstream could not be reached.
    NotRun,
    /// The upstream broke off.
    Unknown,
    /// Asked after before it came.
    Withdrawn,
}

/// Outcome of admitting a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallAdmission {
    /// The call is new and goes on to the core.
    New,
    /// The call was dispatched before; its transcript may be read, and it must not go to the core
    /// again.
    Duplicate,
    /// It was not and will not be handed over under this claim.
    Rejected(Refusal),
}

/// Status of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStatus {
    /// As the core says.
    Known(RequestStatus),
    /// It ran, and its answer is no longer held.
    Ran,
    /// It may have run; this process cannot say.
    Unknown,
}

/// Ledger of the non-idempotent calls of one agent process.
#[derive(Debug)]
pub struct CallLedger {
    process: ProcessId,
    capacity: usize,
    calls: HashMap<RequestKey, (u64, Stage)>,
    order: BTreeMap<u64, RequestKey>,
    forgotten_revision: u64,
}

impl CallLedger {
    /// An empty ledger of the given capacity.
    pub fn new(process: ProcessId, capacity: usize) -> CallLedger {
        CallLedger {
            process,
            capacity,
            calls: HashMap::new(),
            order: BTreeMap::new(),
            forgotten_revision: 0,
        }
    }

    /// Admits or rejects a dispatch before the core sees it.
    pub fn admit(&mut self, key: &RequestKey, claim: &Claim) -> CallAdmission {
        if claim.agent_process != self.process {
            let refusal = Refusal::not_run(ResultCode::Withdrawn);
            return CallAdmission::Rejected(
                refusal.with_message("The claim names another agent process."),
            );
        }
        match self.calls.get(key) {
            Some((_, Stage::Withdrawn | Stage::NotRun)) => {
                CallAdmission::Rejected(Refusal::not_run(ResultCode::Withdrawn))
            }
            Some(_) => CallAdmission::Duplicate,
            None if claim.revision <= self.forgotten_revision => {
                CallAdmission::Rejected(Refusal::not_run(ResultCode::Withdrawn))
            }
            None => {
                self.remember(key, claim.revision, Stage::Accepted);
                CallAdmission::New
            }
        }
    }

    /// Records that the call is sent to the upstream now.
    pub fn record_start(&mut self, key: &RequestKey) {
        self.advance(key, Stage::HandedOver);
    }

    /// Records an event of the upstream.
    pub fn on_upstream_event(&mut self, key: &RequestKey, event: &UpstreamEvent) {
        match event {
            UpstreamEvent::Finished => self.advance(key, Stage::Ran),
            UpstreamEvent::NotReached(_) => self.advance(key, Stage::NotRun),
            UpstreamEvent::Failed(_) => self.advance(key, Stage::Unknown),
            UpstreamEvent::Started { .. } | UpstreamEvent::Data(_) => {}
        }
    }

    /// Status of a call; a call never seen is withdrawn. `core` is the core's status, and the core
    /// by then rejects a call that it does not hold.
    pub fn status_or_withdraw(
        &mut self,
        key: &RequestKey,
        claim: &Claim,
        core: RequestStatus,
    ) -> CallStatus {
        let held = self.calls.get(key).map(|(_, stage)| *stage);
        match (core, held) {
            (RequestStatus::Queued | RequestStatus::Running | RequestStatus::Finished, _) => {
                CallStatus::Known(core)
            }
            (_, Some(Stage::Ran)) => CallStatus::Ran,
            (_, Some(Stage::HandedOver | Stage::Unknown)) => CallStatus::Unknown,
            (_, Some(Stage::Accepted)) => {
                self.advance(key, Stage::NotRun);
                CallStatus::Known(RequestStatus::NotRun)
            }
            (_, Some(Stage::NotRun)) => CallStatus::Known(RequestStatus::NotRun),
            (_, Some(Stage::Withdrawn)) => CallStatus::Known(RequestStatus::Withdrawn),
            (_, None) if claim.revision <= self.forgotten_revision => CallStatus::Unknown,
            (_, None) => {
                self.remember(key, claim.revision, Stage::Withdrawn);
                CallStatus::Known(RequestStatus::Withdrawn)
            }
        }
    }

    fn advance(&mut self, key: &RequestKey, stage: Stage) {
        if let Some(call) = self.calls.get_mut(key) {
            call.1 = stage;
        }
    }

    fn remember(&mut self, key: &RequestKey, revision: u64, stage: Stage) {
        self.calls.insert(key.clone(), (revision, stage));
        self.order.insert(revision, key.clone());
        while self.calls.len() > self.capacity {
            let Some((revision, oldest)) = self.order.pop_first() else { return };
            self.calls.remove(&oldest);
            self.forgotten_revision = self.forgotten_revision.max(revision);
        }
    }
}
