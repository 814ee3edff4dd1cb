//! Chooses the upstream on which a request is expected to finish first.

use std::time::Duration;

use identity::UpstreamId;

use crate::cost::{Size, Speed, decode_time, prefill_time};

/// An upstream that fits a request, as the entry process sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Its speed.
    pub speed: Speed,
    /// Requests in flight or waiting there.
    pub outstanding: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Prompt tokens that wait there.
    pub queued_prefill_tokens: u64,
    /// Time for a message to get there and back.
    pub distance: Duration,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement<'a> {
    /// Hand it to this upstream.
    Upstream {
        /// The upstream.
        upstream: &'a UpstreamId,
        /// When it is expected to be done.
        finish: Duration,
    },
    /// No candidate fits.
    NoUpstream,
}

/// Places a request on the candidate with the earliest expected finish.
pub fn place<'a>(candidates: &[Candidate<'a>], size: Size) -> Placement<'a> {
    candidates
        .iter()
        .map(|candidate| (expected_finish(candidate, size), candidate.upstream))
        .min()
        .map_or(Placement::NoUpstream, |(finish, upstream)| Placement::Upstream {
            upstream,
            finish,
        })
}

/// When a request would be done on a candidate.
pub fn expected_finish(candidate: &Candidate<'_>, size: Size) -> Duration {
    let prefill_tokens = candidate.queued_prefill_tokens + u64::from(size.prompt_tokens);
    let own_decode = decode_time(size.max_tokens.into(), candidate.speed);
    let waiting = candidate.outstanding.saturating_sub(candidate.slots.saturating_sub(1));
    let turn = own_decode * waiting / candidate.slots.max(1);
    candidate.distance + prefill_time(prefill_tokens, candidate.speed) + own_decode + turn
}
