//! Identifier types: names of requests, customers, upstreams and hosts, and version numbers.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! string_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates the id from its text.
            pub fn new(text: impl Into<String>) -> $name {
                $name(text.into())
            }

            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

string_ids! {
    /// Id of a caller's request, unique within its customer.
    RequestId;
    /// Name of a customer: an organisation or application that sends requests.
    CustomerId;
    /// Name of an upstream: a back end, either a model engine or a plain service.
    UpstreamId;
    /// Name of a host.
    HostId;
    /// Name of an availability zone.
    ZoneId;
    /// Name of a region, which consists of availability zones.
    RegionId;
    /// Name of a model that engines serve.
    ModelId;
    /// Name of a plain service.
    ServiceId;
    /// Id of one run of a process; a new id is generated at each start.
    ProcessId;
}

macro_rules! integer_ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
            JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

integer_ids! {
    /// Version of the configuration; each accepted patch increments it.
    ConfigVersion(u64);
    /// Orders the dispatches of one request; a higher epoch supersedes a lower one.
    DispatchEpoch(u64);
    /// Orders the holders of one lease; a higher token supersedes a lower one.
    FencingToken(u64);
    /// Priority class of a request; 0 is the highest.
    Tier(u8);
}

/// Number of tiers; every tier is below this number.
pub const TIER_COUNT: usize = 4;

impl RequestId {
    /// Generates an id for a request that the caller sent without one.
    pub fn random() -> RequestId {
        RequestId::new(random_hex_id())
    }
}

impl ProcessId {
    /// Generates the id of a starting process.
    pub fn random() -> ProcessId {
        ProcessId::new(random_hex_id())
    }
}

fn random_hex_id() -> String {
    hex::encode(rand::random::<[u8; 16]>())
}
