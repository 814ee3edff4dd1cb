//! Upstreams and where they stand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Names one lifetime of an upstream.
pub type InstanceId = Rc<str>;

/// Names an upstream's lifetime between entries, in four bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamId(pub u32);

/// Names a service between entries, in four bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceId(u32);

impl ServiceId {
    /// The id of a service.
    pub fn of(name: &str) -> ServiceId {
        ServiceId(xxh3_64(name.as_bytes()) as u32)
    }

    pub(crate) fn number(self) -> u32 {
        self.0
    }
}

/// One instance of an upstream, as it announces itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its id.
    pub instance: InstanceId,
    /// When it started, in milliseconds since 1970; differs after a restart under the same id.
    pub started_unix_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
}

impl Upstream {
    /// Names this lifetime at this address.
    pub fn id(&self) -> UpstreamId {
        let Upstream { instance, started_unix_ms, address, .. } = self;
        let name = format!("{instance}/{started_unix_ms}/{address}");
        UpstreamId(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Which region each availability zone belongs to, and where this process stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// This process's availability zone.
    pub own_zone: String,
    /// Region by availability zone.
    pub regions: HashMap<String, String>,
}

/// How far away a zone is.
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
            (Some(theirs), Some(ours)) if theirs == ours => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}
