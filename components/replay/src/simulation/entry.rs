//! An entry host in the simulation: its view of the upstreams, and its placement policy.

use std::time::{Duration, Instant};

use identity::{Tier, UpstreamId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schedule::cost::{RequestSize, Speed};
use schedule::placement::{Candidate, Placement, PlacementRequest, Placer};
use schedule::prefix::PromptFingerprint;
use wire::LoadDigest;

use super::Options;
use crate::policy::{BaselineCandidate, Policy, choose_baseline};
use crate::trace::{RequestSpec, UpstreamSpec};

/// Round trip to every upstream of the replay.
const ROUND_TRIP: Duration = Duration::from_millis(1);

/// An upstream as one entry host sees it.
#[derive(Debug, Clone)]
struct UpstreamView {
    spec: UpstreamSpec,
    load: LoadDigest,
    reported_at: Option<Instant>,
    own_outstanding: u32,
    unreachable: bool,
}

#[derive(Debug)]
pub(super) struct EntryState {
    names: Vec<UpstreamId>,
    views: Vec<UpstreamView>,
    policy: Policy,
    placer: Placer,
    rng: ChaCha8Rng,
    round_robin_counter: u64,
}

impl EntryState {
    pub(super) fn new(specs: &[UpstreamSpec], entry_index: u64, options: Options) -> EntryState {
        let new_view = |spec: &UpstreamSpec| UpstreamView {
            spec: spec.clone(),
            load: LoadDigest::default(),
            reported_at: None,
            own_outstanding: 0,
            unreachable: false,
        };
        EntryState {
            names: (0..specs.len()).map(|index| UpstreamId::new(format!("u{index:03}"))).collect(),
            views: specs.iter().map(new_view).collect(),
            policy: options.policy,
            placer: Placer::new(options.placement_rules),
            rng: ChaCha8Rng::seed_from_u64(options.seed.wrapping_add(entry_index)),
            round_robin_counter: entry_index,
        }
    }

    pub(super) fn update_load(&mut self, upstream: usize, load: LoadDigest, reported_at: Instant) {
        self.views[upstream].load = load;
        self.views[upstream].reported_at = Some(reported_at);
    }

    pub(super) fn mark_unreachable(&mut self, upstream: usize) {
        self.views[upstream].unreachable = true;
    }

    pub(super) fn release_request(&mut self, upstream: usize) {
        self.views[upstream].own_outstanding -= 1;
    }

    /// Places a request and counts it as outstanding at the chosen upstream.
    pub(super) fn place_request(
        &mut self,
        request: &RequestSpec,
        excluded: &[usize],
        now: Instant,
    ) -> Option<usize> {
        self.round_robin_counter += 1;
        let eligible: Vec<usize> = (0..self.views.len())
            .filter(|index| !excluded.contains(index) && self.is_eligible(*index, request))
            .collect();
        let chosen = match self.policy {
            Policy::Scheduler => self.place_by_scheduler(&eligible, request, now),
            _ => {
                let candidates: Vec<_> =
                    eligible.iter().map(|index| self.build_baseline_candidate(*index)).collect();
                choose_baseline(self.policy, &candidates, self.round_robin_counter, request)
            }
        }?;
        self.views[chosen].own_outstanding += 1;
        Some(chosen)
    }

    fn is_eligible(&self, index: usize, request: &RequestSpec) -> bool {
        let view = &self.views[index];
        view.spec.service == request.service && !view.unreachable
    }

    fn build_baseline_candidate(&self, index: usize) -> BaselineCandidate {
        let view = &self.views[index];
        BaselineCandidate {
            upstream: index,
            own_outstanding: view.own_outstanding,
            reported_requests: view.load.queued + view.load.running,
        }
    }

    fn place_by_scheduler(
        &mut self,
        eligible: &[usize],
        request: &RequestSpec,
        now: Instant,
    ) -> Option<usize> {
        let candidates: Vec<Candidate<'_>> = eligible
            .iter()
            .map(|index| build_candidate(&self.names[*index], &self.views[*index]))
            .collect();
        let placement_request = PlacementRequest {
            size: RequestSize {
                prompt_tokens: request.prompt_tokens,
                max_tokens: request.max_tokens,
            },
            tier: Tier(request.tier),
            prompt: &build_fingerprint(request),
            now,
            random: self.rng.random(),
        };
        match self.placer.place_request(&candidates, &placement_request) {
            Placement::Upstream { upstream, .. } => {
                self.names.iter().position(|name| name == upstream)
            }
            Placement::NoUpstream => None,
        }
    }
}

fn build_candidate<'a>(name: &'a UpstreamId, view: &UpstreamView) -> Candidate<'a> {
    Candidate {
        upstream: name,
        speed: Speed {
            prefill_tokens_per_s: view.spec.prefill_tokens_per_s,
            decode_tokens_per_s: 1_000_000 / view.spec.step_base_us.max(1),
        },
        slots: view.spec.slots,
        load: view.load,
        reported_at: view.reported_at,
        own_outstanding: view.own_outstanding,
        round_trip: ROUND_TRIP,
    }
}

/// Builds the fingerprint of a prompt: requests of one session have the blocks of the shared prefix
/// in common; all later blocks belong to one request only.
fn build_fingerprint(request: &RequestSpec) -> PromptFingerprint {
    let block = PromptFingerprint::block_tokens();
    let shared_blocks = u64::from(request.prefix_tokens / block);
    let chain = (0..u64::from(request.prompt_tokens / block)).map(|index| {
        let block_seed =
            if index < shared_blocks { u64::from(request.session) } else { !request.at_us };
        block_seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(index)
    });
    PromptFingerprint::from_chained_hashes(chain.collect())
}
