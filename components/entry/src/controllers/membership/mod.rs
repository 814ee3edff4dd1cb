//! Which upstreams take new work: what an agent says of itself goes before what the host list says,
//! since the list lags, and an agent that cannot be reached is left alone for a while.

use std::time::{Duration, Instant};

/// How long an agent's word that it is leaving holds; the next word renews it.
pub const WORD_HOLDS: Duration = Duration::from_secs(5);

/// How long an agent is left alone after it was not reached; doubled with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// The longest of these pauses.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// How long one request has to find out whether the agent is back, before another may try.
const PROBE_WINDOW: Duration = Duration::from_secs(1);

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It does.
    Open,
    /// It is on its way out.
    Leaving,
    /// Its agent was not reached a moment ago.
    Unreachable,
}

/// What was learnt of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The host list was read.
    Listed {
        /// The host is leaving or gone.
        leaving: bool,
    },
    /// The agent spoke.
    Said {
        /// It takes no new work.
        leaving: bool,
    },
    /// A request is about to be sent there.
    Tried,
    /// The agent could not be reached.
    NotReached,
}

/// One upstream as this process knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Member {
    listed_leaving: bool,
    said_leaving_at: Option<Instant>,
    failures: u32,
    closed_until: Option<Instant>,
}

impl Member {
    /// Takes what was learnt.
    pub fn on_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::Listed { leaving } => self.listed_leaving = leaving,
            Event::Said { leaving } => {
                self.said_leaving_at = leaving.then_some(now);
                self.failures = 0;
                self.closed_until = None;
            }
            Event::Tried if self.failures > 0 => self.closed_until = Some(now + PROBE_WINDOW),
            Event::Tried => {}
            Event::NotReached => {
                self.failures = self.failures.saturating_add(1);
                self.closed_until = Some(now + pause_after(self.failures));
            }
        }
    }

    /// Whether it takes new work now.
    pub fn standing(&self, now: Instant) -> Standing {
        let holds = |at: Instant| now.saturating_duration_since(at) < WORD_HOLDS;
        if self.listed_leaving || self.said_leaving_at.is_some_and(holds) {
            return Standing::Leaving;
        }
        if self.closed_until.is_some_and(|until| now < until) {
            return Standing::Unreachable;
        }
        Standing::Open
    }
}

fn pause_after(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE)
}
