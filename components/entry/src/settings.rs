//! Settings of an entry process.

use std::net::SocketAddr;

use identity::{HostId, ZoneId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use settings::{Checked, check_log_level, check_range};

/// Settings of an entry process.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where callers reach this process.
    pub listen: SocketAddr,
    /// Where operators reach this process.
    pub operators_listen: SocketAddr,
    /// The host that this process runs on.
    pub host: HostId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// How to reach the platform.
    pub platform: PlatformSettings,
    /// How the configuration comes from other processes.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Threads that serve callers.
    #[serde(default = "default_workers")]
    pub workers: u32,
    /// Log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// How the configuration comes from other processes.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Where other processes of the system reach this one; absent, it serves none.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Processes that read the store for the others of the zone, the same list in each. A process
    /// that is in the list, or has none, reads the store itself.
    #[serde(default)]
    pub listed: Vec<SocketAddr>,
}

/// How to reach the platform.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PlatformSettings {
    /// Key-value service and host list over HTTP.
    Http {
        /// Address of the key-value service.
        store: SocketAddr,
        /// Address of the host list.
        host_list: SocketAddr,
    },
}

/// Most threads that may serve callers.
const WORKERS_LIMIT: u64 = 256;

impl Checked for Settings {
    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        check_range(&mut faults, "workers", self.workers.into(), 1..=WORKERS_LIMIT);
        check_log_level(&mut faults, &self.log_level);
        faults
    }
}

fn default_workers() -> u32 {
    2
}

fn default_log_level() -> String {
    "info".to_owned()
}
