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
    /// Address on which requests of the other processes of the system are accepted.
    pub listen: SocketAddr,
    /// Host that this process runs on.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Name of the upstream that this process serves.
    pub upstream: UpstreamId,
    /// Protocol and address of the upstream.
    pub adapter: UpstreamSettings,
    /// Maximum number of requests in flight at the upstream.
    pub slots: u32,
    /// Addresses of the processes that read the configuration from the store and relay it to the
    /// others of their zone; the list is the same in every process.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// Protocol and address of an upstream.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamSettings {
    /// Model engine with a chat-completions API over HTTP.
    HttpEngine {
        /// Address of the engine.
        address: SocketAddr,
    },
    /// Plain HTTP service.
    HttpService {
        /// Address of the service.
        address: SocketAddr,
    },
}

/// Upper bound of `slots`.
const MAX_SLOTS: u64 = 4096;

impl Validate for Settings {
    fn validation_errors(&self) -> Vec<String> {
        let mut faults = Vec::new();
        check_range(&mut faults, "slots", self.slots.into(), 1..=MAX_SLOTS);
        check_log_level(&mut faults, &self.log_level);
        faults
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}
