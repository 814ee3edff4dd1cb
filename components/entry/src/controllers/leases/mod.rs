//! A lease in the platform's store, as its holder sees it: what happened and the time come in, what
//! to do next comes out.
//!
//! The holder counts the lease from before the call that took or renewed it was sent, by its own
//! monotonic clock, and stops a margin before that time is up; so it stops before the store can let
//! the lease lapse. The fencing token is the revision of the write that made the holder known: each
//! later holder has a higher one. See `docs/design/fencing.md`.

use std::time::{Duration, Instant};

use identity::FencingToken;
use store::{LeaseId, Revision, StoreError, SwapResult};

/// Part of the lease that is not used, against clocks that run at unlike speed.
const MARGIN_DIVISOR: u32 = 4;

/// Renewals sent while a lease is good.
const RENEW_DIVISOR: u32 = 3;

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time went by.
    Tick,
    /// The store answered the call for a lease that was sent at this time.
    Granted(Instant, Result<LeaseId, StoreError>),
    /// The store answered the write of the holder's name under the lease.
    Wrote(Result<SwapResult, StoreError>),
    /// The holder's key was read: where it stands, and whether this holder's last write made it.
    Read(Result<Option<(Revision, bool)>, StoreError>),
    /// The store answered the renewal that was sent at this time.
    Renewed(Instant, Result<bool, StoreError>),
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Take a lease of this duration.
    Grant(Duration),
    /// Write the holder's name, with a nonce of its own, where the key is absent.
    Write(LeaseId),
    /// Read the holder's key.
    Read,
    /// Renew the lease.
    Renew(LeaseId),
    /// Wait this long, then tick.
    Wait(Duration),
}

/// A lease, held or sought.
#[derive(Debug)]
pub struct Lease {
    duration: Duration,
    stage: Stage,
}

#[derive(Debug, Clone, Copy)]
enum Stage {
    Idle,
    Granted { lease: LeaseId, good_until: Instant },
    Held { lease: LeaseId, token: FencingToken, good_until: Instant, renewed_at: Instant },
}

impl Lease {
    /// A lease of this duration that is not held.
    pub fn new(duration: Duration) -> Lease {
        Lease { duration, stage: Stage::Idle }
    }

    /// The token to act with at this moment; asked for anew before each act.
    pub fn token(&self, now: Instant) -> Option<FencingToken> {
        match self.stage {
            Stage::Held { token, good_until, .. } if now < good_until => Some(token),
            _ => None,
        }
    }

    /// How long an act that begins now may go on.
    pub fn time_left(&self, now: Instant) -> Duration {
        match self.stage {
            Stage::Held { good_until, .. } => good_until.saturating_duration_since(now),
            _ => Duration::ZERO,
        }
    }

    /// Takes what happened and says what to do.
    pub fn on_event(&mut self, event: Event, now: Instant) -> NextStep {
        match event {
            Event::Tick => self.on_tick(now),
            Event::Granted(sent_at, Ok(lease)) => {
                self.stage = Stage::Granted { lease, good_until: self.good_until(sent_at) };
                NextStep::Write(lease)
            }
            Event::Wrote(Ok(SwapResult::Written(revision))) => self.on_held(revision, now),
            Event::Wrote(Ok(SwapResult::Conflict(_)))
            | Event::Read(Ok(None | Some((_, false)))) => self.give_up(),
            Event::Wrote(Err(StoreError::Unknown(_))) => NextStep::Read,
            Event::Read(Ok(Some((revision, true)))) => self.on_held(revision, now),
            Event::Renewed(sent_at, Ok(true)) => self.on_renewed(sent_at, now),
            Event::Renewed(_, Ok(false)) => self.give_up(),
            Event::Granted(_, Err(_)) | Event::Wrote(Err(_)) | Event::Read(Err(_)) => {
                self.give_up()
            }
            Event::Renewed(_, Err(_)) => self.wait(now),
        }
    }

    fn on_tick(&mut self, now: Instant) -> NextStep {
        match self.stage {
            Stage::Held { lease, good_until, renewed_at, .. } if now < good_until => {
                if now >= renewed_at + self.duration / RENEW_DIVISOR {
                    return NextStep::Renew(lease);
                }
                self.wait(now)
            }
            _ => {
                self.stage = Stage::Idle;
                NextStep::Grant(self.duration)
            }
        }
    }

    fn on_held(&mut self, revision: Revision, now: Instant) -> NextStep {
        let Stage::Granted { lease, good_until } = self.stage else { return self.give_up() };
        let token = FencingToken(revision.0);
        self.stage = Stage::Held { lease, token, good_until, renewed_at: now };
        self.wait(now)
    }

    /// A renewal extends only a lease that was good when it was sent and is so still.
    fn on_renewed(&mut self, sent_at: Instant, now: Instant) -> NextStep {
        let Stage::Held { lease, token, good_until, .. } = self.stage else {
            return self.give_up();
        };
        if now >= good_until {
            return self.give_up();
        }
        let good_until = good_until.max(self.good_until(sent_at));
        self.stage = Stage::Held { lease, token, good_until, renewed_at: sent_at };
        self.wait(now)
    }

    fn good_until(&self, sent_at: Instant) -> Instant {
        sent_at + self.duration - self.duration / MARGIN_DIVISOR
    }

    fn give_up(&mut self) -> NextStep {
        self.stage = Stage::Idle;
        NextStep::Wait(self.duration / RENEW_DIVISOR)
    }

    fn wait(&self, now: Instant) -> NextStep {
        let pause = self.duration / RENEW_DIVISOR;
        NextStep::Wait(match self.stage {
            Stage::Held { good_until, .. } => pause.min(good_until.saturating_duration_since(now)),
            _ => pause,
        })
    }
}
