//! Splits a document into parts, so that the customers are spread over many stored values and none
//! of these grows to the size of the document.

use std::collections::BTreeMap;
use std::fmt;

use identity::{CustomerId, ModelId, RegionId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::object::sha256_hex;
use crate::{Customer, Document, Model, Region, RequestLimits, Service, Upstream};

const CUSTOMER_SHARD_COUNT: u8 = 64;
const UPSTREAM_SHARD_COUNT: u8 = 16;

/// Name of the part with everything but upstreams and customers.
const FLEET_PART_NAME: &str = "fleet";

/// Parts of a document: the text of each part by its name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Parts(pub BTreeMap<String, String>);

/// A part could not be serialized or parsed.
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

/// Parsed form of a part of any kind; the fields that the part does not have are empty.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct StoredPart {
    regions: BTreeMap<RegionId, Region>,
    models: BTreeMap<ModelId, Model>,
    services: BTreeMap<ServiceId, Service>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    customers: BTreeMap<CustomerId, Customer>,
    requests: Option<RequestLimits>,
}

impl Parts {
    /// Splits a document into parts.
    pub fn split(document: &Document) -> Result<Parts, LayoutError> {
        let mut texts = BTreeMap::new();
        let fleet = FleetPart {
            regions: &document.regions,
            models: &document.models,
            services: &document.services,
            requests: &document.requests,
        };
        texts.insert(FLEET_PART_NAME.to_owned(), serialize_part(&fleet)?);
        let upstreams =
            shard_by_name(&document.upstreams, UPSTREAM_SHARD_COUNT, UpstreamId::as_str);
        for (number, upstreams) in upstreams {
            texts.insert(
                format!("upstreams-{number:02x}"),
                serialize_part(&UpstreamPart { upstreams })?,
            );
        }
        let customers =
            shard_by_name(&document.customers, CUSTOMER_SHARD_COUNT, CustomerId::as_str);
        for (number, customers) in customers {
            texts.insert(
                format!("customers-{number:02x}"),
                serialize_part(&CustomerPart { customers })?,
            );
        }
        Ok(Parts(texts))
    }

    /// Joins the parts to a document.
    pub fn join(&self) -> Result<Document, LayoutError> {
        let mut document = Document::default();
        for (name, text) in &self.0 {
            let part: StoredPart = serde_json::from_str(text)
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

    /// Returns the SHA-256 digest over the names and digests of all parts, in hexadecimal.
    pub fn digest(&self) -> String {
        let mut hasher = Sha256::new();
        for (name, text) in &self.0 {
            hasher.update(format!("{name}={}\n", sha256_hex(text)));
        }
        hex::encode(hasher.finalize())
    }

    /// Returns the texts of the parts by their digests.
    pub fn by_digest(&self) -> BTreeMap<String, &str> {
        self.0.values().map(|text| (sha256_hex(text), text.as_str())).collect()
    }
}

fn serialize_part(part: &impl Serialize) -> Result<String, LayoutError> {
    serde_json::to_string(part).map_err(|error| LayoutError(error.to_string()))
}

type Shards<'a, K, V> = BTreeMap<u8, BTreeMap<&'a K, &'a V>>;

/// Distributes items over shards by the hash of their names.
fn shard_by_name<K: Ord, V>(
    items: &BTreeMap<K, V>,
    shard_count: u8,
    name: fn(&K) -> &str,
) -> Shards<'_, K, V> {
    let mut shards: Shards<'_, K, V> = BTreeMap::new();
    for (key, value) in items {
        let number = Sha256::digest(name(key).as_bytes())[0] % shard_count;
        shards.entry(number).or_default().insert(key, value);
    }
    shards
}
