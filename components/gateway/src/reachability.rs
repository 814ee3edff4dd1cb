//! Reachability of each upstream from this gateway. Network paths differ: an upstream that one
//! gateway cannot reach may still serve another.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::broker::SlotRequestId;
use crate::model::UpstreamId;
use crate::scheduler::AttemptOutcome;

/// Backoff after the first failure to reach an upstream, doubled at each further failure. Long
/// enough to spare requests a useless attempt, short enough that a restarted upstream is found
/// again within its start-up time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// An upstream is suspect when an open request is older than this and the upstream has sent nothing
/// at all in that time.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(700);

/// State of the network path to one upstream.
#[derive(Debug, Default)]
struct PathState {
    consecutive_failures: u32,
    backoff_until: Option<Instant>,
    last_response_at: Option<Instant>,
    /// Open requests at the upstream, with the time at which each was sent.
    open_requests: HashMap<SlotRequestId, Instant>,
}

/// Network paths from this gateway to upstreams.
#[derive(Debug, Default)]
pub struct Reachability {
    paths: HashMap<UpstreamId, PathState>,
}

impl Reachability {
    /// Records that a request is sent to an upstream.
    pub fn record_start(&mut self, upstream: UpstreamId, request_id: SlotRequestId, now: Instant) {
        self.paths.entry(upstream).or_default().open_requests.insert(request_id, now);
    }

    /// Records that an upstream has sent something.
    pub fn record_response(&mut self, upstream: UpstreamId, now: Instant) {
        if let Some(path) = self.paths.get_mut(&upstream) {
            path.last_response_at = Some(now);
        }
    }

    /// Records the outcome of a request.
    pub fn record_end(
        &mut self,
        upstream: UpstreamId,
        request_id: SlotRequestId,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let Some(path) = self.paths.get_mut(&upstream) else { return };
        path.open_requests.remove(&request_id);
        match outcome {
            AttemptOutcome::Served => {
                path.consecutive_failures = 0;
                path.backoff_until = None;
            }
            AttemptOutcome::Unreachable => {
                let backoff = INITIAL_BACKOFF * 2_u32.pow(path.consecutive_failures.min(3));
                path.consecutive_failures += 1;
                path.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
            }
            AttemptOutcome::Failed
            | AttemptOutcome::Declined
            | AttemptOutcome::Replaced
            | AttemptOutcome::Abandoned => {}
        }
    }

    /// Whether an upstream has sent nothing within the timeout although a request is open there.
    pub fn is_unresponsive(&self, upstream: UpstreamId, now: Instant) -> bool {
        self.paths.get(&upstream).is_some_and(|path| path.is_unresponsive(now))
    }

    /// Upstreams that are in backoff or unresponsive.
    pub fn suspects(&self, now: Instant) -> Vec<UpstreamId> {
        let is_suspect = |path: &PathState| {
            path.backoff_until.is_some_and(|until| now < until) || path.is_unresponsive(now)
        };
        let suspects = self.paths.iter().filter(|(_, path)| is_suspect(path));
        suspects.map(|(upstream, _)| *upstream).collect()
    }

    /// Removes unknown upstreams that have no open requests.
    pub fn retain(&mut self, is_known: impl Fn(UpstreamId) -> bool) {
        self.paths.retain(|upstream, path| is_known(*upstream) || !path.open_requests.is_empty());
    }
}

impl PathState {
    fn is_unresponsive(&self, now: Instant) -> bool {
        let last_response_at = self.last_response_at;
        let is_overdue = |at: Instant| now.saturating_duration_since(at) > UNRESPONSIVE_TIMEOUT;
        self.open_requests.values().min().is_some_and(|oldest| is_overdue(*oldest))
            && last_response_at.is_none_or(is_overdue)
    }
}
