//! Data model of the gateway: configuration, upstreams and request metadata.

mod configuration;
mod position;
mod request;
mod request_hash;
mod upstream;

/// Id of a gateway process; differs at each start.
pub type PeerId = u64;

pub use configuration::{
    Allowance, AllowanceUnit, CallerLimits, Configuration, Customer, Engine, Route, RouteKind,
    Target,
};
pub use position::{ParsePositionError, Position};
pub use request::{PromptPart, RequestMetadata, ResponseMetadata, StatedLimit};
pub use request_hash::{RequestContent, RequestHash};
pub(crate) use upstream::Distance;
pub use upstream::{InstanceId, ServiceId, Topology, Upstream, UpstreamId, VersionId};
