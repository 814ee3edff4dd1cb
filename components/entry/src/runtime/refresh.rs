//! Periodic task that reads the host list and writes pending audit records.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use store::HostState;

use super::Shared;
use crate::controllers::configuration::flush_audit;
use crate::controllers::membership::Event;

/// Interval between two reads of the host list.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) async fn run(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(REFRESH_INTERVAL);
    loop {
        interval.tick().await;
        refresh_hosts(&shared).await;
        flush_audit(&*shared.store, &shared.pending_audit).await;
    }
}

async fn refresh_hosts(shared: &Shared) {
    let Some(snapshot) = shared.active_configuration.load() else { return };
    let hosts = match shared.host_list.read().await {
        Ok(hosts) => hosts,
        Err(error) => {
            warn!("host states not refreshed: {error}");
            return;
        }
    };
    for (name, upstream) in &snapshot.document.upstreams {
        let leaving = hosts.get(&upstream.host) != Some(&HostState::Live);
        let now = shared.clock.now();
        shared.update_upstream_status(name, |status| {
            status.availability_state.on_event(Event::HostListed { leaving }, now)
        });
    }
}
