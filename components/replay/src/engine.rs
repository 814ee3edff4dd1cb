//! Simulated engine: continuous batching, shared prefill and a bounded prefix cache.

use std::collections::VecDeque;

use crate::trace::UpstreamSpec;

/// Largest part of a step's time that is spent on prefill.
pub(crate) const PREFILL_TIME_PER_STEP_US: u64 = 20_000;

/// A request in the engine's batch, with its progress in tokens.
#[derive(Debug)]
struct Sequence {
    request: usize,
    session: u32,
    prefix_tokens: u32,
    cached: u32,
    prefill_left: u32,
    computed: u32,
    decode_left: u32,
}

/// A token generated in a step, for the request of that index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// A token that is followed by further ones.
    Token(usize),
    /// The last token of its request.
    Last(usize),
}

/// Prompt tokens of one request that are cached or computed so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillTokens {
    /// Tokens found in the prefix cache.
    pub cached: u32,
    /// Tokens computed so far.
    pub computed: u32,
}

/// A simulated engine, driven step by step.
#[derive(Debug)]
pub struct SimulatedEngine {
    spec: UpstreamSpec,
    slowdown: u32,
    batch: Vec<Sequence>,
    /// Cached sessions with the number of their prefix tokens, the most recent last.
    prefix_cache: VecDeque<(u32, u32)>,
    step_prefill_tokens: u32,
}

impl SimulatedEngine {
    /// Creates an idle engine.
    pub fn new(spec: UpstreamSpec) -> SimulatedEngine {
        SimulatedEngine {
            spec,
            slowdown: 1,
            batch: Vec::new(),
            prefix_cache: VecDeque::new(),
            step_prefill_tokens: 0,
        }
    }

    /// Multiplies the duration of every following step by a factor.
    pub fn set_slowdown(&mut self, factor: u32) {
        self.slowdown = factor;
    }

    /// Adds a request to the batch.
    pub fn add_request(&mut self, request: usize, spec: &crate::trace::RequestSpec) {
        let cached = self.cached_tokens(spec.session).min(spec.prefix_tokens);
        self.batch.push(Sequence {
            request,
            session: spec.session,
            prefix_tokens: spec.prefix_tokens,
            cached,
            prefill_left: spec.prompt_tokens - cached,
            computed: 0,
            decode_left: spec.tokens.max(1),
        });
    }

    /// Removes a request and returns its prompt tokens so far.
    pub fn abort_request(&mut self, request: usize) -> PrefillTokens {
        let Some(index) = self.batch.iter().position(|sequence| sequence.request == request) else {
            return PrefillTokens::default();
        };
        let sequence = self.batch.remove(index);
        PrefillTokens { cached: sequence.cached, computed: sequence.computed }
    }

    /// Returns the prompt tokens of a request so far.
    pub fn prefill_of(&self, request: usize) -> PrefillTokens {
        let sequence = self.batch.iter().find(|sequence| sequence.request == request);
        sequence.map_or(PrefillTokens::default(), |sequence| PrefillTokens {
            cached: sequence.cached,
            computed: sequence.computed,
        })
    }

    /// Returns whether the batch is empty.
    pub fn is_idle(&self) -> bool {
        self.batch.is_empty()
    }

    /// Returns the requests in the batch.
    pub fn requests(&self) -> Vec<usize> {
        self.batch.iter().map(|sequence| sequence.request).collect()
    }

    /// Begins a step and returns its duration in microseconds.
    pub fn begin_step(&mut self) -> u64 {
        let pending_tokens: u64 =
            self.batch.iter().map(|sequence| u64::from(sequence.prefill_left)).sum();
        let budget_tokens = (u64::from(self.spec.prefill_tokens_per_s) * PREFILL_TIME_PER_STEP_US
            / 1_000_000)
            .max(1);
        let prefill_tokens = pending_tokens.min(budget_tokens);
        self.step_prefill_tokens = prefill_tokens as u32;
        let decoding =
            self.batch.iter().filter(|sequence| sequence.prefill_left == 0).count() as u64;
        let prefill_us = prefill_tokens * 1_000_000 / u64::from(self.spec.prefill_tokens_per_s);
        let step_us = u64::from(self.spec.step_base_us)
            + u64::from(self.spec.step_per_request_us) * decoding
            + prefill_us;
        step_us * u64::from(self.slowdown)
    }

    /// Ends the current step and returns the tokens that it generated.
    pub fn end_step(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        for sequence in self.batch.iter_mut().filter(|sequence| sequence.prefill_left == 0) {
            sequence.decode_left -= 1;
            outputs.push(match sequence.decode_left {
                0 => Output::Last(sequence.request),
                _ => Output::Token(sequence.request),
            });
        }
        self.distribute_prefill();
        self.cache_prefixes();
        outputs
    }

    /// Removes the finished requests. Kept apart from [`SimulatedEngine::end_step`], so that their
    /// prompt tokens can still be read with [`SimulatedEngine::prefill_of`].
    pub fn remove_finished(&mut self) {
        self.batch.retain(|sequence| sequence.decode_left > 0);
    }

    /// Distributes the prefill tokens of the step evenly over the requests in prefill.
    ///
    /// Those with the least prefill left come first: they get the remainder of the division, and
    /// what they do not need goes to the others.
    fn distribute_prefill(&mut self) {
        let mut budget_tokens = std::mem::take(&mut self.step_prefill_tokens);
        let mut prefilling: Vec<&mut Sequence> =
            self.batch.iter_mut().filter(|sequence| sequence.prefill_left > 0).collect();
        prefilling.sort_by_key(|sequence| sequence.prefill_left);
        let mut sequences_left = prefilling.len() as u32;
        for sequence in prefilling {
            let tokens = sequence.prefill_left.min(budget_tokens.div_ceil(sequences_left));
            sequence.prefill_left -= tokens;
            sequence.computed += tokens;
            budget_tokens -= tokens;
            sequences_left -= 1;
        }
    }

    /// Caches the session prefixes of requests whose prefill is done, and evicts the oldest
    /// prefixes beyond the capacity.
    fn cache_prefixes(&mut self) {
        let mut computed = Vec::new();
        for sequence in &self.batch {
            if sequence.session != 0 && sequence.computed > 0 && sequence.prefill_left == 0 {
                computed.push((sequence.session, sequence.prefix_tokens));
            }
        }
        for (session, tokens) in computed {
            let cached_tokens = self.cached_tokens(session).max(tokens);
            self.prefix_cache.retain(|(cached_session, _)| *cached_session != session);
            self.prefix_cache.push_back((session, cached_tokens));
        }
        let mut total_tokens: u32 = self.prefix_cache.iter().map(|(_, tokens)| tokens).sum();
        while total_tokens > self.spec.cache_tokens {
            let Some((_, tokens)) = self.prefix_cache.pop_front() else { break };
            total_tokens -= tokens;
        }
    }

    fn cached_tokens(&self, session: u32) -> u32 {
        let found = self
            .prefix_cache
            .iter()
            .find(|(cached_session, _)| *cached_session == session && session != 0);
        found.map_or(0, |(_, tokens)| *tokens)
    }
}
