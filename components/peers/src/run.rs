//! The thread that keeps the configuration in force fresh.
//!
//! To apply a patch to a document of many customers takes a while; in a thread of its own it does
//! not hold up requests.

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

use crate::ask::Asker;
use crate::connections::Connections;
use crate::serve::{ConfigurationService, PeerService};

/// How often the core is told the time.
const TICK: Duration = Duration::from_millis(50);

/// Events that wait for the core; what does not fit is heard again soon.
const EVENT_QUEUE: usize = 256;

/// Parameters of a process that takes part in configuration synchronisation.
pub struct PeerSync {
    /// Where others reach this process; `None` where it serves none.
    pub own_address: Option<SocketAddr>,
    /// Processes of the zone that read the store for the others.
    pub listed: Vec<SocketAddr>,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The platform's store, where the process can reach it.
    pub store: Option<Arc<dyn KeyValueStore>>,
    /// What is kept fresh.
    pub active_configuration: Arc<ActiveConfiguration>,
    /// The clock to go by.
    pub clock: Arc<dyn Clock>,
}

/// The running thread; it ends when this is dropped.
pub struct PeerSyncHandle {
    active_configuration: Arc<ActiveConfiguration>,
    hearing: Hearing,
    stopped: Arc<Notify>,
}

/// Takes in what is heard of versions.
#[derive(Debug, Clone)]
pub(crate) struct Hearing {
    active_configuration: Arc<ActiveConfiguration>,
    events: mpsc::Sender<Event>,
}

impl Hearing {
    pub(crate) fn observe_version(&self, version: ConfigVersion, holder: Option<SocketAddr>) {
        if version > self.active_configuration.version() {
            let _ = self.events.try_send(Event::VersionAnnounced { version, holder });
        }
    }
}

impl PeerSync {
    /// Starts the synchronisation thread.
    pub fn spawn(self) -> Result<PeerSyncHandle> {
        let (events, queue) = mpsc::channel(EVENT_QUEUE);
        let hearing = Hearing {
            active_configuration: self.active_configuration.clone(),
            events: events.clone(),
        };
        let topology = PeerTopology {
            own_address: self.own_address,
            listed: self.listed,
            has_store: self.store.is_some(),
        };
        let asker = Asker {
            active_configuration: self.active_configuration.clone(),
            store: self.store,
            connections: Connections::default(),
            own: self.own_address,
        };
        let task = Task {
            sync: ConfigurationSync::new(topology, rand::random(), self.clock.now()),
            asker: Arc::new(asker),
            zone: self.zone,
            clock: self.clock,
            events,
            relays_of: ConfigVersion(0),
        };
        let stopped = Arc::new(Notify::new());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("runtime of peers")?;
        let stop = stopped.clone();
        thread::Builder::new().name("peers".to_owned()).spawn(move || {
            runtime.block_on(async move {
                tokio::select! {
                    () = task.run(queue) => {}
                    () = stop.notified() => {}
                }
            });
        })?;
        Ok(PeerSyncHandle { active_configuration: self.active_configuration, hearing, stopped })
    }
}

impl PeerSyncHandle {
    /// The service for other processes.
    pub fn service(&self) -> PeerService {
        let hearing = self.hearing.clone();
        PeerServer::new(ConfigurationService {
            active_configuration: self.active_configuration.clone(),
            hearing,
        })
    }

    /// Records a version that another process named.
    pub fn observe_version(&self, version: ConfigVersion, holder: Option<SocketAddr>) {
        self.hearing.observe_version(version, holder);
    }

    /// Announces to others a version that this process has made and activated.
    pub async fn announce_version(&self, version: ConfigVersion) {
        let _ = self.hearing.events.send(Event::VersionAccepted(version)).await;
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

struct Task {
    sync: ConfigurationSync,
    asker: Arc<Asker>,
    zone: ZoneId,
    clock: Arc<dyn Clock>,
    events: mpsc::Sender<Event>,
    relays_of: ConfigVersion,
}

impl Task {
    async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        let mut interval = tokio::time::interval(TICK);
        loop {
            let event = tokio::select! {
                event = queue.recv() => event.unwrap_or(Event::Tick),
                _ = interval.tick() => Event::Tick,
            };
            self.refresh_relays();
            if let NextStep::Query(sources) = self.sync.on_event(event, self.clock.now()) {
                sources.into_iter().for_each(|source| self.ask(source));
            }
        }
    }

    fn refresh_relays(&mut self) {
        let Some(snapshot) = self.asker.active_configuration.load() else { return };
        if snapshot.version != self.relays_of {
            self.relays_of = snapshot.version;
            self.sync.set_relays(choose_relays(&snapshot.document, &self.zone));
        }
    }

    fn ask(&self, source: Source) {
        let (asker, events) = (self.asker.clone(), self.events.clone());
        tokio::spawn(async move {
            let event = match asker.ask(source).await {
                Ok(()) => Event::SourceAnswered(source, asker.active_configuration.version()),
                Err(error) => {
                    warn!("configuration not read from {source:?}: {error:#}");
                    Event::SourceFailed(source)
                }
            };
            let _ = events.send(event).await;
        });
    }
}
