//! Settings of an agent process.

use std::net::SocketAddr;

use identity::{HostId, UpstreamId, ZoneId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use settings::{Validate, check_log_level, check_range};

/// Settings of an agent process.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where other processes of the system reach this one.
    pub listen: SocketAddr,
    /// The host that this process runs on.
    pub host: HostId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The upstream beside this process.
    pub upstream: UpstreamId,
    /// How to reach the upstream.
    pub adapter: UpstreamSettings,
    /// Most requests handed to the upstream at once.
    pub slots: u32,
    /// Processes that read the store for the others of the zone, the same list in each.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// How to reach an upstream.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamSettings {
    /// A model engine that speaks chat-completions.
    HttpEngine {
        /// Its address.
        address: SocketAddr,
    },
    /// A plain service.
    HttpService {
        /// Its address.
        address: SocketAddr,
    },
}

/// Most slots that an agent may be given.
const SLOTS_LIMIT: u64 = 4096;

impl Validate for Settings {
    fn validation_errors(&self) -> Vec<String> {
        let mut faults = Vec::new();
        check_range(&mut faults, "slots", self.slots.into(), 1..=SLOTS_LIMIT);
        check_log_level(&mut faults, &self.log_level);
        faults
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}
