//! Availability of upstreams for new work. An agent's own report that it is leaving takes effect at
//! once, since the host list lags behind. An agent that cannot be reached gets no new work for a
//! backoff period.

use std::time::{Duration, Instant};

/// Time for which an agent's report that it is leaving stays valid. Each further report renews it.
pub const LEAVING_REPORT_TTL: Duration = Duration::from_secs(5);

/// Backoff after the first failure to reach an agent. It doubles with each further failure in a
/// row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest backoff after failures to reach an agent.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// After the backoff, a single request probes whether the agent is reachable again. This is the
/// time until another request may be sent if the probe has no result.
const PROBE_WINDOW: Duration = Duration::from_secs(1);

/// Availability of an upstream for new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The upstream takes new work.
    Available,
    /// The upstream is leaving and takes no new work.
    Leaving,
    /// The agent could not be reached, and its backoff or the time for a probe has not ended.
    Unreachable,
}

/// An observation of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The host list was read.
    HostListed {
        /// The host is not listed as live: it is leaving or missing from the list.
        leaving: bool,
    },
    /// The agent reported its load.
    AgentReported {
        /// The agent takes no new work.
        leaving: bool,
    },
    /// A request is about to be sent to the upstream.
    RequestAttempted,
    /// The agent could not be reached.
    AgentUnreachable,
}

/// Availability state of one upstream, as this process knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AvailabilityState {
    listed_leaving: bool,
    reported_leaving_at: Option<Instant>,
    consecutive_failures: u32,
    unavailable_until: Option<Instant>,
}

impl AvailabilityState {
    /// Updates the state with an observation.
    pub fn on_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::HostListed { leaving } => self.listed_leaving = leaving,
            Event::AgentReported { leaving } => {
                self.reported_leaving_at = leaving.then_some(now);
                self.consecutive_failures = 0;
                self.unavailable_until = None;
            }
            Event::RequestAttempted if self.consecutive_failures > 0 => {
                self.unavailable_until = Some(now + PROBE_WINDOW)
            }
            Event::RequestAttempted => {}
            Event::AgentUnreachable => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.unavailable_until = Some(now + backoff_after(self.consecutive_failures));
            }
        }
    }

    /// Returns the availability of the upstream at this time.
    pub fn availability(&self, now: Instant) -> Availability {
        let is_current = |at: Instant| now.saturating_duration_since(at) < LEAVING_REPORT_TTL;
        if self.listed_leaving || self.reported_leaving_at.is_some_and(is_current) {
            return Availability::Leaving;
        }
        if self.unavailable_until.is_some_and(|until| now < until) {
            return Availability::Unreachable;
        }
        Availability::Available
    }
}

fn backoff_after(consecutive_failures: u32) -> Duration {
    let doublings = consecutive_failures.saturating_sub(1).min(8);
    (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF)
}
