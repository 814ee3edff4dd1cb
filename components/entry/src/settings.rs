//! Settings of an entry process.

use std::net::SocketAddr;

use identity::{HostId, ZoneId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use settings::{Validate, check_log_level, check_range};
use web::ServerLimits;

/// Settings of an entry process.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address on which callers' HTTP requests are accepted.
    pub listen: SocketAddr,
    /// Address on which operators' HTTP requests are accepted.
    pub operators_listen: SocketAddr,
    /// Host that this process runs on.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Exchange of the configuration with other processes.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Limits on what all callers together may hold.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Worker threads that serve callers.
    #[serde(default = "default_workers")]
    pub workers: u32,
    /// Log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// Limits on what all callers together may hold.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Connections that are kept open at a time. Without it, seven tenths of the descriptors that the
    /// process may open.
    #[serde(default)]
    pub connections: Option<u32>,
    /// Memory of the requests that are being received or served, in mebibytes, estimated.
    #[serde(default = "default_held_mib")]
    pub held_mib: u32,
}

impl Default for CallerSettings {
    fn default() -> CallerSettings {
        CallerSettings { connections: None, held_mib: default_held_mib() }
    }
}

impl CallerSettings {
    /// The limits in the form of the HTTP server.
    pub(crate) fn server_limits(&self) -> ServerLimits {
        let default = ServerLimits::default();
        ServerLimits {
            connections: self.connections.map_or(default.connections, |given| given as usize),
            held_bytes: (self.held_mib as usize) << 20,
        }
    }
}

/// Settings for the exchange of the configuration with other processes.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address on which other processes fetch the configuration from this one. Without it, this
    /// process does not serve them.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Addresses of the processes that read the configuration from the store and relay it to the
    /// others of their zone; the list is the same in every process. A process that is in the list,
    /// or whose list is empty, reads the store itself.
    #[serde(default)]
    pub listed: Vec<SocketAddr>,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PlatformSettings {
    /// Key-value store and host list over HTTP.
    Http {
        /// Address of the key-value store.
        store: SocketAddr,
        /// Address of the host list.
        host_list: SocketAddr,
    },
}

/// Upper bound of `workers`.
const MAX_WORKERS: u64 = 256;

/// Upper bound of `callers.connections`.
const MAX_CONNECTIONS: u64 = 1 << 20;

/// Upper bound of `callers.held_mib`.
const MAX_HELD_MIB: u64 = 1 << 20;

impl Validate for Settings {
    fn validation_errors(&self) -> Vec<String> {
        let mut faults = Vec::new();
        check_range(&mut faults, "workers", self.workers.into(), 1..=MAX_WORKERS);
        if let Some(connections) = self.callers.connections {
            check_range(
                &mut faults,
                "callers.connections",
                connections.into(),
                1..=MAX_CONNECTIONS,
            );
        }
        let held_mib = self.callers.held_mib.into();
        check_range(&mut faults, "callers.held_mib", held_mib, 1..=MAX_HELD_MIB);
        check_log_level(&mut faults, &self.log_level);
        faults
    }
}

fn default_held_mib() -> u32 {
    256
}

fn default_workers() -> u32 {
    2
}

fn default_log_level() -> String {
    "info".to_owned()
}
