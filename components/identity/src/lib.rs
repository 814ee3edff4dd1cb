//! Names and numbers that tell the system's things apart.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps the text.
            pub fn new(text: impl Into<String>) -> $name {
                $name(text.into())
            }

            /// The text itself.
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

text_ids! {
    /// A caller's request, unique for its customer.
    RequestId;
    /// An organisation or application that calls.
    CustomerId;
    /// A back end: a model engine or a plain service.
    UpstreamId;
    /// A host of the fleet.
    HostId;
    /// An availability zone.
    ZoneId;
    /// A region, which holds availability zones.
    RegionId;
    /// A model that engines serve.
    ModelId;
    /// A plain service.
    ServiceId;
    /// One run of one process; a new one is drawn at each start.
    ProcessId;
}

macro_rules! number_ids {
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

number_ids! {
    /// The number of a configuration; each accepted patch adds one.
    ConfigVersion(u64);
    /// Orders dispatches of one request; a higher one supersedes.
    DispatchEpoch(u64);
    /// Orders holders of one lease; a higher one supersedes.
    FencingToken(u64);
    /// Importance of a request: 0 is the highest.
    Tier(u8);
}

/// How many tiers there are; a tier is a number below this.
pub const TIER_COUNT: usize = 4;

impl RequestId {
    /// Draws an id for a caller that gave none.
    pub fn random() -> RequestId {
        RequestId::new(random_hex())
    }
}

impl ProcessId {
    /// Draws the id of a process that starts.
    pub fn random() -> ProcessId {
        ProcessId::new(random_hex())
    }
}

fn random_hex() -> String {
    hex::encode(rand::random::<[u8; 16]>())
}
