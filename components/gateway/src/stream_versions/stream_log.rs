//! Streams that this gateway relays, and those that broke off at it.
//!
//! Load pattern: hundreds of streams a second at each of a hundred gateways, all of which write to
//! one store with a rate limit. Each gateway writes all that it knows at once, less often in a large
//! fleet, and nothing waits for it. Streams that broke off are kept for as long as they may be taken
//! up, up to a bound.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::StreamId;
use crate::model::{InstanceId, ServiceId, VersionId};

/// Largest number of streams that are remembered; those that broke off first are forgotten first.
const MAX_STREAMS: usize = 16_384;

/// Number of streams that are forgotten together.
const FORGOTTEN_TOGETHER: usize = 1_024;

/// Minimum interval between two writes of a gateway's records.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(200);

/// The interval is at least this long for each gateway, so that the writes of all of them stay well
/// below the rate limit of the store, which grows more slowly than the fleet.
const RECORD_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(5);

/// Time for which a gateway may not have read that an upstream has started again at another
/// version. Streams that began within that time before it learns so may have begun at either one.
const VERSION_LAG: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct LoggedStream {
    service: ServiceId,
    /// Version that began the stream; `None` if it is not known.
    version: Option<VersionId>,
    instance: InstanceId,
    began_at: Instant,
    /// When the stream broke off here; `None` while it is relayed.
    broke_off_at: Option<Instant>,
}

/// Streams of one version, as a gateway records them in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// Version that began the streams; `None` if it is not known.
    pub version: Option<VersionId>,
    /// The streams.
    pub streams: Vec<StreamId>,
}

/// Records that the store does not hold yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueRecords {
    /// All records of this gateway.
    pub records: Vec<StreamRecord>,
    /// Revision of the log that they hold.
    revision: u64,
}

/// Time between two writes of a gateway's records.
pub fn record_interval(gateway_count: usize) -> Duration {
    let gateway_count = u32::try_from(gateway_count).unwrap_or(u32::MAX);
    MIN_RECORD_INTERVAL.max(RECORD_INTERVAL_PER_GATEWAY.saturating_mul(gateway_count))
}

/// Streams that this gateway relays, and those that broke off at it recently.
#[derive(Debug, Default)]
pub struct StreamLog {
    streams: HashMap<StreamId, LoggedStream>,
    /// Increases when the records may hold more than before.
    revision: u64,
    /// Revision of which the store holds the records.
    written_revision: Option<u64>,
}

impl StreamLog {
    /// Records that a stream begins, or goes on, at an upstream of a version.
    pub fn begin(
        &mut self,
        stream: StreamId,
        service: ServiceId,
        version: Option<VersionId>,
        instance: InstanceId,
        now: Instant,
    ) {
        if self.streams.len() >= MAX_STREAMS && !self.streams.contains_key(&stream) {
            self.forget_oldest();
        }
        let logged = LoggedStream { service, version, instance, began_at: now, broke_off_at: None };
        self.streams.insert(stream, logged);
        self.revision += 1;
    }

    fn forget_oldest(&mut self) {
        let broken = |(id, logged): (&StreamId, &LoggedStream)| Some((logged.broke_off_at?, *id));
        let mut broken: Vec<(Instant, StreamId)> = self.streams.iter().filter_map(broken).collect();
        broken.sort_unstable();
        for (_, stream) in broken.into_iter().take(FORGOTTEN_TOGETHER) {
            self.streams.remove(&stream);
        }
    }

    /// Records that a stream has ended with its last event; nobody takes it up.
    pub fn complete(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// Records that a stream broke off, or that its caller has left.
    pub fn break_off(&mut self, stream: StreamId, now: Instant) {
        if let Some(logged) = self.streams.get_mut(&stream) {
            logged.broke_off_at = Some(now);
        }
    }

    /// Records that an upstream announces another version under the same instance id.
    pub fn record_version_change(&mut self, instance: &str, now: Instant) {
        for logged in self.streams.values_mut() {
            let is_recent = now.saturating_duration_since(logged.began_at) < VERSION_LAG;
            if *logged.instance == *instance && is_recent && logged.version.take().is_some() {
                self.revision += 1;
            }
        }
    }

    /// Forgets streams that broke off longer ago than a stream may last.
    pub fn expire(&mut self, stream_lifetime: Duration, now: Instant) {
        self.streams.retain(|_, logged| {
            logged.broke_off_at.is_none_or(|at| now.saturating_duration_since(at) < stream_lifetime)
        });
    }

    /// The version that began a stream, `Some(None)` if it is not known; `None` if the stream is not
    /// in the log.
    pub fn version_of(&self, stream: StreamId) -> Option<Option<VersionId>> {
        self.streams.get(&stream).map(|logged| logged.version)
    }

    /// Records that a marker has changed, which may no longer stand for streams in the log.
    pub fn record_marker_change(&mut self) {
        self.revision += 1;
    }

    /// Records that the store may no longer hold the records.
    pub fn record_loss(&mut self) {
        self.written_revision = None;
    }

    /// Records that the store holds these records.
    pub fn record_written(&mut self, written: &DueRecords) {
        self.written_revision = Some(written.revision);
    }

    /// The records to write, if the store lacks any. `only` returns the version that a service's
    /// marker names.
    pub fn due_records(&self, only: impl Fn(ServiceId) -> Option<VersionId>) -> Option<DueRecords> {
        if self.written_revision == Some(self.revision) {
            return None;
        }
        let records = self.records(only);
        (!records.is_empty()).then_some(DueRecords { records, revision: self.revision })
    }

    /// All streams whose version follows from no marker.
    fn records(&self, only: impl Fn(ServiceId) -> Option<VersionId>) -> Vec<StreamRecord> {
        let mut by_version: BTreeMap<Option<VersionId>, Vec<StreamId>> = BTreeMap::new();
        for (stream, logged) in &self.streams {
            if logged.version.is_none() || logged.version != only(logged.service) {
                by_version.entry(logged.version).or_default().push(*stream);
            }
        }
        let record = |(version, mut streams): (_, Vec<StreamId>)| {
            streams.sort_unstable();
            StreamRecord { version, streams }
        };
        by_version.into_iter().map(record).collect()
    }
}
