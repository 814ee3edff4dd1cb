//! Continuous batching: each step prefills a chunk of prompt tokens and decodes one token for each
//! request whose prefill is done.

use std::time::Duration;

use super::EngineSettings;

/// Largest number of prompt tokens that one step prefills.
const PREFILL_CHUNK_TOKENS: u32 = 512;

/// Divisor of costs that are given in thousandths.
const PERMILLE_DIVISOR: f64 = 1000.0;

/// A request in the batch, with its progress in tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
struct BatchedRequest {
    id: String,
    prefill_left: u32,
    prefill_done: u32,
    decoded: u32,
    tokens: u32,
}

/// Result of one step.
#[derive(Debug, Default, PartialEq)]
pub(super) struct StepResult {
    /// Time that the step takes.
    pub(super) duration: Duration,
    /// Prompt tokens computed.
    pub(super) prefill_tokens: u32,
    /// Requests whose prefill finished in this step.
    pub(super) prefill_finished: Vec<String>,
    /// Requests that got a token, each with the index of that token.
    pub(super) decoded: Vec<(String, u32)>,
    /// Requests that got their last token.
    pub(super) finished: Vec<String>,
}

/// Requests that an engine is running.
#[derive(Debug, Default)]
pub(super) struct Batch {
    requests: Vec<BatchedRequest>,
}

impl Batch {
    /// Adds a request with prompt tokens to compute and tokens to generate.
    pub(super) fn add_request(&mut self, id: &str, prefill: u32, tokens: u32) {
        self.requests.push(BatchedRequest {
            id: id.to_owned(),
            prefill_left: prefill,
            prefill_done: 0,
            decoded: 0,
            tokens,
        });
    }

    /// Removes a request and returns the number of prompt tokens computed for it.
    pub(super) fn remove_request(&mut self, id: &str) -> Option<u32> {
        let index = self.requests.iter().position(|request| request.id == id)?;
        Some(self.requests.remove(index).prefill_done)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests, of prompt tokens left to compute and of tokens left to
    /// generate.
    pub(super) fn load(&self) -> (usize, u64, u64) {
        let prefill = self.requests.iter().map(|request| u64::from(request.prefill_left)).sum();
        let decode =
            self.requests.iter().map(|request| u64::from(request.tokens - request.decoded)).sum();
        (self.requests.len(), prefill, decode)
    }

    /// Runs one step over the batch.
    pub(super) fn run_step(&mut self, settings: &EngineSettings) -> StepResult {
        let mut step = StepResult::default();
        let mut chunk_left = PREFILL_CHUNK_TOKENS;
        for request in &mut self.requests {
            if request.prefill_left == 0 {
                request.decode(&mut step);
                continue;
            }
            let tokens = request.prefill_left.min(chunk_left);
            chunk_left -= tokens;
            request.prefill(tokens, &mut step);
        }
        self.requests.retain(|request| request.decoded < request.tokens);
        step.duration = step_duration(&step, settings);
        step
    }
}

impl BatchedRequest {
    fn prefill(&mut self, tokens: u32, step: &mut StepResult) {
        self.prefill_left -= tokens;
        self.prefill_done += tokens;
        step.prefill_tokens += tokens;
        if self.prefill_left == 0 {
            step.prefill_finished.push(self.id.clone());
        }
    }

    fn decode(&mut self, step: &mut StepResult) {
        step.decoded.push((self.id.clone(), self.decoded));
        self.decoded += 1;
        if self.decoded == self.tokens {
            step.finished.push(self.id.clone());
        }
    }
}

/// Prefill time plus decode time; the latter grows with each further request that decodes.
fn step_duration(step: &StepResult, settings: &EngineSettings) -> Duration {
    let prefill_s = f64::from(step.prefill_tokens) / f64::from(settings.prefill_tokens_per_s);
    let further_requests = step.decoded.len().saturating_sub(1) as f64;
    let batch_cost =
        1.0 + further_requests * f64::from(settings.batch_cost_permille) / PERMILLE_DIVISOR;
    let decode_s = match step.decoded.len() {
        0 => 0.0,
        _ => batch_cost / f64::from(settings.decode_tokens_per_s),
    };
    Duration::from_secs_f64(prefill_s + decode_s)
}
