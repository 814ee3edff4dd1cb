//! Composition of a fleet, and the configuration document that it results in.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// The model that every engine serves.
pub(crate) const MODEL: &str = "listing-7b";

/// The service that every service worker belongs to.
pub(crate) const SERVICE: &str = "desk";

/// Customers and the tier of their model requests.
const CUSTOMERS: [(&str, u8); 4] = [("gate", 0), ("referee", 1), ("seller", 2), ("tagger", 3)];

/// Composition of a fleet: its regions, entry processes and upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPlan {
    /// Regions and their availability zones. All customers belong to the region whose name is
    /// first in alphabetical order.
    pub regions: BTreeMap<String, Vec<String>>,
    /// Availability zones of the entry processes, by name.
    pub entries: BTreeMap<String, String>,
    /// Engines by name, each with an agent.
    pub engines: BTreeMap<String, EnginePlan>,
    /// Service workers by name, each with an agent.
    pub services: BTreeMap<String, ServicePlan>,
    /// Delay before the host list shows a change.
    pub host_list_lag_ms: u64,
    /// Rate limit of each customer, in requests per second.
    pub requests_per_s: u32,
    /// Limits on what the callers of an entry process may hold, as in its settings.
    pub caller_limits: BTreeMap<String, u32>,
}

/// Settings of a stand-in engine and its agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EnginePlan {
    /// The availability zone.
    pub zone: String,
    /// Speed of prefill, in prompt tokens per second.
    pub prefill_tokens_per_s: u32,
    /// Speed of decoding, in generated tokens per second.
    pub decode_tokens_per_s: u32,
    /// Maximum number of requests in flight.
    pub slots: u32,
}

/// Settings of a stand-in service worker and its agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServicePlan {
    /// The availability zone.
    pub zone: String,
    /// Duration of a call.
    pub delay_ms: u64,
    /// Maximum number of calls in flight.
    pub slots: u32,
}

impl Default for FleetPlan {
    fn default() -> Self {
        let zone = "riga-a".to_owned();
        let slow_engine = EnginePlan {
            prefill_tokens_per_s: 4_000,
            decode_tokens_per_s: 25,
            ..EnginePlan::default()
        };
        FleetPlan {
            regions: BTreeMap::from([("riga".to_owned(), vec![zone.clone(), "riga-b".to_owned()])]),
            entries: BTreeMap::from([
                ("entry-1".to_owned(), zone.clone()),
                ("entry-2".to_owned(), zone),
            ]),
            engines: BTreeMap::from([
                ("fast".to_owned(), EnginePlan::default()),
                ("slow".to_owned(), slow_engine),
            ]),
            services: BTreeMap::from([("desk".to_owned(), ServicePlan::default())]),
            host_list_lag_ms: 0,
            requests_per_s: 1_000,
            caller_limits: BTreeMap::new(),
        }
    }
}

impl Default for EnginePlan {
    fn default() -> Self {
        EnginePlan {
            zone: "riga-a".to_owned(),
            prefill_tokens_per_s: 20_000,
            decode_tokens_per_s: 80,
            slots: 8,
        }
    }
}

impl Default for ServicePlan {
    fn default() -> Self {
        ServicePlan { zone: "riga-a".to_owned(), delay_ms: 20, slots: 8 }
    }
}

/// The bearer key of a customer.
pub fn bearer_key_of(customer: &str) -> String {
    format!("{customer}-key")
}

impl FleetPlan {
    /// The names of all upstreams, which are also the names of their hosts.
    pub(crate) fn upstream_names(&self) -> impl Iterator<Item = &str> {
        self.engines.keys().chain(self.services.keys()).map(String::as_str)
    }

    /// The configuration document, with agents at the given addresses.
    pub(crate) fn configuration_document(
        &self,
        agent_addresses: &BTreeMap<String, SocketAddr>,
    ) -> Value {
        let upstream = |name: &str, zone: &str, kind: Value| {
            let agent = agent_addresses.get(name);
            (name.to_owned(), json!({ "host": name, "zone": zone, "agent": agent, "kind": kind }))
        };
        let engines = self.engines.iter().map(|(name, engine)| {
            let kind = json!({ "engine": {
                "models": [MODEL],
                "prefill_tokens_per_s": engine.prefill_tokens_per_s,
                "decode_tokens_per_s": engine.decode_tokens_per_s,
                "slots": engine.slots } });
            upstream(name, &engine.zone, kind)
        });
        let services = self.services.iter().map(|(name, service)| {
            let kind = json!({ "service": { "service": SERVICE, "slots": service.slots } });
            upstream(name, &service.zone, kind)
        });
        let upstreams: BTreeMap<String, Value> = engines.chain(services).collect();
        let regions: BTreeMap<&String, Value> =
            self.regions.iter().map(|(name, zones)| (name, json!({ "zones": zones }))).collect();
        json!({
            "regions": regions,
            "models": { MODEL: { "context_tokens": 32_768, "max_tokens": 4_096 } },
            "services": { SERVICE: { "calls": [
                { "method": "POST", "path_prefix": "/bookings", "idempotent": false, "tier": 1 },
                { "method": "GET", "path_prefix": "/", "idempotent": true, "tier": 1 } ] } },
            "upstreams": upstreams,
            "customers": self.customer_documents(),
        })
    }

    fn customer_documents(&self) -> BTreeMap<&'static str, Value> {
        let region = self.regions.keys().next();
        let customer = |tier: u8, name: &str| {
            let key_hash = hex::encode(Sha256::digest(bearer_key_of(name)));
            json!({ "key_sha256": [key_hash], "region": region, "services": [SERVICE],
                "models": { MODEL: { "tier": tier } }, "requests_per_s": self.requests_per_s })
        };
        CUSTOMERS.iter().map(|(name, tier)| (*name, customer(*tier, name))).collect()
    }
}
