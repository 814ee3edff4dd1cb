//! Upstreams, and the zones and regions in which they are.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Id that an upstream instance announces. A restarted instance may announce the same id again.
pub type InstanceId = Rc<str>;

/// Four-byte hash, used between gateways, that identifies one start of an upstream instance at one
/// address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamId(pub u32);

/// Four-byte hash of a service's name, used between gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceId(u32);

impl ServiceId {
    /// Computes the id of the service with a given name.
    pub fn of(name: &str) -> ServiceId {
        ServiceId(xxh3_64(name.as_bytes()) as u32)
    }

    /// The id as a number, for keys of the store.
    pub fn number(self) -> u32 {
        self.0
    }

    /// The id with a number.
    pub fn from_number(number: u32) -> ServiceId {
        ServiceId(number)
    }
}

/// Four-byte hash, used between gateways, that identifies a software version of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionId(pub u32);

impl VersionId {
    /// Computes the id of a version of a service.
    pub fn of(service: &str, version: &str) -> VersionId {
        VersionId(xxh3_64(format!("{service}/{version}").as_bytes()) as u32)
    }
}

/// An upstream instance, as it announces itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Start time in milliseconds since 1970; tells restarts under the same instance id apart.
    pub started_unix_ms: u64,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Version of its software, as its operators name it.
    pub version: Rc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub draining: bool,
}

impl Upstream {
    /// Computes the id from instance id, start time and address.
    pub fn id(&self) -> UpstreamId {
        let Upstream { instance, started_unix_ms, address, .. } = self;
        let name = format!("{instance}/{started_unix_ms}/{address}");
        UpstreamId(xxh3_64(name.as_bytes()) as u32)
    }

    /// Computes the id of its software version.
    pub fn version_id(&self) -> VersionId {
        VersionId::of(&self.service, &self.version)
    }
}

/// Regions of the availability zones, and the zone of this process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Availability zone of this process.
    pub own_zone: String,
    /// Region by availability zone.
    pub regions: HashMap<String, String>,
}

/// Distance between two availability zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Topology {
    pub(crate) fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        match (self.regions.get(from), self.regions.get(to)) {
            (Some(from_region), Some(to_region)) if from_region == to_region => {
                Distance::SameRegion
            }
            _ => Distance::OtherRegion,
        }
    }
}
