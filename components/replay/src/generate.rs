//! Generated traces of the two deployments.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::PREFILL_SHARE_US;
use crate::trace::{Fault, FaultKind, RequestSpec, Trace, UpstreamSpec};

/// Time between tokens at which capacity is counted.
const TARGET_STEP_S: f64 = 0.06;

/// Shares of the customers in the traffic: a few large ones, some small.
const CUSTOMER_SHARES: [f64; 5] = [0.45, 0.30, 0.15, 0.06, 0.04];

/// Sessions that are open at the same time, for each kind of request that has any.
const OPEN_SESSIONS: u32 = 24;

/// Factor by which the straggler is slower.
const STRAGGLER_FACTOR: u32 = 5;

/// Factor for slots and for answers of lower tiers where answers are long.
const LONG_ANSWERS_FACTOR: u32 = 4;

/// A deployment of the users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// The association: 20 engines and 3 booking workers.
    Association,
    /// The régie: 10 engines and 3 app workers.
    Regie,
}

/// Disturbance of the deployment in a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// Three times the traffic for a sixth of the time.
    Burst,
    /// One of the fastest engines becomes slow.
    Straggler,
    /// One availability zone is lost.
    ZoneLost,
    /// Answers of lower tiers are four times as long, and operators allow four times the slots.
    LongAnswers,
}

/// Lengths and deadline of a kind of request.
struct Mix {
    tier: u8,
    share: f64,
    prompt: (u32, u32),
    /// Share of the prompt that its session has in common.
    prefix_share: f64,
    tokens: (u32, u32),
    deadline_ms: u64,
    service: bool,
}

impl Deployment {
    fn mix(self) -> [Mix; 5] {
        let summary = match self {
            Deployment::Association => ((4_000, 16_000), 0.5, 60_000),
            Deployment::Regie => ((15_000, 45_000), 0.85, 120_000),
        };
        [
            kind(0, 0.25, (150, 600), 0.0, (40, 120), 6_000, false),
            kind(1, 0.20, (1_000, 4_000), 0.8, (100, 300), 20_000, false),
            kind(2, 0.15, summary.0, summary.1, (300, 800), summary.2, false),
            kind(3, 0.30, (50, 300), 0.0, (5, 20), 10_000, false),
            kind(1, 0.10, (0, 0), 0.0, (1, 1), 5_000, true),
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

fn kind(
    tier: u8,
    share: f64,
    prompt: (u32, u32),
    prefix_share: f64,
    tokens: (u32, u32),
    deadline_ms: u64,
    service: bool,
) -> Mix {
    Mix { tier, share, prompt, prefix_share, tokens, deadline_ms, service }
}

/// Requests a second that the engines carry within the target between tokens, no prompt cached.
pub fn capacity_per_s(deployment: Deployment) -> f64 {
    let mix = deployment.mix();
    let model = || mix.iter().filter(|kind| !kind.service);
    let middle = |range: (u32, u32)| f64::from(range.0 + range.1) / 2.0;
    let prompt: f64 = model().map(|kind| kind.share * middle(kind.prompt)).sum();
    let tokens: f64 = model().map(|kind| kind.share * middle(kind.tokens)).sum();
    let engines = deployment.upstreams();
    let rate = |engine: &UpstreamSpec| {
        let base_s = f64::from(engine.step_base_us) / 1e6;
        let prefill_s = prompt / f64::from(engine.prefill_tokens_per_s);
        let request_s = tokens * f64::from(engine.step_per_request_us) / 1e6 + prefill_s;
        let within_target = (TARGET_STEP_S - base_s) / request_s;
        let within_prefill = PREFILL_SHARE_US as f64 / 1e6 / prefill_s;
        let requests = within_target.min(within_prefill);
        requests / (base_s + requests * request_s)
    };
    engines.iter().filter(|engine| !engine.service).map(rate).sum()
}

/// Draws a trace.
pub fn generate(
    deployment: Deployment,
    load: f64,
    disturbance: Disturbance,
    duration_s: u32,
    seed: u64,
) -> Trace {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let rate = capacity_per_s(deployment) * load;
    let mix = deployment.mix();
    let end_us = u64::from(duration_s) * 1_000_000;
    let mut trace = Trace { upstreams: deployment.upstreams(), ..Trace::default() };
    if disturbance == Disturbance::LongAnswers {
        trace.upstreams.iter_mut().for_each(|upstream| upstream.slots *= LONG_ANSWERS_FACTOR);
    }
    let mut at_us = 0;
    loop {
        let in_burst =
            disturbance == Disturbance::Burst && (end_us / 3..end_us / 2).contains(&at_us);
        let rate_now = if in_burst { rate * 3.0 } else { rate };
        let wait_s = -(1.0 - random.random::<f64>()).ln() / rate_now;
        at_us += (wait_s * 1e6) as u64;
        if at_us >= end_us {
            break;
        }
        let mut request = draw_request(&mut random, &mix, at_us);
        if disturbance == Disturbance::LongAnswers && request.tier > 0 && !request.service {
            request.tokens *= LONG_ANSWERS_FACTOR;
            request.max_tokens *= LONG_ANSWERS_FACTOR;
            request.deadline_ms *= u64::from(LONG_ANSWERS_FACTOR);
        }
        trace.requests.push(request);
    }
    trace.faults.extend(fault(disturbance, end_us / 3));
    trace
}

fn fault(disturbance: Disturbance, at_us: u64) -> Option<Fault> {
    let what = match disturbance {
        Disturbance::Straggler => FaultKind::Straggler { upstream: 3, factor: STRAGGLER_FACTOR },
        Disturbance::ZoneLost => FaultKind::ZoneLost { zone: 1 },
        Disturbance::None | Disturbance::Burst | Disturbance::LongAnswers => return None,
    };
    Some(Fault { at_us, what })
}

fn draw_request(random: &mut ChaCha8Rng, mix: &[Mix; 5], at_us: u64) -> RequestSpec {
    let kind = &mix[draw_index(random, &mix.each_ref().map(|kind| kind.share))];
    let customer = draw_index(random, &CUSTOMER_SHARES) as u8;
    // Sessions move on: an old one ends and a new one begins every few seconds.
    let generation = (at_us / 4_000_000) as u32;
    let slot = random.random_range(0..OPEN_SESSIONS);
    let session = 1 + u32::from(kind.tier) * 1_000_000 + (generation + slot) * 8 + slot % 8;
    let has_session = kind.prefix_share > 0.0;
    // A session's shared start has one length, drawn from its number.
    let mut own = ChaCha8Rng::seed_from_u64(session.into());
    let (low, high) = kind.prompt;
    let whole =
        if has_session { own.random_range(low..=high) } else { random.random_range(low..=high) };
    let prefix_tokens = (f64::from(whole) * kind.prefix_share) as u32;
    let max_tokens = kind.tokens.1;
    RequestSpec {
        at_us,
        customer,
        tier: kind.tier,
        service: kind.service,
        prompt_tokens: whole,
        prefix_tokens,
        session: if has_session { session } else { 0 },
        max_tokens,
        tokens: random.random_range(kind.tokens.0..=max_tokens),
        deadline_ms: kind.deadline_ms,
    }
}

fn draw_index(random: &mut ChaCha8Rng, shares: &[f64]) -> usize {
    let mut left = random.random::<f64>() * shares.iter().sum::<f64>();
    for (index, share) in shares.iter().enumerate() {
        if left < *share {
            return index;
        }
        left -= share;
    }
    shares.len() - 1
}
