//! The configuration document that operators patch.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use identity::{CustomerId, HostId, ModelId, RegionId, ServiceId, Tier, UpstreamId, ZoneId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Regions and their availability zones.
    #[serde(default)]
    pub regions: BTreeMap<RegionId, Region>,
    /// Models that customers may be granted.
    #[serde(default)]
    pub models: BTreeMap<ModelId, Model>,
    /// Plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Back ends and the agents beside them.
    #[serde(default)]
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Customers, their keys and what they may do.
    #[serde(default)]
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Bounds on each request.
    #[serde(default)]
    pub requests: RequestLimits,
}

/// A region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its availability zones.
    pub zones: Vec<ZoneId>,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Most tokens of prompt and answer together.
    pub context_tokens: u32,
    /// Most tokens of an answer.
    pub max_tokens: u32,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Calls that are let through; the first that fits holds.
    pub calls: Vec<CallRule>,
}

/// A kind of call of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method in upper case.
    pub method: String,
    /// Start of the path below the service's name.
    pub path_prefix: String,
    /// Whether running it twice is the same as running it once.
    pub idempotent: bool,
    /// Importance.
    pub tier: Tier,
}

/// A back end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The host it runs on.
    pub host: HostId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// Address of the agent beside it.
    pub agent: SocketAddr,
    /// What it does.
    pub kind: UpstreamKind,
    /// It is given no new work, by an operator's order.
    #[serde(default)]
    pub draining: bool,
}

/// What a back end does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// Models that it serves.
        models: Vec<ModelId>,
        /// First guess of its prompt speed.
        prefill_tokens_per_s: u32,
        /// First guess of its speed of generation for one request.
        decode_tokens_per_s: u32,
        /// Most requests in flight at the engine.
        slots: u32,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceId,
        /// Most calls in flight.
        slots: u32,
    },
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// SHA-256 of each bearer key, in hexadecimal.
    pub key_sha256: Vec<String>,
    /// The region where its requests are served first.
    pub region: RegionId,
    /// Models it may call.
    #[serde(default)]
    pub models: BTreeMap<ModelId, Grant>,
    /// Services it may call.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Requests a second over all entry hosts together.
    pub requests_per_s: u32,
}

/// How a customer may call a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Importance of these requests.
    pub tier: Tier,
}

/// Bounds on each request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestLimits {
    /// Largest body.
    pub body_limit_bytes: u32,
    /// Deadline where the caller states none.
    pub default_deadline_ms: u64,
    /// Longest deadline that a caller may state.
    pub max_deadline_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            body_limit_bytes: 1 << 20,
            default_deadline_ms: 60_000,
            max_deadline_ms: 600_000,
        }
    }
}

impl Document {
    /// The region that holds an availability zone.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.regions.iter().find(|(_, region)| region.zones.contains(zone)).map(|(name, _)| name)
    }

    /// The first rule of a service that fits a call.
    pub fn find_rule(&self, service: &ServiceId, method: &str, path: &str) -> Option<&CallRule> {
        let service = self.services.get(service)?;
        service
            .calls
            .iter()
            .find(|rule| rule.method == method && path.starts_with(&rule.path_prefix))
    }
}
