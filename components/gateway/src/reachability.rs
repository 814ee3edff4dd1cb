//! How well this entry reaches each upstream. Paths differ: an upstream that one entry cannot reach
//! may serve another well.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::broker::SlotRequestId;
use crate::model::UpstreamId;
use crate::scheduler::AttemptOutcome;

/// First pause after an upstream could not be reached, doubled at each further failure: long enough
/// to spare requests the detour, short enough that a restarted one is found within its start.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// An upstream is suspect when a request is this old and nothing at all was heard since.
const SILENCE: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct PathState {
    unreachable: u32,
    paused_until: Option<Instant>,
    heard_at: Option<Instant>,
    /// Open requests there, and when they were handed over.
    open: HashMap<SlotRequestId, Instant>,
}

/// The paths from this entry to upstreams.
#[derive(Debug, Default)]
pub struct Reachability {
    paths: HashMap<UpstreamId, PathState>,
}

impl Reachability {
    /// Takes in that a request is handed over.
    pub fn record_start(&mut self, upstream: UpstreamId, request_id: SlotRequestId, now: Instant) {
        self.paths.entry(upstream).or_default().open.insert(request_id, now);
    }

    /// Takes in that an upstream has sent something.
    pub fn record_response(&mut self, upstream: UpstreamId, now: Instant) {
        if let Some(path) = self.paths.get_mut(&upstream) {
            path.heard_at = Some(now);
        }
    }

    /// Takes in how a request ended.
    pub fn record_end(
        &mut self,
        upstream: UpstreamId,
        request_id: SlotRequestId,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let Some(path) = self.paths.get_mut(&upstream) else { return };
        path.open.remove(&request_id);
        match outcome {
            AttemptOutcome::Served => {
                path.unreachable = 0;
                path.paused_until = None;
            }
            AttemptOutcome::Unreachable => {
                let pause = FIRST_PAUSE * 2_u32.pow(path.unreachable.min(3));
                path.unreachable += 1;
                path.paused_until = Some(now + pause.min(LONGEST_PAUSE));
            }
            AttemptOutcome::Failed
            | AttemptOutcome::Declined
            | AttemptOutcome::Replaced
            | AttemptOutcome::Abandoned => {}
        }
    }

    /// Whether an upstream has answered nothing since a request was handed over some time ago.
    pub fn is_unresponsive(&self, upstream: UpstreamId, now: Instant) -> bool {
        self.paths.get(&upstream).is_some_and(|path| path.is_unresponsive(now))
    }

    /// Upstreams that can hardly be reached now.
    pub fn suspects(&self, now: Instant) -> Vec<UpstreamId> {
        let is_suspect = |path: &PathState| {
            path.paused_until.is_some_and(|until| now < until) || path.is_unresponsive(now)
        };
        let suspects = self.paths.iter().filter(|(_, path)| is_suspect(path));
        suspects.map(|(upstream, _)| *upstream).collect()
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(UpstreamId) -> bool) {
        self.paths.retain(|upstream, path| is_known(*upstream) || !path.open.is_empty());
    }
}

impl PathState {
    fn is_unresponsive(&self, now: Instant) -> bool {
        let heard_at = self.heard_at;
        let silent = |at: Instant| now.saturating_duration_since(at) > SILENCE;
        self.open.values().min().is_some_and(|oldest| silent(*oldest))
            && heard_at.is_none_or(silent)
    }
}
