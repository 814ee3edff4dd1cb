//! An entry host during the replay: what it has heard, and the policy that places.

use std::time::{Duration, Instant};

use identity::UpstreamId;
use schedule::cost::Speed;
use schedule::placement::Candidate;
use wire::LoadDigest;

use super::Options;
use crate::policy::{Policy, Seen, choose_baseline, choose_own};
use crate::trace::{RequestSpec, UpstreamSpec};

/// Round trip to every upstream of the replay.
const ROUND_TRIP: Duration = Duration::from_millis(1);

#[derive(Debug, Clone)]
struct Known {
    spec: UpstreamSpec,
    load: LoadDigest,
    own_outstanding: u32,
    unreachable: bool,
}

#[derive(Debug)]
pub(super) struct EntryState {
    names: Vec<UpstreamId>,
    known: Vec<Known>,
    policy: Policy,
    turn: u64,
}

impl EntryState {
    pub(super) fn new(specs: &[UpstreamSpec], turn: u64, options: Options) -> EntryState {
        let known = |spec: &UpstreamSpec| Known {
            spec: spec.clone(),
            load: LoadDigest::default(),
            own_outstanding: 0,
            unreachable: false,
        };
        EntryState {
            names: (0..specs.len()).map(|index| UpstreamId::new(format!("u{index:03}"))).collect(),
            known: specs.iter().map(known).collect(),
            policy: options.policy,
            turn,
        }
    }

    pub(super) fn hear(&mut self, upstream: usize, load: LoadDigest, _sampled_at: Instant) {
        self.known[upstream].load = load;
    }

    pub(super) fn mark_unreachable(&mut self, upstream: usize) {
        self.known[upstream].unreachable = true;
    }

    pub(super) fn left(&mut self, upstream: usize) {
        self.known[upstream].own_outstanding -= 1;
    }

    pub(super) fn place(
        &mut self,
        request: &RequestSpec,
        excluded: &[usize],
        _now: Instant,
    ) -> Option<usize> {
        self.turn += 1;
        let fitting: Vec<usize> = (0..self.known.len())
            .filter(|index| !excluded.contains(index) && self.fits(*index, request))
            .collect();
        let chosen = match self.policy {
            Policy::Scheduler => {
                let candidates: Vec<_> =
                    fitting.iter().map(|index| self.candidate(*index)).collect();
                choose_own(&candidates, &self.names, request)
            }
            _ => {
                let seen: Vec<_> = fitting.iter().map(|index| self.seen(*index)).collect();
                choose_baseline(self.policy, &seen, self.turn, request)
            }
        }?;
        self.known[chosen].own_outstanding += 1;
        Some(chosen)
    }

    fn fits(&self, index: usize, request: &RequestSpec) -> bool {
        let known = &self.known[index];
        known.spec.service == request.service && !known.unreachable
    }

    fn seen(&self, index: usize) -> Seen {
        let known = &self.known[index];
        Seen {
            upstream: index,
            own_outstanding: known.own_outstanding,
            reported: known.load.queued + known.load.running,
        }
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        let known = &self.known[index];
        let step_us = known.spec.step_base_us.max(1);
        Candidate {
            upstream: &self.names[index],
            speed: Speed {
                prefill_tokens_per_s: known.spec.prefill_tokens_per_s,
                decode_tokens_per_s: 1_000_000 / step_us,
            },
            outstanding: known.own_outstanding.max(known.load.queued + known.load.running),
            slots: known.spec.slots,
            queued_prefill_tokens: known.load.queued_prefill_tokens,
            distance: ROUND_TRIP,
        }
    }
}
