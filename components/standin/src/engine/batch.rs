//! Continuous batching: each step prefills a chunk and decodes one token for each request.

use std::time::Duration;

use super::EngineSettings;

/// Most prompt tokens of one step.
const CHUNK_TOKENS: u32 = 512;

/// Parts in a whole, for costs given in parts of a thousand.
const PERMILLE: f64 = 1000.0;

/// A request in the batch.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Member {
    id: String,
    prefill_left: u32,
    prefill_done: u32,
    decoded: u32,
    tokens: u32,
}

/// What one step did.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Step {
    /// How long it takes.
    pub(super) duration: Duration,
    /// Prompt tokens computed.
    pub(super) prefilled: u32,
    /// Requests whose prompt is done with this step.
    pub(super) prefill_ended: Vec<String>,
    /// Requests and the number of the token that each got.
    pub(super) decoded: Vec<(String, u32)>,
    /// Requests that are complete.
    pub(super) ended: Vec<String>,
}

/// The requests that an engine works on.
#[derive(Debug, Default)]
pub(super) struct Batch {
    members: Vec<Member>,
}

impl Batch {
    /// Adds a request with prompt tokens to compute and tokens to generate.
    pub(super) fn admit(&mut self, id: &str, prefill: u32, tokens: u32) {
        self.members.push(Member {
            id: id.to_owned(),
            prefill_left: prefill,
            prefill_done: 0,
            decoded: 0,
            tokens,
        });
    }

    /// Takes a request out; the prompt tokens that were computed for it.
    pub(super) fn remove(&mut self, id: &str) -> Option<u32> {
        let index = self.members.iter().position(|member| member.id == id)?;
        Some(self.members.remove(index).prefill_done)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Requests, prompt tokens left and tokens left to generate.
    pub(super) fn load(&self) -> (usize, u64, u64) {
        let prefill = self.members.iter().map(|member| u64::from(member.prefill_left)).sum();
        let decode =
            self.members.iter().map(|member| u64::from(member.tokens - member.decoded)).sum();
        (self.members.len(), prefill, decode)
    }

    /// Does one step.
    pub(super) fn step(&mut self, settings: &EngineSettings) -> Step {
        let mut step = Step::default();
        let mut chunk_left = CHUNK_TOKENS;
        for member in &mut self.members {
            if member.prefill_left == 0 {
                member.decode(&mut step);
                continue;
            }
            let taken = member.prefill_left.min(chunk_left);
            chunk_left -= taken;
            member.prefill(taken, &mut step);
        }
        self.members.retain(|member| member.decoded < member.tokens);
        step.duration = duration(&step, settings);
        step
    }
}

impl Member {
    fn prefill(&mut self, taken: u32, step: &mut Step) {
        self.prefill_left -= taken;
        self.prefill_done += taken;
        step.prefilled += taken;
        if self.prefill_left == 0 {
            step.prefill_ended.push(self.id.clone());
        }
    }

    fn decode(&mut self, step: &mut Step) {
        step.decoded.push((self.id.clone(), self.decoded));
        self.decoded += 1;
        if self.decoded == self.tokens {
            step.ended.push(self.id.clone());
        }
    }
}

fn duration(step: &Step, settings: &EngineSettings) -> Duration {
    let prefill_s = f64::from(step.prefilled) / f64::from(settings.prefill_tokens_per_s);
    let others = step.decoded.len().saturating_sub(1) as f64;
    let batch_cost = 1.0 + others * f64::from(settings.batch_cost_permille) / PERMILLE;
    let decode_s = match step.decoded.len() {
        0 => 0.0,
        _ => batch_cost / f64::from(settings.decode_tokens_per_s),
    };
    Duration::from_secs_f64(prefill_s + decode_s)
}
