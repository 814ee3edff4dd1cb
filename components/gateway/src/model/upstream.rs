//! Upstreams and where they stand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Names one lifetime of an upstream.
pub type InstanceId = Rc<str>;

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

/// Which region each availability zone belongs to, and where this process stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Places {
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

impl Places {
    pub(crate) fn distance_to(&self, zone: &str) -> Distance {
        if zone == self.own_zone {
            return Distance::SameZone;
        }
        match (self.regions.get(zone), self.regions.get(&self.own_zone)) {
            (Some(theirs), Some(ours)) if theirs == ours => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}
