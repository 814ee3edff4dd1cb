//! Software versions that began the streams of callers, so that a stream goes on at its own version
//! at any gateway.
//!
//! Upstreams of several versions may serve side by side. What two of them write does not fit
//! together, upstreams do not check it, and a caller that takes up a stream only names the attempt
//! that began it. Hosts have no disk, so what must outlive a gateway lies in the store:
//!
//! - a marker for each service, which says that all its streams begin at one version, or that they
//!   begin at several;
//! - a record for each gateway, of the streams that it relays or that broke off there and whose
//!   version follows from no marker. It is written some times a second and lapses with its lease.
//!
//! A stream in no record begins at the version that the marker names; without one its version is
//! not known, and it does not go on. No record is ever trusted to be complete, so that one that is
//! lost, late or not writable costs a resumed stream, and never joins two versions.
//!
//! Load pattern: all gateways are killed at once while half of the upstreams have been replaced, and
//! callers take up their streams at processes that know nothing of them.

mod lookup;
mod marker;
mod marker_keeper;
mod record_store;
mod service_versions;
mod stream_log;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

pub use lookup::{Origin, RecordedStreams};
pub use marker::{Marker, Markers};
pub use marker_keeper::{MarkerKeeper, ServiceView};
pub use record_store::{RecordStoreError, StreamRecordStore};
pub use service_versions::ServiceVersions;
pub use stream_log::{DueRecords, StreamLog, StreamRecord, record_interval};

/// Hash that identifies a stream: its customer, and the caller's attempt that brought its first
/// event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Computes the id of the stream that an attempt of a customer began.
    pub fn of(customer: Option<&str>, attempt_id: &str) -> StreamId {
        StreamId(xxh3_64(format!("{}\n{attempt_id}", customer.unwrap_or_default()).as_bytes()))
    }

    /// A number that is uniformly distributed in 0..1 over streams, and the same at each gateway.
    pub fn sample(self) -> f64 {
        const FRACTION_BITS: u32 = f64::MANTISSA_DIGITS;
        (self.0 >> (u64::BITS - FRACTION_BITS)) as f64 / (1_u64 << FRACTION_BITS) as f64
    }
}
