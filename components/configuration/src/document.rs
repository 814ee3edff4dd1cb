//! The configuration document, which operators change by patches.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use identity::{CustomerId, HostId, ModelId, RegionId, ServiceId, Tier, UpstreamId, ZoneId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The configuration document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Regions and their availability zones.
    #[serde(default)]
    pub regions: BTreeMap<RegionId, Region>,
    /// Models that customers may be granted.
    #[serde(default)]
    pub models: BTreeMap<ModelId, Model>,
    /// Plain services that customers may call.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Upstreams and their agents.
    #[serde(default)]
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Customers with their keys and permissions.
    #[serde(default)]
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Limits that apply to each request.
    #[serde(default)]
    pub requests: RequestLimits,
}

/// A region and its availability zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Availability zones of the region.
    pub zones: Vec<ZoneId>,
}

/// Token limits of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Maximum number of tokens of the prompt and the response together.
    pub context_tokens: u32,
    /// Maximum number of tokens of a response.
    pub max_tokens: u32,
}

/// A plain service and the calls that it permits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Rules for permitted calls. The first rule that matches a call applies.
    pub calls: Vec<CallRule>,
}

/// Permits the calls of a plain service with a given method and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the path after the service's name.
    pub path_prefix: String,
    /// Whether running a call twice has the same effect as running it once.
    pub idempotent: bool,
    /// Tier (priority class) of the calls.
    pub tier: Tier,
}

/// An upstream: a model engine or a plain service on a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Host that the upstream runs on.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address of the upstream's agent.
    pub agent: SocketAddr,
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Set by an operator to send no new requests to the upstream.
    #[serde(default)]
    pub draining: bool,
}

/// Kind of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// Models that the engine serves.
        models: Vec<ModelId>,
        /// Initial estimate of the prefill speed.
        prefill_tokens_per_s: u32,
        /// Initial estimate of the decode speed of one request.
        decode_tokens_per_s: u32,
        /// Maximum number of requests in flight.
        slots: u32,
    },
    /// A plain service.
    Service {
        /// Service that the upstream provides.
        service: ServiceId,
        /// Maximum number of calls in flight.
        slots: u32,
    },
}

/// Keys, permissions and rate limit of a customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// SHA-256 digest of each bearer key, in hexadecimal.
    pub key_sha256: Vec<String>,
    /// Home region of the customer, where its requests are served first.
    pub region: RegionId,
    /// Models that the customer may call.
    #[serde(default)]
    pub models: BTreeMap<ModelId, Grant>,
    /// Services that the customer may call.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Rate limit in requests per second, over all entry hosts together.
    pub requests_per_s: u32,
}

/// Permission of a customer to call a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Tier (priority class) of the customer's requests for the model.
    pub tier: Tier,
}

/// Limits that apply to each request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestLimits {
    /// Maximum size of the request body.
    pub body_limit_bytes: u32,
    /// Deadline of a request that states none.
    pub default_deadline_ms: u64,
    /// Longest deadline that a request may state.
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
    /// Finds the region that contains an availability zone.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.regions.iter().find(|(_, region)| region.zones.contains(zone)).map(|(name, _)| name)
    }

    /// Finds the first rule of a service that matches a call.
    pub fn find_rule(&self, service: &ServiceId, method: &str, path: &str) -> Option<&CallRule> {
        let service = self.services.get(service)?;
        service
            .calls
            .iter()
            .find(|rule| rule.method == method && path.starts_with(&rule.path_prefix))
    }
}
