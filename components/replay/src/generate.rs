//! Synthetic traces of the users' two deployments.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::PREFILL_TIME_PER_STEP_US;
use crate::trace::{Fault, FaultKind, RequestSpec, Trace, UpstreamSpec};

/// Target time between two tokens, at which the capacity of an engine is computed.
const TARGET_TOKEN_GAP_S: f64 = 0.06;

/// Share of each customer in the traffic: a few large customers and some small ones.
const CUSTOMER_TRAFFIC_SHARES: [f64; 5] = [0.45, 0.30, 0.15, 0.06, 0.04];

/// Concurrent sessions of each request class that has sessions.
const CONCURRENT_SESSIONS: u32 = 24;

/// Factor by which the straggler is slower.
const STRAGGLER_SLOWDOWN: u32 = 5;

/// Factor of slots, and of lengths and deadlines of lower tiers, under
/// [`Disturbance::LongResponses`].
const LONG_RESPONSES_FACTOR: u32 = 4;

/// A deployment of the project's users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// The association: 20 engines and 3 booking workers.
    Association,
    /// The régie: 10 engines and 3 app workers.
    Regie,
}

/// Disturbance of a deployment during a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// Three times the traffic for a sixth of the time.
    Burst,
    /// One of the fastest engines becomes slow.
    Straggler,
    /// One availability zone is lost.
    ZoneLost,
    /// Responses of lower tiers are four times as long, and operators allow four times the slots.
    LongResponses,
}

/// A class of requests: its share of the traffic, its lengths in tokens and its deadline.
struct RequestClass {
    tier: u8,
    share: f64,
    prompt: (u32, u32),
    /// Share of the prompt that all requests of a session have in common.
    prefix_share: f64,
    tokens: (u32, u32),
    deadline_ms: u64,
    service: bool,
}

impl Deployment {
    fn request_classes(self) -> [RequestClass; 5] {
        let summary = match self {
            Deployment::Association => ((4_000, 16_000), 0.5, 60_000),
            Deployment::Regie => ((15_000, 45_000), 0.85, 120_000),
        };
        [
            request_class(0, 0.25, (150, 600), 0.0, (40, 120), 6_000, false),
            request_class(1, 0.20, (1_000, 4_000), 0.8, (100, 300), 20_000, false),
            request_class(2, 0.15, summary.0, summary.1, (300, 800), summary.2, false),
            request_class(3, 0.30, (50, 300), 0.0, (5, 20), 10_000, false),
            request_class(1, 0.10, (0, 0), 0.0, (1, 1), 5_000, true),
        ]
    }

    fn upstreams(self) -> Vec<UpstreamSpec> {
        let engines = match self {
            Deployment::Association => 20,
            Deployment::Regie => 10,
        };
        let generations = [
            (2_500, 26_000, 900, 16, 60_000),
            (5_000, 20_000, 700, 24, 120_000),
            (9_000, 16_000, 500, 32, 240_000),
            (16_000, 12_000, 400, 48, 400_000),
        ];
        let engine = |index: usize| {
            let (prefill, base, per, slots, cache) = generations[index % generations.len()];
            UpstreamSpec {
                zone: (index / generations.len() % 3) as u8,
                service: false,
                prefill_tokens_per_s: prefill,
                step_base_us: base,
                step_per_request_us: per,
                slots,
                cache_tokens: cache,
            }
        };
        let service = |index: usize| UpstreamSpec {
            zone: index as u8,
            service: true,
            prefill_tokens_per_s: 1_000,
            step_base_us: 40_000,
            step_per_request_us: 0,
            slots: 8,
            cache_tokens: 0,
        };
        (0..engines).map(engine).chain((0..3).map(service)).collect()
    }
}

fn request_class(
    tier: u8,
    share: f64,
    prompt: (u32, u32),
    prefix_share: f64,
    tokens: (u32, u32),
    deadline_ms: u64,
    service: bool,
) -> RequestClass {
    RequestClass { tier, share, prompt, prefix_share, tokens, deadline_ms, service }
}

