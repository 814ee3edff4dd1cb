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

use crate::core::{Settlement, UpstreamEvent};

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

/// Whether a call may go on to the core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admit {
    /// It may; it is new.
    Pass,
    /// It came before; its transcript may be read, and it must not go to the core again.
    Seen,
    /// It was not and will not be handed over under this claim.
    Refuse(Refusal),
}

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// As the core says.
    Known(Settlement),
    /// It ran, and its answer is no longer held.
    Ran,
    /// It may have run; this process cannot say.
    Unknown,
}

/// Non-idempotent calls of one agent process.
#[derive(Debug)]
pub struct Once {
    process: ProcessId,
    capacity: usize,
    calls: HashMap<RequestKey, (u64, Stage)>,
    order: BTreeMap<u64, RequestKey>,
    forgotten_revision: u64,
}

impl Once {
    /// An empty memory of the given size.
    pub fn new(process: ProcessId, capacity: usize) -> Once {
        Once {
            process,
            capacity,
            calls: HashMap::new(),
            order: BTreeMap::new(),
            forgotten_revision: 0,
        }
    }

    /// Takes a dispatch before the core sees it.
    pub fn admit(&mut self, key: &RequestKey, claim: &Claim) -> Admit {
        if claim.agent_process != self.process {
            let refusal = Refusal::not_run(ResultCode::Withdrawn);
            return Admit::Refuse(refusal.with_message("The claim names another agent process."));
        }
        match self.calls.get(key) {
            Some((_, Stage::Withdrawn | Stage::NotRun)) => {
                Admit::Refuse(Refusal::not_run(ResultCode::Withdrawn))
            }
            Some(_) => Admit::Seen,
            None if claim.revision <= self.forgotten_revision => {
                Admit::Refuse(Refusal::not_run(ResultCode::Withdrawn))
            }
            None => {
                self.remember(key, claim.revision, Stage::Accepted);
                Admit::Pass
            }
        }
    }

    /// Notes that the upstream gets the call now.
    pub fn on_start(&mut self, key: &RequestKey) {
        self.advance(key, Stage::HandedOver);
    }

    /// Notes what the upstream said.
    pub fn on_upstream(&mut self, key: &RequestKey, event: &UpstreamEvent) {
        match event {
            UpstreamEvent::Finished => self.advance(key, Stage::Ran),
            UpstreamEvent::NotReached(_) => self.advance(key, Stage::NotRun),
            UpstreamEvent::Failed(_) => self.advance(key, Stage::Unknown),
            UpstreamEvent::Started { .. } | UpstreamEvent::Data(_) => {}
        }
    }

    /// Answers a question after a call. `core` is what the core says, which by then refuses a call
    /// that it does not hold.
    pub fn settle(&mut self, key: &RequestKey, claim: &Claim, core: Settlement) -> Settled {
        let held = self.calls.get(key).map(|(_, stage)| *stage);
        match (core, held) {
            (Settlement::Queued | Settlement::Running | Settlement::Finished, _) => {
                Settled::Known(core)
            }
            (_, Some(Stage::Ran)) => Settled::Ran,
            (_, Some(Stage::HandedOver | Stage::Unknown)) => Settled::Unknown,
            (_, Some(Stage::Accepted)) => {
                self.advance(key, Stage::NotRun);
                Settled::Known(Settlement::NotRun)
            }
            (_, Some(Stage::NotRun)) => Settled::Known(Settlement::NotRun),
            (_, Some(Stage::Withdrawn)) => Settled::Known(Settlement::Withdrawn),
            (_, None) if claim.revision <= self.forgotten_revision => Settled::Unknown,
            (_, None) => {
                self.remember(key, claim.revision, Stage::Withdrawn);
                Settled::Known(Settlement::Withdrawn)
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
