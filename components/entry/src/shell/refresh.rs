//! Keeps the configuration in force, host list and agents' reports fresh.

use std::sync::Arc;
use std::time::Duration;

use configuration::{Offer, Snapshot};
use log::{info, warn};
use platform::HostState;

use super::Shared;
use crate::controllers::configuration::read_current;

const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) async fn run(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(REFRESH_INTERVAL);
    loop {
        interval.tick().await;
        refresh_configuration(&shared).await;
        refresh_hosts(&shared).await;
    }
}

async fn refresh_configuration(shared: &Shared) {
    match read_current(&*shared.store).await {
        Ok(Some((_, stored))) => {
            let version = stored.version;
            if shared.in_force.version() >= version {
                return;
            }
            if shared.in_force.offer(Snapshot::new(version, stored.document)) == Offer::Taken {
                info!("configuration version={version} in force");
            }
        }
        Ok(None) => {}
        Err(error) => warn!("configuration not read: {error}"),
    }
}

async fn refresh_hosts(shared: &Shared) {
    let Some(snapshot) = shared.in_force.load() else { return };
    let hosts = match shared.host_list.read().await {
        Ok(hosts) => hosts,
        Err(error) => {
            warn!("{error}");
            return;
        }
    };
    for (name, upstream) in &snapshot.document.upstreams {
        let leaving = hosts.get(&upstream.host) != Some(&HostState::Live);
        shared.update_heard(name, |heard| heard.leaving = leaving);
    }
}
