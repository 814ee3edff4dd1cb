//! Keeps streams at the software version that began them: finds that version for streams that
//! callers take up, and writes markers and records to the store.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use errors::{Refusal, ResultCode};
use log::{info, warn};
use rand::Rng;
use tokio::sync::{Mutex, Notify};
use tokio::time::timeout;

use super::admission::clamp_retry_after;
use super::log_fields::or_none;
use super::state::{Shared, SharedRef};
use crate::model::{RequestMetadata, Route, RouteKind, ServiceId, Upstream, VersionId};
use crate::routes::pick_target;
use crate::stream_versions::{
    MarkerKeeper, Markers, Origin, RecordedStreams, ServiceView, StreamId, StreamLog,
    StreamRecordStore,
};

/// Minimum interval between two writes of this gateway's records.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(200);

/// The interval is at least this long for each gateway, so that the writes of all of them stay well
/// below the rate limit of the store, which grows more slowly than the fleet.
const RECORD_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(5);

/// Delay before records, or a marker, are written again after a failure.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest time for which a stream that its caller takes up waits for a read of the records.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time for which the first event of a stream waits for the service's marker to be replaced,
/// which is necessary only right after a new version has appeared.
const MARKER_WAIT_LIMIT: Duration = Duration::from_millis(500);

/// Interval at which is checked whether the marker has been replaced.
const MARKER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Retry delay given where the version that began a stream is not known or not in service: records
/// and upstreams may be back soon.
const TAKE_UP_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time for which a stream may last over all attempts of its caller, in multiples of the longest
/// timeout of a route.
pub(super) const STREAM_LIFETIME_TIMEOUTS: u32 = 2;

/// Bounds of that time.
pub(super) const STREAM_LIFETIME_RANGE: (Duration, Duration) =
    (Duration::from_secs(10), Duration::from_secs(400));

/// State of this module.
#[derive(Default)]
pub(super) struct StreamVersions {
    log: RefCell<StreamLog>,
    /// Markers as known from the store.
    pub(super) markers: RefCell<Markers>,
    keeper: RefCell<MarkerKeeper>,
    /// Versions of the announced upstreams of each service.
    announced: RefCell<HashMap<ServiceId, Vec<VersionId>>>,
    pub(super) store: RefCell<Option<Rc<dyn StreamRecordStore>>>,
    /// Services whose marker is being written.
    marker_writes: RefCell<HashSet<ServiceId>>,
    /// Revision of the log whose records were last written.
    written_revision: Cell<Option<u64>>,
    record_notify: Notify,
    /// Newest read of the records, and when it was begun. Locked during a read, so that all streams
    /// that are taken up meanwhile share the next one.
    lookup: Mutex<Option<(Instant, Rc<RecordedStreams>)>>,
}

/// Service of a request, and what is known of its stream.
pub(super) struct StreamTarget {
    pub(super) service: String,
    /// The stream, if it may be resumed.
    pub(super) stream: Option<StreamId>,
    /// Version at which the stream has to go on; `None` if it begins.
    pub(super) version: Option<VersionId>,
    /// Whether the stream is known to have begun and broken off. A caller may claim that of any
    /// request, so its word alone gives no precedence.
    pub(super) resumes: bool,
}

impl Shared {
    /// Writes the records of this gateway again.
    pub(super) fn rewrite_stream_records(&self) {
        self.stream_versions.written_revision.set(None);
        self.stream_versions.record_notify.notify_one();
    }

    /// Writes the records of this gateway if a changed marker no longer stands for its streams.
    pub(super) fn record_marker_change(&self) {
        self.stream_versions.log.borrow_mut().record_marker_change();
        self.stream_versions.record_notify.notify_one();
    }

    /// Records that an upstream may announce another version under an instance id that is known.
    pub(super) fn check_version_change(&self, upstream: &Upstream) {
        let known = self.upstream_table.borrow().version_of(&upstream.instance);
        if known.is_some_and(|known| known != upstream.version) {
            let now = self.clock.now();
            info!("upstream.version instance={} version={}", upstream.instance, upstream.version);
            self.stream_versions.log.borrow_mut().record_version_change(&upstream.instance, now);
            self.stream_versions.record_notify.notify_one();
        }
    }

