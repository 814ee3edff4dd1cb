//! What upstreams say of themselves in their responses: that they leave, or that they want nothing
//! for some time.
//!
//! Load pattern: upstreams that are taken away under load. Their announcements in the store tell it
//! up to a read of the store later, while every response tells it at once, to the gateway that got
//! it; that gateway tells the others. A full upstream that names a time is not asked again before,
//! however many requests wait. If all upstreams of a service do so, its requests wait until the
//! first one may be asked again, or are rejected at once.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::model::UpstreamId;

/// Time for which digests repeat that an upstream leaves; covers the loss of several.
const NEWS_VALIDITY: Duration = Duration::from_secs(4);

/// Time for which a leaving upstream that the store does not list is remembered. An upstream that
/// returns has another id.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Longest pause that is granted to an upstream, whatever it asks for.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Maximum number of leaving upstreams in a digest.
const MAX_NEWS: usize = 64;

/// What a request does while the upstreams that it may use want nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseDecision {
    /// Request a slot.
    RequestSlot,
    /// Wait for this time until the first of them may be asked.
    Wait(Duration),
    /// Give up, since none may be asked in time; the first one may be asked after this time.
    Reject(Duration),
}

/// A leaving upstream.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    learnt_at: Instant,
    /// Whether its own response told it, rather than another gateway.
    at_first_hand: bool,
}

/// Notices of upstreams to one gateway.
#[derive(Debug, Default)]
pub struct UpstreamNotices {
    leaving: HashMap<UpstreamId, Leaving>,
    paused_until: HashMap<UpstreamId, Instant>,
}

impl UpstreamNotices {
    /// Records that a response of an upstream says that it leaves. Returns whether that is news.
    pub fn record_leaving(&mut self, upstream: UpstreamId, now: Instant) -> bool {
        let leaving = Leaving { learnt_at: now, at_first_hand: true };
        match self.leaving.get_mut(&upstream) {
            Some(known) if known.at_first_hand => false,
            Some(known) => {
                *known = leaving;
                false
            }
            None => self.leaving.insert(upstream, leaving).is_none(),
        }
    }

    /// Records leaving upstreams that another gateway tells of. Returns whether one of them is
    /// news.
    pub fn apply_leaving(&mut self, upstreams: &[UpstreamId], now: Instant) -> bool {
        let known_before = self.leaving.len();
        for upstream in upstreams {
            let leaving = Leaving { learnt_at: now, at_first_hand: false };
            self.leaving.entry(*upstream).or_insert(leaving);
        }
        self.leaving.len() > known_before
    }

    /// Whether an upstream has said that it leaves.
    pub fn is_leaving(&self, upstream: UpstreamId) -> bool {
        self.leaving.contains_key(&upstream)
    }

    /// Number of upstreams that leave.
    pub fn leaving_count(&self) -> usize {
        self.leaving.len()
    }

    /// Leaving upstreams to tell the other gateways of.
    pub fn leaving_news(&self, now: Instant) -> Vec<UpstreamId> {
        let is_told = |leaving: &Leaving| {
            leaving.at_first_hand
                && now.saturating_duration_since(leaving.learnt_at) <= NEWS_VALIDITY
        };
        let told = self.leaving.iter().filter(|(_, leaving)| is_told(leaving));
        told.take(MAX_NEWS).map(|(upstream, _)| *upstream).collect()
    }

    /// Records that an upstream wants no request of this gateway for `pause`, at most
    /// [`MAX_PAUSE`].
    pub fn record_pause(&mut self, upstream: UpstreamId, pause: Duration, now: Instant) {
        let until = now + pause.min(MAX_PAUSE);
        let known = self.paused_until.entry(upstream).or_insert(until);
        *known = until.max(*known);
    }

    /// Whether an upstream wants no request of this gateway now.
    pub fn is_paused(&self, upstream: UpstreamId, now: Instant) -> bool {
        self.paused_until.get(&upstream).is_some_and(|until| now < *until)
    }

    /// Decides for a request that may use these upstreams and wait until `deadline`.
    pub fn decide(
        &self,
        usable: impl IntoIterator<Item = UpstreamId>,
        deadline: Instant,
        now: Instant,
    ) -> PauseDecision {
        let mut first_resumes_at: Option<Instant> = None;
        for upstream in usable {
            match self.paused_until.get(&upstream) {
                Some(until) if now < *until => {
                    first_resumes_at =
                        Some(first_resumes_at.map_or(*until, |first| first.min(*until)));
                }
                _ => return PauseDecision::RequestSlot,
            }
        }
        let Some(resumes_at) = first_resumes_at else { return PauseDecision::RequestSlot };
        let pause = resumes_at.saturating_duration_since(now);
        if resumes_at < deadline {
            PauseDecision::Wait(pause)
        } else {
            PauseDecision::Reject(pause)
        }
    }

    /// Upstreams that want no request of this gateway now.
    pub fn paused(&self, now: Instant) -> impl Iterator<Item = UpstreamId> + '_ {
        let is_paused = move |(_, until): &(&UpstreamId, &Instant)| now < **until;
        self.paused_until.iter().filter(is_paused).map(|(upstream, _)| *upstream)
    }

    /// Forgets pauses that have ended, and leaving upstreams that are gone.
    pub fn expire(&mut self, is_listed: impl Fn(UpstreamId) -> bool, now: Instant) {
        self.paused_until.retain(|_, until| now < *until);
        self.leaving.retain(|upstream, leaving| {
            is_listed(*upstream)
                || now.saturating_duration_since(leaving.learnt_at) <= UNLISTED_RETENTION
        });
    }
}
