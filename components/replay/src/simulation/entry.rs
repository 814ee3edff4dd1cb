//! An entry host during the replay: what it has heard, and the policy that places.

use std::time::{Duration, Instant};

use identity::{Tier, UpstreamId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schedule::cost::{RequestSize, Speed};
use schedule::placement::{Candidate, Placement, PlacementRequest, Placer};
use schedule::prefix::PromptFingerprint;
use wire::LoadDigest;

use super::Options;
use crate::policy::{Policy, Seen, choose_baseline};
use crate::trace::{RequestSpec, UpstreamSpec};

/// Round trip to every upstream of the replay.
const ROUND_TRIP: Duration = Duration::from_millis(1);

#[derive(Debug, Clone)]
struct Known {
    spec: UpstreamSpec,
    load: LoadDigest,
    sampled_at: Option<Instant>,
    own_outstanding: u32,
    unreachable: bool,
}

#[derive(Debug)]
pub(super) struct EntryState {
    names: Vec<UpstreamId>,
    known: Vec<Known>,
    policy: Policy,
    placer: Placer,
    random: ChaCha8Rng,
    turn: u64,
}

impl EntryState {
    pub(super) fn new(specs: &[UpstreamSpec], turn: u64, options: Options) -> EntryState {
        let known = |spec: &UpstreamSpec| Known {
            spec: spec.clone(),
            load: LoadDigest::default(),
            sampled_at: None,
            own_outstanding: 0,
            unreachable: false,
        };
        EntryState {
            names: (0..specs.len()).map(|index| UpstreamId::new(format!("u{index:03}"))).collect(),
            known: specs.iter().map(known).collect(),
            policy: options.policy,
            placer: Placer::new(options.placement_rules),
            random: ChaCha8Rng::seed_from_u64(options.seed.wrapping_add(turn)),
            turn,
        }
    }

    pub(super) fn hear(&mut self, upstream: usize, load: LoadDigest, sampled_at: Instant) {
        self.known[upstream].load = load;
        self.known[upstream].sampled_at = Some(sampled_at);
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
        now: Instant,
    ) -> Option<usize> {
        self.turn += 1;
        let fitting: Vec<usize> = (0..self.known.len())
            .filter(|index| !excluded.contains(index) && self.fits(*index, request))
            .collect();
        let chosen = match self.policy {
            Policy::Scheduler => self.place_own(&fitting, request, now),
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

    fn place_own(
        &mut self,
        fitting: &[usize],
        request: &RequestSpec,
        now: Instant,
    ) -> Option<usize> {
        let candidates: Vec<Candidate<'_>> = fitting
            .iter()
            .map(|index| candidate(&self.names[*index], &self.known[*index]))
            .collect();
        let placement_request = PlacementRequest {
            size: RequestSize {
                prompt_tokens: request.prompt_tokens,
                max_tokens: request.max_tokens,
            },
            tier: Tier(request.tier),
            prompt: &fingerprint(request),
            now,
            random: self.random.random(),
        };
        match self.placer.place_request(&candidates, &placement_request) {
            Placement::Upstream { upstream, .. } => {
                self.names.iter().position(|name| name == upstream)
            }
            Placement::NoUpstream => None,
        }
    }
}

fn candidate<'a>(name: &'a UpstreamId, known: &Known) -> Candidate<'a> {
    Candidate {
        upstream: name,
        speed: Speed {
            prefill_tokens_per_s: known.spec.prefill_tokens_per_s,
            decode_tokens_per_s: 1_000_000 / known.spec.step_base_us.max(1),
        },
        slots: known.spec.slots,
        load: known.load,
        reported_at: known.sampled_at,
        own_outstanding: known.own_outstanding,
        round_trip: ROUND_TRIP,
    }
}

/// Blocks of the shared start are alike for a session, those after it for no other request.
fn fingerprint(request: &RequestSpec) -> PromptFingerprint {
    let block = PromptFingerprint::block_tokens();
    let shared = u64::from(request.prefix_tokens / block);
    let chain = (0..u64::from(request.prompt_tokens / block)).map(|index| {
        let owner = if index < shared { u64::from(request.session) } else { !request.at_us };
        owner.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(index)
    });
    PromptFingerprint::from_chained_hashes(chain.collect())
}
