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
use configuration::InForce;
use configuration::sync::{Event, Next, Place, Source, Sync, choose_relays};
use identity::{ConfigVersion, ZoneId};
use log::warn;
use store::KeyValueStore;
use tokio::sync::{Notify, mpsc};
use wire::v1::peer_server::PeerServer;

use crate::ask::Asker;
use crate::connections::Connections;
use crate::serve::{Answers, PeerService};

/// How often the core is told the time.
const TICK: Duration = Duration::from_millis(50);

/// Events that wait for the core; what does not fit is heard again soon.
const EVENT_QUEUE: usize = 256;

/// What a process needs to take part.
pub struct Peers {
    /// Where others reach this process; `None` where it serves none.
    pub own: Option<SocketAddr>,
    /// Processes of the zone that read the store for the others.
    pub listed: Vec<SocketAddr>,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The platform's store, where the process can reach it.
    pub store: Option<Arc<dyn KeyValueStore>>,
    /// What is kept fresh.
    pub in_force: Arc<InForce>,
    /// The clock to go by.
    pub clock: Arc<dyn Clock>,
}

/// The running thread; it ends when this is dropped.
pub struct PeersHandle {
    in_force: Arc<InForce>,
    hearing: Hearing,
    stopped: Arc<Notify>,
}

/// Takes in what is heard of versions.
#[derive(Debug, Clone)]
pub(crate) struct Hearing {
    in_force: Arc<InForce>,
    events: mpsc::Sender<Event>,
}

impl Hearing {
    pub(crate) fn hear(&self, version: ConfigVersion, holder: Option<SocketAddr>) {
        if version > self.in_force.version() {
            let _ = self.events.try_send(Event::Heard { version, holder });
        }
    }
}

impl Peers {
    /// Starts to ask.
    pub fn spawn(self) -> Result<PeersHandle> {
        let (events, queue) = mpsc::channel(EVENT_QUEUE);
        let hearing = Hearing { in_force: self.in_force.clone(), events: events.clone() };
        let place = Place { own: self.own, listed: self.listed, has_store: self.store.is_some() };
        let asker = Asker {
            in_force: self.in_force.clone(),
            store: self.store,
            connections: Connections::default(),
            own: self.own,
        };
        let task = Task {
            sync: Sync::new(place, rand::random(), self.clock.now()),
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
        Ok(PeersHandle { in_force: self.in_force, hearing, stopped })
    }
}

impl PeersHandle {
    /// The service for other processes.
    pub fn service(&self) -> PeerService {
        let hearing = self.hearing.clone();
        PeerServer::new(Answers { in_force: self.in_force.clone(), hearing })
    }

    /// Takes in a version that somebody named.
    pub fn hear(&self, version: ConfigVersion, holder: Option<SocketAddr>) {
        self.hearing.hear(version, holder);
    }

    /// Tells others of a version that this process has made and put in force.
    pub async fn announce(&self, version: ConfigVersion) {
        let _ = self.hearing.events.send(Event::Accepted(version)).await;
    }

    /// Stops to ask.
    pub fn stop(&self) {
        self.stopped.notify_one();
    }
}

impl Drop for PeersHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Task {
    sync: Sync,
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
            if let Next::Ask(sources) = self.sync.on_event(event, self.clock.now()) {
                sources.into_iter().for_each(|source| self.ask(source));
            }
        }
    }

    fn refresh_relays(&mut self) {
        let Some(snapshot) = self.asker.in_force.load() else { return };
        if snapshot.version != self.relays_of {
            self.relays_of = snapshot.version;
            self.sync.set_relays(choose_relays(&snapshot.document, &self.zone));
        }
    }

    fn ask(&self, source: Source) {
        let (asker, events) = (self.asker.clone(), self.events.clone());
        tokio::spawn(async move {
            let event = match asker.ask(source).await {
                Ok(()) => Event::Answered(source, asker.in_force.version()),
                Err(error) => {
                    warn!("configuration not read from {source:?}: {error:#}");
                    Event::Failed(source)
                }
            };
            let _ = events.send(event).await;
        });
    }
}
