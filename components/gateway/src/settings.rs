//! What a gateway is told at its start and at a reload.

use std::net::SocketAddr;
use std::time::Duration;

use crate::allowance::Tolerance;
use crate::model::Topology;
use crate::retry_budget::RetryLimit;

/// Settings of a gateway. Addresses count at the start only.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This host's name, for logs.
    pub host: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the process takes work.
    pub readiness_listen: SocketAddr,
    /// Where metrics are read and, over UDP, digests of other entries arrive.
    pub internal_listen: SocketAddr,
    /// The processor of this host, in cores.
    pub cores: f64,
    /// Zones and regions.
    pub topology: Topology,
    /// The limit on repeats.
    pub retry_limit: RetryLimit,
    /// How exactly customers' allowances have to be kept.
    pub allowance_tolerance: Tolerance,
    /// How long after the last confirmation of the configuration keys are honoured; `None` for as
    /// long as the process runs.
    pub key_validity: Option<Duration>,
    /// How long a planned stop may take.
    pub grace_period: Duration,
}
