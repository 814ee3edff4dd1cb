//! A fake of an engine: continuous batching, shared prefill, a bounded prefix cache.

use std::collections::VecDeque;

use crate::trace::UpstreamSpec;

/// Time of each step that goes to prefill while any request is in prefill.
pub(crate) const PREFILL_SHARE_US: u64 = 20_000;

/// A request inside the engine.
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

/// What came out of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// A token of a request.
    Token(usize),
    /// The last token of a request.
    Last(usize),
}

/// Prompt work of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prefill {
    /// Tokens that the cache held.
    pub cached: u32,
    /// Tokens that were computed.
    pub computed: u32,
}

/// The fake.
#[derive(Debug)]
pub struct Engine {
    spec: UpstreamSpec,
    slowdown: u32,
    batch: Vec<Sequence>,
    /// Sessions in the cache with the tokens held, the most recent last.
    cache: VecDeque<(u32, u32)>,
    step_prefill_tokens: u32,
}

impl Engine {
    /// An idle engine.
    pub fn new(spec: UpstreamSpec) -> Engine {
        Engine {
            spec,
            slowdown: 1,
            batch: Vec::new(),
            cache: VecDeque::new(),
            step_prefill_tokens: 0,
        }
    }

    /// Makes every step slower.
    pub fn slow_down(&mut self, factor: u32) {
        self.slowdown = factor;
    }

    /// Admits a request.
    pub fn admit(&mut self, request: usize, spec: &crate::trace::RequestSpec) {
        let cached = self.look_up(spec.session).min(spec.prefix_tokens);
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

    /// Drops a request and says how much of its prompt was computed.
    pub fn abort(&mut self, request: usize) -> Prefill {
        let Some(index) = self.batch.iter().position(|sequence| sequence.request == request) else {
            return Prefill::default();
        };
        let sequence = self.batch.remove(index);
        Prefill { cached: sequence.cached, computed: sequence.computed }
    }

    /// Prompt work of a request so far.
    pub fn prefill_of(&self, request: usize) -> Prefill {
        let sequence = self.batch.iter().find(|sequence| sequence.request == request);
        sequence.map_or(Prefill::default(), |sequence| Prefill {
            cached: sequence.cached,
            computed: sequence.computed,
        })
    }

    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.batch.is_empty()
    }

    /// Every request inside.
    pub fn requests(&self) -> Vec<usize> {
        self.batch.iter().map(|sequence| sequence.request).collect()
    }

    /// Begins a step and says how long it takes.
    pub fn begin_step(&mut self) -> u64 {
        let waiting: u64 = self.batch.iter().map(|sequence| u64::from(sequence.prefill_left)).sum();
        let budget =
            (u64::from(self.spec.prefill_tokens_per_s) * PREFILL_SHARE_US / 1_000_000).max(1);
        let prefill = waiting.min(budget);
        self.step_prefill_tokens = prefill as u32;
        let decoding =
            self.batch.iter().filter(|sequence| sequence.prefill_left == 0).count() as u64;
        let prefill_us = prefill * 1_000_000 / u64::from(self.spec.prefill_tokens_per_s);
        let step_us = u64::from(self.spec.step_base_us)
            + u64::from(self.spec.step_per_request_us) * decoding
            + prefill_us;
        step_us * u64::from(self.slowdown)
    }

    /// Ends the step that was begun.
    pub fn end_step(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        for sequence in self.batch.iter_mut().filter(|sequence| sequence.prefill_left == 0) {
            sequence.decode_left -= 1;
            outputs.push(match sequence.decode_left {
                0 => Output::Last(sequence.request),
                _ => Output::Token(sequence.request),
            });
        }
        self.spend_prefill();
        self.remember_prefixes();
        outputs
    }

    /// Drops the requests that are done; their prompt work is read before.
    pub fn forget_done(&mut self) {
        self.batch.retain(|sequence| sequence.decode_left > 0);
    }

    /// Shares the prefill of the step evenly, the shortest first where it does not divide.
    fn spend_prefill(&mut self) {
        let mut budget = std::mem::take(&mut self.step_prefill_tokens);
        let mut open: Vec<&mut Sequence> =
            self.batch.iter_mut().filter(|sequence| sequence.prefill_left > 0).collect();
        open.sort_by_key(|sequence| sequence.prefill_left);
        let mut sharers = open.len() as u32;
        for sequence in open {
            let spent = sequence.prefill_left.min(budget.div_ceil(sharers));
            sequence.prefill_left -= spent;
            sequence.computed += spent;
            budget -= spent;
            sharers -= 1;
        }
    }

    fn remember_prefixes(&mut self) {
        let mut fresh = Vec::new();
        for sequence in &self.batch {
            if sequence.session != 0 && sequence.computed > 0 && sequence.prefill_left == 0 {
                fresh.push((sequence.session, sequence.prefix_tokens));
            }
        }
        for (session, tokens) in fresh {
            let held = self.look_up(session).max(tokens);
            self.cache.retain(|(known, _)| *known != session);
            self.cache.push_back((session, held));
        }
        let mut total: u32 = self.cache.iter().map(|(_, tokens)| tokens).sum();
        while total > self.spec.cache_tokens {
            let Some((_, tokens)) = self.cache.pop_front() else { break };
            total -= tokens;
        }
    }

    fn look_up(&self, session: u32) -> u32 {
        let found = self.cache.iter().find(|(known, _)| *known == session && session != 0);
        found.map_or(0, |(_, tokens)| *tokens)
    }
}
