//! Writes the markers of services as they become due.

use std::rc::Rc;
use std::time::Duration;

use log::info;

use super::super::state::{Shared, SharedRef};
use crate::model::ServiceId;
use crate::stream_versions::{Marker, ServiceView, StreamRecordStore};

/// Delay before a marker is written again after a failure.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Age of the store's last confirmation from which this gateway may have missed a version that came
/// and went.
const MAX_VIEW_AGE: Duration = Duration::from_secs(3);

/// Time between two checks from which the process has stood still.
const MAX_CHECK_GAP: Duration = Duration::from_secs(1);

/// Begins to write the markers that are due.
pub(in crate::runtime) fn keep_markers(shared: &SharedRef) {
    let Some(store) = shared.stream_versions.store.borrow().clone() else { return };
    let now = shared.clock.now();
    let checked_at = shared.stream_versions.markers_checked_at.replace(Some(now));
    let gap = checked_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    for view in shared.service_views(gap) {
        let due = shared.stream_versions.marker_keeper.borrow_mut().next_marker(&view, now);
        let Some(marker) = due else { continue };
        if shared.stream_versions.marker_writes.borrow_mut().insert(view.service) {
            let written = write_marker(shared.clone(), store.clone(), view, marker);
            tokio::task::spawn_local(written);
        }
    }
}

async fn write_marker(
    shared: SharedRef,
    store: Rc<dyn StreamRecordStore>,
    view: ServiceView,
    marker: Marker,
) {
    let ServiceView { service, marker: known, .. } = view;
    let replaces = known.map(|(_, position)| position);
    match store.write_marker(service, marker, replaces).await {
        Ok(position) => {
            info!("stream_marker.written service={service:?} only={:?}", marker.only);
            let mut services = shared.stream_versions.services.borrow_mut();
            services.markers_mut().apply(service, Some(marker), position);
            drop(services);
            shared.record_marker_change();
        }
        Err(error) => {
            info!("stream_marker.unwritten service={service:?} reason={error}");
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }
    shared.stream_versions.marker_writes.borrow_mut().remove(&service);
}

impl Shared {
    /// Views of the services whose streams may be resumed; none before the first read of the store.
    /// `gap` is the time since they were last looked at.
    fn service_views(&self, gap: Duration) -> Vec<ServiceView> {
        let Some(configuration) = self.configuration() else { return Vec::new() };
        if self.read_schedule.borrow().position().is_none() {
            return Vec::new();
        }
        let is_confirmed = self.freshness.get().is_within(self.clock.uptime(), MAX_VIEW_AGE);
        let is_current = is_confirmed && gap <= MAX_CHECK_GAP;
        let services = self.stream_versions.services.borrow();
        let view = |service: &ServiceId| {
            let ranked = self.ranked_brokers(*service);
            let rank = ranked.iter().position(|gateway| *gateway == self.process_id);
            ServiceView {
                service: *service,
                versions: services.announced(*service).to_vec(),
                marker: services.markers().get(*service),
                era: self.store_era(),
                rank: rank.unwrap_or(ranked.len()) as u32,
                stream_lifetime: configuration.stream_lifetime,
                is_current,
            }
        };
        configuration.resumable_services.iter().map(view).collect()
    }
}
