//! Settings of a gateway, read at start and on reload.

use std::net::SocketAddr;
use std::time::Duration;

use crate::allowance::Tolerance;
use crate::model::Topology;
use crate::retry_budget::RetryLimit;

/// Share of the descriptors for callers' connections.
const CALLER_SHARE: f64 = 0.7;

/// Share of the descriptors for connections of readiness checks.
const READINESS_SHARE: f64 = 0.05;

/// Share of the descriptors for connections of other gateways and of readers of the metrics.
const INTERNAL_SHARE: f64 = 0.1;

/// Settings of a gateway. Listen addresses take effect at start only.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Host name, for logs.
    pub host: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the load balancer's readiness check.
    pub readiness_listen: SocketAddr,
    /// Address of the metrics endpoint and, over UDP, of messages from other gateways.
    pub internal_listen: SocketAddr,
    /// CPU capacity of this host, in cores.
    pub cores: f64,
    /// Availability zones and regions.
    pub topology: Topology,
    /// Limit on retries.
    pub retry_limit: RetryLimit,
    /// Tolerance within which customers' allowances have to be enforced.
    pub allowance_tolerance: Tolerance,
    /// Time after the last configuration confirmation for which API keys are honoured; `None` for
    /// no limit.
    pub key_validity: Option<Duration>,
    /// Bytes of requests and responses that may be held at a time.
    pub held_limit_bytes: usize,
    /// Connections that may be open at a time, by listener.
    pub connection_limits: ConnectionLimits,
    /// Maximum duration of a planned stop.
    pub grace_period: Duration,
}

/// Connections that each listener keeps open at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of readiness checks.
    pub readiness: usize,
    /// Connections of other gateways and of readers of the metrics.
    pub internal: usize,
}

impl ConnectionLimits {
    /// Shares out the descriptors that a process may open for sockets. What is left over is for
    /// connections to upstreams, to the store and to other gateways.
    pub fn share_out(descriptors: usize) -> ConnectionLimits {
        let share = |part: f64| ((descriptors as f64 * part) as usize).max(1);
        ConnectionLimits {
            callers: share(CALLER_SHARE),
            readiness: share(READINESS_SHARE),
            internal: share(INTERNAL_SHARE),
        }
    }
}
