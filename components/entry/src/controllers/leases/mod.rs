//! State machine of the holder of a lease in the platform's store. Its input is events and the
//! current time, its output is the next step for the caller to carry out.
//!
//! The holder measures the duration of the lease on its own monotonic clock, from before the
//! request that granted or renewed it was sent. It stops using the lease a safety margin before
//! this duration ends, and so before the store can expire the lease. The fencing token is the
//! revision of the write that registered the holder, so each later holder has a higher one. See
//! `docs/design/fencing.md`.

use std::time::{Duration, Instant};

use identity::FencingToken;
use store::{LeaseId, Revision, StoreError, SwapResult};

/// The holder stops using the lease this fraction (1/4) of the duration before the lease expires,
/// in case its clock and that of the store run at different speeds.
const EXPIRY_MARGIN_DIVISOR: u32 = 4;

/// A renewal is due, and a failed step is repeated, after this fraction (1/3) of the duration.
const RENEWAL_DIVISOR: u32 = 3;

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Result of the request for a lease, which was sent at this time.
    Granted(Instant, Result<LeaseId, StoreError>),
    /// Result of writing the holder's key under the lease.
    Wrote(Result<SwapResult, StoreError>),
    /// Result of reading the holder's key: its revision, and whether the key stems from the last
    /// write of this holder.
    Read(Result<Option<(Revision, bool)>, StoreError>),
    /// Result of the renewal, which was sent at this time; `false` if the lease had expired.
    Renewed(Instant, Result<bool, StoreError>),
}

/// Output of the state machine: the step to carry out next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Request a lease of this duration.
    Grant(Duration),
    /// Write the holder's key under the lease, with a new nonce, if the key is absent.
    Write(LeaseId),
    /// Read the holder's key.
    Read,
    /// Renew the lease.
    Renew(LeaseId),
    /// Wait for this duration, then send [`Event::Tick`].
    Wait(Duration),
}

/// A lease that is held or being acquired.
#[derive(Debug)]
pub struct Lease {
    duration: Duration,
    stage: Stage,
}

#[derive(Debug, Clone, Copy)]
enum Stage {
    /// No lease.
    Idle,
    /// A lease was granted; the holder's key is not known to be written yet.
    Granted { lease: LeaseId, valid_until: Instant },
    /// The holder's key is written, and the lease is in use.
    Held { lease: LeaseId, fencing_token: FencingToken, valid_until: Instant, renewed_at: Instant },
}

impl Lease {
    /// Creates a lease of this duration that is not held yet.
    pub fn new(duration: Duration) -> Lease {
        Lease { duration, stage: Stage::Idle }
    }

    /// Returns the fencing token while the lease is valid. Read it again before each action.
    pub fn fencing_token(&self, now: Instant) -> Option<FencingToken> {
        match self.stage {
            Stage::Held { fencing_token, valid_until, .. } if now < valid_until => {
                Some(fencing_token)
            }
            _ => None,
        }
    }

    /// Time left for an action that starts now.
    pub fn time_left(&self, now: Instant) -> Duration {
        match self.stage {
            Stage::Held { valid_until, .. } => valid_until.saturating_duration_since(now),
            _ => Duration::ZERO,
        }
    }

    /// Handles an event and returns the next step.
    pub fn on_event(&mut self, event: Event, now: Instant) -> NextStep {
        match event {
            Event::Tick => self.on_tick(now),
            Event::Granted(sent_at, Ok(lease)) => {
                self.stage = Stage::Granted { lease, valid_until: self.valid_until(sent_at) };
                NextStep::Write(lease)
            }
            Event::Wrote(Ok(SwapResult::Written(revision))) => self.hold_lease(revision, now),
            Event::Wrote(Ok(SwapResult::Conflict(_)))
            | Event::Read(Ok(None | Some((_, false)))) => self.reset_and_wait(),
            Event::Wrote(Err(StoreError::Unknown(_))) => NextStep::Read,
            Event::Read(Ok(Some((revision, true)))) => self.hold_lease(revision, now),
            Event::Renewed(sent_at, Ok(true)) => self.extend_lease(sent_at, now),
            Event::Renewed(_, Ok(false)) => self.reset_and_wait(),
            Event::Granted(_, Err(_)) | Event::Wrote(Err(_)) | Event::Read(Err(_)) => {
                self.reset_and_wait()
            }
            Event::Renewed(_, Err(_)) => self.wait_for_renewal(now),
        }
    }

    fn on_tick(&mut self, now: Instant) -> NextStep {
        match self.stage {
            Stage::Held { lease, valid_until, renewed_at, .. } if now < valid_until => {
                if now >= renewed_at + self.duration / RENEWAL_DIVISOR {
                    return NextStep::Renew(lease);
                }
                self.wait_for_renewal(now)
            }
            _ => {
                self.stage = Stage::Idle;
                NextStep::Grant(self.duration)
            }
        }
    }

    /// Starts to use the lease, whose holder's key was written at `revision`.
    fn hold_lease(&mut self, revision: Revision, now: Instant) -> NextStep {
        let Stage::Granted { lease, valid_until } = self.stage else {
            return self.reset_and_wait();
        };
        let fencing_token = FencingToken(revision.0);
        self.stage = Stage::Held { lease, fencing_token, valid_until, renewed_at: now };
        self.wait_for_renewal(now)
    }

    /// Extends the lease after a renewal, if it was valid when the renewal was sent and still is.
    fn extend_lease(&mut self, sent_at: Instant, now: Instant) -> NextStep {
        let Stage::Held { lease, fencing_token, valid_until, .. } = self.stage else {
            return self.reset_and_wait();
        };
        if now >= valid_until {
            return self.reset_and_wait();
        }
        let valid_until = valid_until.max(self.valid_until(sent_at));
        self.stage = Stage::Held { lease, fencing_token, valid_until, renewed_at: sent_at };
        self.wait_for_renewal(now)
    }

    fn valid_until(&self, sent_at: Instant) -> Instant {
        sent_at + self.duration - self.duration / EXPIRY_MARGIN_DIVISOR
    }

    /// Gives up the lease and waits before a new one is requested.
    fn reset_and_wait(&mut self) -> NextStep {
        self.stage = Stage::Idle;
        NextStep::Wait(self.duration / RENEWAL_DIVISOR)
    }

    /// Waits until a renewal is due, but not beyond the end of a held lease.
    fn wait_for_renewal(&self, now: Instant) -> NextStep {
        let pause = self.duration / RENEWAL_DIVISOR;
        NextStep::Wait(match self.stage {
            Stage::Held { valid_until, .. } => {
                pause.min(valid_until.saturating_duration_since(now))
            }
            _ => pause,
        })
    }
}