/// Returns the number of requests per second that the engines complete while they keep the target
/// time between tokens, with no prompt cached.
pub fn capacity_per_s(deployment: Deployment) -> f64 {
    let classes = deployment.request_classes();
    let model_classes = || classes.iter().filter(|class| !class.service);
    let midpoint = |range: (u32, u32)| f64::from(range.0 + range.1) / 2.0;
    let prompt: f64 = model_classes().map(|class| class.share * midpoint(class.prompt)).sum();
    let tokens: f64 = model_classes().map(|class| class.share * midpoint(class.tokens)).sum();
    let engines = deployment.upstreams();
    let engine_rate = |engine: &UpstreamSpec| {
        let base_s = f64::from(engine.step_base_us) / 1e6;
        let prefill_s = prompt / f64::from(engine.prefill_tokens_per_s);
        let request_s = tokens * f64::from(engine.step_per_request_us) / 1e6 + prefill_s;
        let target_limit = (TARGET_TOKEN_GAP_S - base_s) / request_s;
        let prefill_limit = PREFILL_TIME_PER_STEP_US as f64 / 1e6 / prefill_s;
        let requests_per_step = target_limit.min(prefill_limit);
        requests_per_step / (base_s + requests_per_step * request_s)
    };
    engines.iter().filter(|engine| !engine.service).map(engine_rate).sum()
}

/// Generates a random trace; `load` is relative to [`capacity_per_s`].
pub fn generate(
    deployment: Deployment,
    load: f64,
    disturbance: Disturbance,
    duration_s: u32,
    seed: u64,
) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rate = capacity_per_s(deployment) * load;
    let classes = deployment.request_classes();
    let end_us = u64::from(duration_s) * 1_000_000;
    let mut trace = Trace { upstreams: deployment.upstreams(), ..Trace::default() };
    if disturbance == Disturbance::LongResponses {
        trace.upstreams.iter_mut().for_each(|upstream| upstream.slots *= LONG_RESPONSES_FACTOR);
    }
    let mut at_us = 0;
    loop {
        let in_burst =
            disturbance == Disturbance::Burst && (end_us / 3..end_us / 2).contains(&at_us);
        let current_rate = if in_burst { rate * 3.0 } else { rate };
        let wait_s = -(1.0 - rng.random::<f64>()).ln() / current_rate;
        at_us += (wait_s * 1e6) as u64;
        if at_us >= end_us {
            break;
        }
        let mut request = sample_request(&mut rng, &classes, at_us);
        if disturbance == Disturbance::LongResponses && request.tier > 0 && !request.service {
            request.tokens *= LONG_RESPONSES_FACTOR;
            request.max_tokens *= LONG_RESPONSES_FACTOR;
            request.deadline_ms *= u64::from(LONG_RESPONSES_FACTOR);
        }
        trace.requests.push(request);
    }
    trace.faults.extend(fault_of(disturbance, end_us / 3));
    trace
}

fn fault_of(disturbance: Disturbance, at_us: u64) -> Option<Fault> {
    let what = match disturbance {
        Disturbance::Straggler => FaultKind::Straggler { upstream: 3, factor: STRAGGLER_SLOWDOWN },
        Disturbance::ZoneLost => FaultKind::ZoneLost { zone: 1 },
        Disturbance::None | Disturbance::Burst | Disturbance::LongResponses => return None,
    };
    Some(Fault { at_us, what })
}

fn sample_request(rng: &mut ChaCha8Rng, classes: &[RequestClass; 5], at_us: u64) -> RequestSpec {
    let class = &classes[sample_weighted_index(rng, &classes.each_ref().map(|class| class.share))];
    let customer = sample_weighted_index(rng, &CUSTOMER_TRAFFIC_SHARES) as u8;
    // The set of concurrent sessions changes every four seconds.
    let generation = (at_us / 4_000_000) as u32;
    let session_index = rng.random_range(0..CONCURRENT_SESSIONS);
    let session = 1
        + u32::from(class.tier) * 1_000_000
        + (generation + session_index) * 8
        + session_index % 8;
    let has_session = class.prefix_share > 0.0;
    // All requests of a session have the same prompt length, and with it the same prefix length, so
    // it is sampled from a generator seeded with the session number.
    let mut session_rng = ChaCha8Rng::seed_from_u64(session.into());
    let (low, high) = class.prompt;
    let prompt_tokens = if has_session {
        session_rng.random_range(low..=high)
    } else {
        rng.random_range(low..=high)
    };
    let prefix_tokens = (f64::from(prompt_tokens) * class.prefix_share) as u32;
    let max_tokens = class.tokens.1;
    RequestSpec {
        at_us,
        customer,
        tier: class.tier,
        service: class.service,
        prompt_tokens,
        prefix_tokens,
        session: if has_session { session } else { 0 },
        max_tokens,
        tokens: rng.random_range(class.tokens.0..=max_tokens),
        deadline_ms: class.deadline_ms,
    }
}

fn sample_weighted_index(rng: &mut ChaCha8Rng, shares: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * shares.iter().sum::<f64>();
    for (index, share) in shares.iter().enumerate() {
        if left < *share {
            return index;
        }
        left -= share;
    }
    shares.len() - 1
}
