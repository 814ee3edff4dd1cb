//! Streams that this gateway relays: their log, and the records of them in the store.

use std::time::{Duration, Instant};

use log::warn;

use super::super::state::{Shared, SharedRef};
use crate::model::{ServiceId, Upstream, VersionId};
use crate::stream_versions::{StreamId, record_interval};

/// Delay before records are written again after a failure.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time for which the first event of a stream waits for the service's marker to be replaced, which is
/// necessary only right after a new version has appeared. Then the stream begins elsewhere, if
/// upstreams of the marked version serve.
const MARKER_WAIT_LIMIT: Duration = Duration::from_millis(500);

/// Interval at which is checked whether the marker has been replaced.
const MARKER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Whether the events of a stream may reach its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::runtime) enum StreamStart {
    /// They may.
    Begun,
    /// The marker of the service names another version.
    Unmarked,
}

impl Shared {
    /// Records the version at which a stream begins or goes on, before its first event reaches the
    /// caller. Must not reach it if the marker names another version: in no record yet, the stream
    /// would go on at that one at another gateway.
    pub(in crate::runtime) async fn begin_stream(
        &self,
        stream: StreamId,
        upstream: &Upstream,
        deadline: Instant,
    ) -> StreamStart {
        let service = ServiceId::of(&upstream.service);
        // The upstream may have started again at another version since it was chosen.
        let announced = self.upstream_table.borrow().version_of(&upstream.instance);
        let is_same = announced.is_none_or(|announced| announced == upstream.version);
        let version = is_same.then(|| upstream.version_id());
        let now = self.clock.now();
        let instance = upstream.instance.clone();
        self.stream_versions.log.borrow_mut().begin(stream, service, version, instance, now);
        self.stream_versions.record_notify.notify_one();
        let is_marked_otherwise = || {
            let services = self.stream_versions.services.borrow();
            services.is_marked_otherwise(service, upstream.version_id(), self.store_era())
        };
        while is_marked_otherwise() {
            let waited = self.clock.now().saturating_duration_since(now);
            let may_begin_elsewhere =
                waited >= MARKER_WAIT_LIMIT && self.preferred_version(service).is_some();
            if may_begin_elsewhere || self.clock.now() >= deadline {
                warn!("stream.unmarked instance={}", upstream.instance);
                return StreamStart::Unmarked;
            }
            tokio::time::sleep(MARKER_POLL_INTERVAL).await;
        }
        StreamStart::Begun
    }

    /// The version that began a stream which this gateway relays; `None` if it is not known.
    pub(in crate::runtime) fn stream_version(&self, stream: StreamId) -> Option<VersionId> {
        self.stream_versions.log.borrow().version_of(stream).flatten()
    }

    /// Records that a stream has ended with its last event.
    pub(in crate::runtime) fn complete_stream(&self, stream: StreamId) {
        self.stream_versions.log.borrow_mut().complete(stream);
    }

    /// Records that a stream broke off, or that its caller has left.
    pub(in crate::runtime) fn break_off_stream(&self, stream: StreamId) {
        self.stream_versions.log.borrow_mut().break_off(stream, self.clock.now());
    }

    /// Forgets streams that nobody takes up any more.
    pub(in crate::runtime) fn expire_streams(&self, now: Instant) {
        self.stream_versions.log.borrow_mut().expire(self.stream_lifetime(), now);
    }

    /// Writes the records of this gateway, if there are new ones. Returns whether that succeeded.
    async fn write_stream_records(&self) -> bool {
        let Some(store) = self.stream_versions.store.borrow().clone() else { return true };
        let due = {
            let services = self.stream_versions.services.borrow();
            let only = |service| services.markers().only(service, self.store_era());
            self.stream_versions.log.borrow().due_records(only)
        };
        let Some(due) = due else { return true };
        match store.write_records(&due.records, self.stream_lifetime()).await {
            Ok(()) => {
                self.stream_versions.log.borrow_mut().record_written(&due);
                true
            }
            Err(error) => {
                warn!("stream_records.unwritten reason={error}");
                false
            }
        }
    }
}

/// Writes this gateway's records as streams begin, until the process ends.
pub(in crate::runtime) async fn run(shared: SharedRef) {
    loop {
        shared.stream_versions.record_notify.notified().await;
        if shared.write_stream_records().await {
            let gateway_count = shared.peers.borrow().gateway_count();
            tokio::time::sleep(record_interval(gateway_count)).await;
        } else {
            shared.stream_versions.record_notify.notify_one();
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }
}