    /// Updates the versions of the services from the usable upstreams.
    pub(super) fn update_announced_versions(&self, usable: &[Upstream]) {
        let mut announced: HashMap<ServiceId, Vec<VersionId>> = HashMap::new();
        for upstream in usable {
            let versions = announced.entry(ServiceId::of(&upstream.service)).or_default();
            versions.push(upstream.version_id());
        }
        for versions in announced.values_mut() {
            versions.sort_unstable();
            versions.dedup();
        }
        *self.stream_versions.announced.borrow_mut() = announced;
    }

    fn store_era(&self) -> u64 {
        self.read_schedule.borrow().position().map_or(0, |position| position.era)
    }

    /// The version at which all unrecorded streams of a service begin, as this gateway knows it.
    fn only_version(&self, service: ServiceId) -> Option<VersionId> {
        self.stream_versions.markers.borrow().only(service, self.store_era())
    }

    fn has_usable_upstream(&self, service: ServiceId, version: VersionId) -> bool {
        self.upstreams.borrow().values().any(|upstream| {
            !upstream.draining
                && ServiceId::of(&upstream.service) == service
                && upstream.version_id() == version
        })
    }

    /// Version at which a stream should begin while the marker of its service names one and another
    /// one has just appeared.
    pub(super) fn preferred_version(&self, service: ServiceId) -> Option<VersionId> {
        let only = self.only_version(service)?;
        let is_alone = self
            .stream_versions
            .announced
            .borrow()
            .get(&service)
            .is_none_or(|versions| versions[..] == [only]);
        (!is_alone && self.has_usable_upstream(service, only)).then_some(only)
    }

    /// Chooses the service of a request. A stream that its caller takes up goes to the service and
    /// the version that began it, or is refused.
    pub(super) async fn choose_target(
        &self,
        route: &Route,
        metadata: &RequestMetadata,
        customer: Option<&str>,
        arrived: Instant,
        time_left: Duration,
    ) -> Result<StreamTarget, Refusal> {
        let resumable = matches!(route.kind, RouteKind::Stream { resumable: true });
        let is_taken_up = resumable && metadata.resume_after.is_some();
        let root = if is_taken_up {
            metadata.resumes.as_deref()
        } else {
            Some(metadata.attempt_id.as_str()).filter(|id| resumable && !id.is_empty())
        };
        let stream = root.map(|id| StreamId::of(customer, id));
        let sample = stream.map_or_else(|| rand::rng().random(), StreamId::sample);
        let service = pick_target(&route.targets, sample)
            .ok_or_else(|| Refusal::not_run(ResultCode::NoUpstream))?;
        if !is_taken_up {
            let service = service.to_owned();
            return Ok(StreamTarget { service, stream, version: None, resumes: false });
        }
        let origin = self.find_origin(stream, ServiceId::of(service), arrived).await;
        let target = self.target_at_origin(route, service, origin);
        info!(
            "stream.take_up id={} resumes={} after={} origin={origin:?} service={}",
            metadata.attempt_id,
            or_none(metadata.resumes.as_deref()),
            or_none(metadata.resume_after),
            or_none(target.as_ref().ok().map(|(service, _)| *service)),
        );
        let (service, version) = target.map_err(|code| {
            self.not_run_refusal(code, clamp_retry_after(TAKE_UP_RETRY_AFTER, time_left))
        })?;
        let (service, version) = (service.to_owned(), Some(version));
        let resumes = matches!(origin, Origin::Recorded(_));
        Ok(StreamTarget { service, stream, version, resumes })
    }

