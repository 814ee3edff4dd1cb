//! Digest that gateways send each other periodically.

use serde::{Deserialize, Serialize};

use crate::crash_quarantine::{PartId, QuarantineNews};
use crate::model::{PeerId, Position, RequestHash, UpstreamId};
use crate::upstream_limits::LimitNews;

/// State of the store as known to a gateway. Each digest is self-contained, so that a lost one only
/// makes the receiver's knowledge older.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Id of the sending gateway process.
    pub from: PeerId,
    /// Sequence number, increasing with each digest of a process.
    pub sequence: u32,
    /// Whether the sender leaves brokering and bucket ownership to other gateways.
    pub leaving: bool,
    /// Version of the sender's active configuration.
    pub version: u64,
    /// Fingerprint of the store's state as known to the sender.
    pub fingerprint: u64,
    /// Position in the store's history up to which the sender knows the state.
    pub position: Option<Position>,
    /// Milliseconds since the store confirmed that state.
    pub confirmed_ms_ago: Option<u32>,
    /// Whether the sender is receiving a long response of the store.
    pub receiving: bool,
    /// What the sender knows of prompt parts under which engines end.
    pub part_news: QuarantineNews<PartId>,
    /// Upstreams whose responses to the sender say that they leave.
    pub leaving_upstreams: Vec<UpstreamId>,
    /// Newest digests that the sender has received from gateways of its zone, by sequence number.
    pub acknowledged: Vec<(PeerId, u32)>,
    /// What later versions of the digest have in addition.
    #[serde(skip)]
    pub extension: DigestExtension,
}

/// Fields that follow the digest in its datagram. An earlier version reads the digest without them,
/// and a digest of an earlier version has none, so that gateways of both versions work together
/// during an update. Further fields go to the end, in the same way.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DigestExtension {
    /// Limits that upstreams have named to the sender.
    pub limits: Vec<LimitNews>,
    /// What the sender knows of requests under which upstreams end.
    pub request_news: QuarantineNews<RequestHash>,
    /// Milliseconds between the last confirmation of customers' keys and that of the state: the
    /// store may hold an older copy, in which keys are valid that were taken away.
    pub keys_lag_ms: u32,
    /// Gateways that the sender counts, itself included; `None` from the version before. It follows
    /// the other fields by itself.
    #[serde(skip)]
    pub gateway_count: Option<u32>,
}
