//! Settings and faults of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// Prompt tokens computed per second, for all requests together.
    pub prefill_tokens_per_s: u32,
    /// Tokens generated per second for a request that runs alone.
    pub decode_tokens_per_s: u32,
    /// Time that each further request adds to a decode step, in thousandths of the time of a step
    /// with one request.
    pub batch_cost_permille: u32,
    /// Capacity of the prefix cache, in prompt tokens.
    pub cache_tokens: u32,
    /// Delay until cache events and load reports become visible.
    pub report_lag: Duration,
    /// One in this many cache events is lost; 0 loses none.
    pub event_gap_one_in: u32,
    /// Seed of the random choice of lost cache events.
    pub seed: u64,
    /// Reject orders with an old fencing token.
    pub checks_fencing: bool,
    /// Models that are loaded at start; if empty, every model is served.
    pub models: Vec<String>,
    /// Source of model weights; without one, loading takes no time.
    pub weights: Option<WeightSource>,
}

/// Weight store that an engine downloads from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightSource {
    /// Address of the weight store.
    pub address: SocketAddr,
    /// Size of a model's weights.
    pub size_bytes: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            prefill_tokens_per_s: 8_000,
            decode_tokens_per_s: 50,
            batch_cost_permille: 50,
            cache_tokens: 65_536,
            report_lag: Duration::from_millis(500),
            event_gap_one_in: 20,
            seed: 0,
            checks_fencing: true,
            models: Vec::new(),
            weights: None,
        }
    }
}

/// Faults that are injected into an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Factor by which each step takes longer; 0 and 1 have no effect.
    pub slowdown: u32,
    /// No tokens are computed; open responses stay open without data.
    pub frozen: bool,
}
