//! Settings and faults of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// Prompt tokens a second, shared by all requests.
    pub prefill_tokens_per_s: u32,
    /// Generated tokens a second for a request that runs alone.
    pub decode_tokens_per_s: u32,
    /// Time that each further request adds to a decode step, in parts of a thousand.
    pub batch_cost_permille: u32,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: u32,
    /// How late cache events and load reports are.
    pub report_lag: Duration,
    /// One in so many cache events is lost; 0 loses none.
    pub event_gap_one_in: u32,
    /// Drives which cache events are lost.
    pub seed: u64,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Models that are loaded at the start; where none is named, every model is served.
    pub models: Vec<String>,
    /// Where models are loaded from; loading takes no time where there is none.
    pub weights: Option<WeightSource>,
}

/// Where an engine gets weights from.
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

/// Faults that an engine shows.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Each step takes this many times as long; 0 and 1 are no fault.
    pub slowdown: u32,
    /// Nothing is computed, and open answers say nothing.
    pub frozen: bool,
}
