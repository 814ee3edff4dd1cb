//! Thread that keeps the active configuration of a process up to date.
//!
//! Applying a patch to a document with many customers takes a while. A thread of its own keeps this
//! work from delaying requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result};
use clock::Clock;
use configuration::ActiveConfiguration;
use configuration::sync::{
    ConfigurationSync, Event, NextStep, PeerTopology, Source, choose_relays,
};
use identity::{ConfigVersion, ZoneId};
use log::warn;
use store::KeyValueStore;
use tokio::sync::{Notify, mpsc};
use wire::v1::peer_server::PeerServer;

use crate::connections::Connections;
use crate::fetch::ConfigurationFetcher;
use crate::serve::{ConfigurationService, PeerService};

/// Interval between two [`Event::Tick`]s of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Capacity of the queue of events for the state machine. If the queue is full, an announced
/// version is dropped, since it will soon be announced again.
const EVENT_QUEUE_CAPACITY: usize = 256;

/// Parameters for the synchronisation of the configuration in one process.
pub struct PeerSync {
    /// Address at which other processes reach this one; `None` if it does not serve them.
    pub own_address: Option<SocketAddr>,
    /// Addresses of the processes that read the configuration from the store and relay it to the
    /// others of their zone.
    pub listed: Vec<SocketAddr>,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The platform's store; `None` if this process cannot reach it.
    pub store: Option<Arc<dyn KeyValueStore>>,
    /// The active configuration, which is kept up to date.
    pub active_configuration: Arc<ActiveConfiguration>,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
}

/// Handle of the synchronisation thread. The thread ends when the handle is dropped.
pub struct PeerSyncHandle {
    active_configuration: Arc<ActiveConfiguration>,
    version_observer: VersionObserver,
    stopped: Arc<Notify>,
}

/// Notifies the state machine of versions that other processes announce.
#[derive(Debug, Clone)]
pub(crate) struct VersionObserver {
    active_configuration: Arc<ActiveConfiguration>,
    events: mpsc::Sender<Event>,
}

impl VersionObserver {
    pub(crate) fn observe_version(&self, version: ConfigVersion, holder: Option<SocketAddr>) {
        if version > self.active_configuration.version() {
            let _ = self.events.try_send(Event::VersionAnnounced { version, holder });
        }
    }
}

impl PeerSync {
    /// Starts the synchronisation thread.
    pub fn spawn(self) -> Result<PeerSyncHandle> {
        let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let version_observer = VersionObserver {
            active_configuration: self.active_configuration.clone(),
            events: events.clone(),
        };
        let topology = PeerTopology {
            own_address: self.own_address,
            listed: self.listed,
            has_store: self.store.is_some(),
        };
        let fetcher = ConfigurationFetcher {
            active_configuration: self.active_configuration.clone(),
            store: self.store,
            connections: Connections::default(),
            own_address: self.own_address,
        };
        let task = SyncTask {
            sync: ConfigurationSync::new(topology, rand::random(), self.clock.now()),
            fetcher: Arc::new(fetcher),
            zone: self.zone,
            clock: self.clock,
            events,
            relays_version: ConfigVersion(0),
        };
        let stopped = Arc::new(Notify::new());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("cannot build the runtime of the peers thread")?;
        let stop = stopped.clone();
        thread::Builder::new().name("peers".to_owned()).spawn(move || {
            runtime.block_on(async move {
                tokio::select! {
                    () = task.run(queue) => {}
                    () = stop.notified() => {}
                }
            });
        })?;
        Ok(PeerSyncHandle {
            active_configuration: self.active_configuration,
            version_observer,
            stopped,
        })
    }
}

impl PeerSyncHandle {
    /// Creates the gRPC service that serves the active configuration to other processes.
    pub fn service(&self) -> PeerService {
        let version_observer = self.version_observer.clone();
        PeerServer::new(ConfigurationService {
            active_configuration: self.active_configuration.clone(),
            version_observer,
        })
    }

    /// Notifies the state machine of a version that another process announced, if it is newer than
    /// the active one. `holder` is the address to fetch the version from, if it is known.
    pub fn observe_version(&self, version: ConfigVersion, holder: Option<SocketAddr>) {
        self.version_observer.observe_version(version, holder);
    }

    /// Announces to the listed processes a version that this process has created and activated.
    pub async fn announce_version(&self, version: ConfigVersion) {
        let _ = self.version_observer.events.send(Event::VersionAccepted(version)).await;
    }

    /// Stops the synchronisation.
    pub fn stop(&self) {
        self.stopped.notify_one();
    }
}

impl Drop for PeerSyncHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// State of the synchronisation thread.
struct SyncTask {
    sync: ConfigurationSync,
    fetcher: Arc<ConfigurationFetcher>,
    zone: ZoneId,
    clock: Arc<dyn Clock>,
    events: mpsc::Sender<Event>,
    /// Version of the configuration that the current relays were chosen from.
    relays_version: ConfigVersion,
}

impl SyncTask {
    async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        loop {
            let event = tokio::select! {
                event = queue.recv() => event.unwrap_or(Event::Tick),
                _ = interval.tick() => Event::Tick,
            };
            self.refresh_relays();
            if let NextStep::Query(sources) = self.sync.on_event(event, self.clock.now()) {
                sources.into_iter().for_each(|source| self.spawn_fetch(source));
            }
        }
    }

    fn refresh_relays(&mut self) {
        let Some(snapshot) = self.fetcher.active_configuration.load() else { return };
        if snapshot.version != self.relays_version {
            self.relays_version = snapshot.version;
            self.sync.set_relays(choose_relays(&snapshot.document, &self.zone));
        }
    }

    fn spawn_fetch(&self, source: Source) {
        let (fetcher, events) = (self.fetcher.clone(), self.events.clone());
        tokio::spawn(async move {
            let event = match fetcher.fetch_newer(source).await {
                Ok(()) => Event::SourceAnswered(source, fetcher.active_configuration.version()),
                Err(error) => {
                    warn!("configuration not read from {source:?}: {error:#}");
                    Event::SourceFailed(source)
                }
            };
            let _ = events.send(event).await;
        });
    }
}