    /// The service and version of a stream that its caller takes up. `chosen` is the service of
    /// streams in no record.
    fn target_at_origin<'a>(
        &self,
        route: &'a Route,
        chosen: &'a str,
        origin: Origin,
    ) -> Result<(&'a str, VersionId), ResultCode> {
        let serves =
            |service: &str, version| self.has_usable_upstream(ServiceId::of(service), version);
        let (service, version) = match origin {
            Origin::Unknown => return Err(ResultCode::StreamOriginUnknown),
            Origin::Only(version) => (Some(chosen).filter(|name| serves(name, version)), version),
            Origin::Recorded(version) => {
                let services = route.targets.iter().map(|target| target.service.as_str());
                (services.into_iter().find(|name| serves(name, version)), version)
            }
        };
        service.map(|service| (service, version)).ok_or(ResultCode::StreamVersionGone)
    }

    /// Finds the version that began a stream, from the streams of this gateway or a read of the
    /// records that is begun after the request arrived.
    async fn find_origin(
        &self,
        stream: Option<StreamId>,
        service: ServiceId,
        arrived: Instant,
    ) -> Origin {
        let logged = stream.and_then(|id| self.stream_versions.log.borrow().version_of(id));
        if let Some(version) = logged {
            return version.map_or(Origin::Unknown, Origin::Recorded);
        }
        match timeout(LOOKUP_TIMEOUT, self.look_up(arrived)).await.ok().flatten() {
            Some(recorded) => match stream {
                Some(stream) => recorded.origin(stream, service),
                None => recorded.origin_of_unrecorded(service),
            },
            None => self.origin_without_lookup(service),
        }
    }

    /// While the store does not answer, a service that has had one version for long has it still.
    fn origin_without_lookup(&self, service: ServiceId) -> Origin {
        let only = self.only_version(service);
        let announced = self.stream_versions.announced.borrow();
        let is_alone = |version: &VersionId| {
            announced.get(&service).is_some_and(|versions| versions[..] == [*version])
        };
        only.filter(is_alone).map_or(Origin::Unknown, Origin::Only)
    }

    /// Reads markers and records, or returns a read that was begun after `arrived`.
    async fn look_up(&self, arrived: Instant) -> Option<Rc<RecordedStreams>> {
        let store = self.stream_versions.store.borrow().clone()?;
        let mut newest = self.stream_versions.lookup.lock().await;
        if let Some((begun_at, recorded)) = &*newest
            && *begun_at >= arrived
        {
            return Some(recorded.clone());
        }
        let begun_at = self.clock.now();
        match store.read().await {
            Ok(recorded) => {
                let recorded = Rc::new(recorded);
                *newest = Some((begun_at, recorded.clone()));
                Some(recorded)
            }
            Err(error) => {
                warn!("stream_records.unread reason={error}");
                None
            }
        }
    }

    /// Records the version at which a stream begins or goes on, before its first event reaches the
    /// caller.
    pub(super) async fn begin_stream(&self, stream: StreamId, upstream: &Upstream) {
        let service = ServiceId::of(&upstream.service);
        // The upstream may have started again at another version since it was chosen.
        let announced = self.upstream_table.borrow().version_of(&upstream.instance);
        let is_same = announced.is_none_or(|announced| announced == upstream.version);
        let version = is_same.then(|| upstream.version_id());
        let now = self.clock.now();
        self.stream_versions.log.borrow_mut().begin(
            stream,
            service,
            version,
            upstream.instance.clone(),
            now,
        );
        let is_marked = || version.is_some() && version == self.only_version(service);
        if is_marked() {
            return;
        }
        self.stream_versions.record_notify.notify_one();
        while self.only_version(service).is_some() && !is_marked() {
            if self.clock.now().saturating_duration_since(now) >= MARKER_WAIT_LIMIT {
                warn!("stream.unmarked instance={}", upstream.instance);
                return;
            }
            tokio::time::sleep(MARKER_POLL_INTERVAL).await;
        }
    }

    /// The version that began a stream which this gateway relays; `None` if it is not known.
    pub(super) fn stream_version(&self, stream: StreamId) -> Option<VersionId> {
        self.stream_versions.log.borrow().version_of(stream).flatten()
    }

    /// Records that a stream has ended with its last event.
    pub(super) fn complete_stream(&self, stream: StreamId) {
        self.stream_versions.log.borrow_mut().complete(stream);
    }

    /// Records that a stream broke off, or that its caller has left.
    pub(super) fn break_off_stream(&self, stream: StreamId) {
        self.stream_versions.log.borrow_mut().break_off(stream, self.clock.now());
    }

    fn stream_lifetime(&self) -> Duration {
        self.configuration()
            .map_or(STREAM_LIFETIME_RANGE.0, |configuration| configuration.stream_lifetime)
    }

    /// Forgets streams that nobody takes up any more.
    pub(super) fn expire_streams(&self, now: Instant) {
        self.stream_versions.log.borrow_mut().expire(self.stream_lifetime(), now);
    }

    /// Views of the services whose streams may be resumed.
    fn service_views(&self) -> Vec<ServiceView> {
        let Some(configuration) = self.configuration() else { return Vec::new() };
        if self.read_schedule.borrow().position().is_none() {
            return Vec::new();
        }
        let announced = self.stream_versions.announced.borrow();
        let markers = self.stream_versions.markers.borrow();
        let view = |service: &ServiceId| {
            let ranked = self.ranked_brokers(*service);
            let rank = ranked.iter().position(|gateway| *gateway == self.process_id);
            ServiceView {
                service: *service,
                versions: announced.get(service).cloned().unwrap_or_default(),
                marker: markers.get(*service),
                era: self.store_era(),
                rank: rank.unwrap_or(ranked.len()) as u32,
                stream_lifetime: configuration.stream_lifetime,
            }
        };
        configuration.resumable_services.iter().map(view).collect()
    }

    fn record_interval(&self) -> Duration {
        let gateways = self.peers.borrow().gateway_count() as u32;
        MIN_RECORD_INTERVAL.max(RECORD_INTERVAL_PER_GATEWAY * gateways)
    }

    /// Writes the records of this gateway, if there are new ones. Returns whether that succeeded.
    async fn write_stream_records(&self) -> bool {
        let Some(store) = self.stream_versions.store.borrow().clone() else { return true };
        let (revision, records) = {
            let log = self.stream_versions.log.borrow();
            (log.revision(), log.records(|service| self.only_version(service)))
        };
        if records.is_empty() || self.stream_versions.written_revision.get() == Some(revision) {
            return true;
        }
        match store.write_records(&records, self.stream_lifetime()).await {
            Ok(()) => {
                self.stream_versions.written_revision.set(Some(revision));
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
pub(super) async fn run(shared: SharedRef) {
    loop {
        shared.stream_versions.record_notify.notified().await;
        if shared.write_stream_records().await {
            tokio::time::sleep(shared.record_interval()).await;
        } else {
            shared.stream_versions.record_notify.notify_one();
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }
}

/// Begins to write the markers that are due.
pub(super) fn keep_markers(shared: &SharedRef) {
    let now = shared.clock.now();
    for view in shared.service_views() {
        let marker = shared.stream_versions.keeper.borrow_mut().next_marker(&view, now);
        let Some(marker) = marker else { continue };
        let Some(store) = shared.stream_versions.store.borrow().clone() else { return };
        if !shared.stream_versions.marker_writes.borrow_mut().insert(view.service) {
            continue;
        }
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let ServiceView { service, marker: known, .. } = view;
            let replaces = known.map(|(_, position)| position);
            match store.write_marker(service, marker, replaces).await {
                Ok(position) => {
                    info!("stream_marker.written service={service:?} only={:?}", marker.only);
                    shared.stream_versions.markers.borrow_mut().apply(
                        service,
                        Some(marker),
                        position,
                    );
                    shared.record_marker_change();
                }
                Err(error) => {
                    info!("stream_marker.unwritten service={service:?} reason={error}");
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
            shared.stream_versions.marker_writes.borrow_mut().remove(&service);
        });
    }
}
