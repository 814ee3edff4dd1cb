//! Settings of a gateway, read at start and on reload.

use std::net::SocketAddr;
use std::time::Duration;

use crate::allowance::Tolerance;
use crate::model::Topology;
use crate::retry_budget::RetryLimit;

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
    /// Maximum duration of a planned stop.
    pub grace_period: Duration,
}
