//! Which upstreams take new work: what an agent says of itself goes before what the host list says,
//! since the list lags, and an agent that cannot be reached is left alone for a while.

use std::time::{Duration, Instant};

/// How long an agent's report that it is leaving stays valid; the next report renews it.
pub const LEAVING_REPORT_TTL: Duration = Duration::from_secs(5);

/// How long an agent is left alone after it was not reached; doubled with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// The longest of these pauses.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// How long one request has to find out whether the agent is back, before another may try.
const PROBE_WINDOW: Duration = Duration::from_secs(1);

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It takes new work.
    Available,
    /// It is on its way out.
    Leaving,
    /// Its agent was not reached a moment ago.
    Unreachable,
}

/// An observation of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The host list was read.
    HostListed {
        /// The host is leaving or gone.
        leaving: bool,
    },
    /// The agent reported its load.
    AgentReported {
        /// It takes no new work.
        leaving: bool,
    },
    /// A request is about to be sent there.
    RequestAttempted,
    /// The agent could not be reached.
    AgentUnreachable,
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
            Event::HostListed { leaving } => self.listed_leaving = leaving,
            Event::AgentReported { leaving } => {
                self.said_leaving_at = leaving.then_some(now);
                self.failures = 0;
                self.closed_until = None;
            }
            Event::RequestAttempted if self.failures > 0 => {
                self.closed_until = Some(now + PROBE_WINDOW)
            }
            Event::RequestAttempted => {}
            Event::AgentUnreachable => {
                self.failures = self.failures.saturating_add(1);
                self.closed_until = Some(now + pause_after(self.failures));
            }
        }
    }

    /// Whether it takes new work now.
    pub fn availability(&self, now: Instant) -> Availability {
        let holds = |at: Instant| now.saturating_duration_since(at) < LEAVING_REPORT_TTL;
        if self.listed_leaving || self.said_leaving_at.is_some_and(holds) {
            return Availability::Leaving;
        }
        if self.closed_until.is_some_and(|until| now < until) {
            return Availability::Unreachable;
        }
        Availability::Available
    }
}

fn pause_after(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE)
}
