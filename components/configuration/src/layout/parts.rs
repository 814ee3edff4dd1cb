//! A document cut into parts, so that no value grows with the number of customers.

use std::collections::BTreeMap;
use std::fmt;

use identity::{CustomerId, ModelId, RegionId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::object::digest;
use crate::{Customer, Document, Model, Region, RequestLimits, Service, Upstream};

const CUSTOMER_SHARDS: u8 = 64;
const UPSTREAM_SHARDS: u8 = 16;
const FLEET: &str = "fleet";

/// The text of each part by its name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Parts(pub BTreeMap<String, String>);

/// A part that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayoutError(String);

impl fmt::Display for LayoutError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LayoutError {}

#[derive(Debug, Serialize)]
struct FleetPart<'a> {
    regions: &'a BTreeMap<RegionId, Region>,
    models: &'a BTreeMap<ModelId, Model>,
    services: &'a BTreeMap<ServiceId, Service>,
    requests: &'a RequestLimits,
}

#[derive(Debug, Serialize)]
struct UpstreamPart<'a> {
    upstreams: BTreeMap<&'a UpstreamId, &'a Upstream>,
}

#[derive(Debug, Serialize)]
struct CustomerPart<'a> {
    customers: BTreeMap<&'a CustomerId, &'a Customer>,
}

/// Any part as it is read.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct AnyPart {
    regions: BTreeMap<RegionId, Region>,
    models: BTreeMap<ModelId, Model>,
    services: BTreeMap<ServiceId, Service>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    customers: BTreeMap<CustomerId, Customer>,
    requests: Option<RequestLimits>,
}

impl Parts {
    /// Cuts a document.
    pub fn split(document: &Document) -> Result<Parts, LayoutError> {
        let mut texts = BTreeMap::new();
        let fleet = FleetPart {
            regions: &document.regions,
            models: &document.models,
            services: &document.services,
            requests: &document.requests,
        };
        texts.insert(FLEET.to_owned(), write(&fleet)?);
        let upstreams = shard(&document.upstreams, UPSTREAM_SHARDS, UpstreamId::as_str);
        for (number, upstreams) in upstreams {
            texts.insert(format!("upstreams-{number:02x}"), write(&UpstreamPart { upstreams })?);
        }
        let customers = shard(&document.customers, CUSTOMER_SHARDS, CustomerId::as_str);
        for (number, customers) in customers {
            texts.insert(format!("customers-{number:02x}"), write(&CustomerPart { customers })?);
        }
        Ok(Parts(texts))
    }

    /// Puts a document together.
    pub fn join(&self) -> Result<Document, LayoutError> {
        let mut document = Document::default();
        for (name, text) in &self.0 {
            let part: AnyPart = serde_json::from_str(text)
                .map_err(|error| LayoutError(format!("part {name}: {error}")))?;
            document.regions.extend(part.regions);
            document.models.extend(part.models);
            document.services.extend(part.services);
            document.upstreams.extend(part.upstreams);
            document.customers.extend(part.customers);
            if let Some(requests) = part.requests {
                document.requests = requests;
            }
        }
        Ok(document)
    }

    /// SHA-256 over the digests of all parts, in hexadecimal.
    pub fn digest(&self) -> String {
        let mut hash = Sha256::new();
        for (name, text) in &self.0 {
            hash.update(format!("{name}={}\n", digest(text)));
        }
        hex::encode(hash.finalize())
    }

    /// The texts by their digests.
    pub fn by_digest(&self) -> BTreeMap<String, &str> {
        self.0.values().map(|text| (digest(text), text.as_str())).collect()
    }
}

fn write(part: &impl Serialize) -> Result<String, LayoutError> {
    serde_json::to_string(part).map_err(|error| LayoutError(error.to_string()))
}

type Shards<'a, K, V> = BTreeMap<u8, BTreeMap<&'a K, &'a V>>;

fn shard<K: Ord, V>(items: &BTreeMap<K, V>, shards: u8, name: fn(&K) -> &str) -> Shards<'_, K, V> {
    let mut found: Shards<'_, K, V> = BTreeMap::new();
    for (key, value) in items {
        let number = Sha256::digest(name(key).as_bytes())[0] % shards;
        found.entry(number).or_default().insert(key, value);
    }
    found
}
