//! Keeps streams at the software version that began them: finds that version for streams that
//! callers take up (`take_up`), and writes what must outlive this gateway to the store (`records`,
//! `markers`).

mod markers;
mod records;
mod take_up;

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::info;
use tokio::sync::{Mutex, Notify};

use super::state::Shared;
use crate::model::{ServiceId, Upstream, VersionId};
use crate::stream_versions::{
    MarkerKeeper, RecordedStreams, ServiceVersions, StreamLog, StreamRecordStore,
};

pub(super) use markers::keep_markers;
pub(super) use records::{StreamStart, run};
pub(super) use take_up::StreamTarget;

/// Time for which a stream may last before the first configuration.
const DEFAULT_STREAM_LIFETIME: Duration = Duration::from_secs(10);

/// Newest read of the records, and when it was begun.
type Lookup = Option<(Instant, Rc<RecordedStreams>)>;

/// State of this module.
#[derive(Default)]
pub(super) struct StreamVersions {
    log: RefCell<StreamLog>,
    pub(super) services: RefCell<ServiceVersions>,
    marker_keeper: RefCell<MarkerKeeper>,
    markers_checked_at: Cell<Option<Instant>>,
    pub(super) store: RefCell<Option<Rc<dyn StreamRecordStore>>>,
    /// Services whose marker is being written.
    marker_writes: RefCell<HashSet<ServiceId>>,
    record_notify: Notify,
    /// Locked during a read, so that all streams that are taken up meanwhile share the next one.
    lookup: Mutex<Lookup>,
}

impl Shared {
    fn store_era(&self) -> u64 {
        self.read_schedule.borrow().position().map_or(0, |position| position.era)
    }

    /// Version at which a stream should begin while the marker of its service names one and another
    /// one has just appeared.
    pub(super) fn preferred_version(&self, service: ServiceId) -> Option<VersionId> {
        self.stream_versions.services.borrow().preferred(service, self.store_era())
    }

    fn stream_lifetime(&self) -> Duration {
        self.configuration()
            .map_or(DEFAULT_STREAM_LIFETIME, |configuration| configuration.stream_lifetime)
    }

    /// Writes the records of this gateway again, as the store may have lost them.
    pub(super) fn rewrite_stream_records(&self) {
        self.stream_versions.log.borrow_mut().record_loss();
        self.stream_versions.record_notify.notify_one();
    }

    /// Writes the records of this gateway if a changed marker no longer stands for its streams.
    pub(super) fn record_marker_change(&self) {
        self.stream_versions.log.borrow_mut().record_marker_change();
        self.stream_versions.record_notify.notify_one();
    }

    /// Records what an upstream announces, which may be another version under an instance id that
    /// is known.
    pub(super) fn check_version_change(&self, upstream: &Upstream) {
        let known = self.upstream_table.borrow().version_of(&upstream.instance);
        if known.is_some_and(|known| known != upstream.version) {
            let now = self.clock.now();
            info!("upstream.version instance={} version={}", upstream.instance, upstream.version);
            self.stream_versions.log.borrow_mut().record_version_change(&upstream.instance, now);
            self.stream_versions.record_notify.notify_one();
        }
    }
}
