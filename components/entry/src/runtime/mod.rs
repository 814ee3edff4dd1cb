//! Sockets and tasks around filters and controllers.

mod agents;
mod answer;
mod booking;
mod callers;
mod claims;
mod contact;
mod decisions;
mod delivery;
mod metrics;
mod operators;
mod peer_listener;
mod refresh;
mod registrar;
mod target;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use arc_swap::ArcSwap;
use clock::Clock;
use configuration::ActiveConfiguration;
use identity::{ProcessId, UpstreamId};
use log::info;
use peers::{PeerSync, PeerSyncHandle};
use store::{HostList, HttpHostList, HttpStore, KeyValueStore};
use tokio::task::JoinHandle;
use web::{Client, Server, ServerHandle};

use crate::controllers::configuration::PendingAudit;
use crate::controllers::membership::{self, Member};
use crate::filters::{FilterChain, RoutingView, UpstreamStatus};
use crate::{PlatformSettings, Settings};
use metrics::Metrics;
use peer_listener::PeerListener;

/// Largest body that is read before the configuration's own limit is applied.
const BODY_READ_LIMIT_BYTES: usize = 8 << 20;

/// How often a draining process looks whether it is idle.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// An entry process that is about to run.
pub struct Entry {
    /// Its settings.
    pub settings: Settings,
    /// The clock that it goes by.
    pub clock: Arc<dyn Clock>,
}

/// An entry process that runs.
pub struct EntryHandle {
    shared: Arc<Shared>,
    callers: ServerHandle,
    operators: ServerHandle,
    refresher: JoinHandle<()>,
    sweeper: JoinHandle<()>,
    peer_listener: Option<PeerListener>,
}

pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) process: ProcessId,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn KeyValueStore>,
    pub(crate) host_list: Arc<dyn HostList>,
    pub(crate) active_configuration: Arc<ActiveConfiguration>,
    pub(crate) peers: PeerSyncHandle,
    pub(crate) pending_audit: PendingAudit,
    pub(crate) decisions: decisions::Decisions,
    pub(crate) chain: FilterChain,
    pub(crate) agents: agents::Agents,
    pub(crate) index_owners: registrar::OwnersCache,
    pub(crate) metrics: Metrics,
    pub(crate) draining: AtomicBool,
    pub(crate) in_flight: AtomicU32,
    upstream_statuses: ArcSwap<BTreeMap<UpstreamId, UpstreamStatus>>,
}

impl Entry {
    /// Binds both listeners and starts to serve; needs a tokio runtime.
    pub async fn spawn(self) -> Result<EntryHandle> {
        let client = Client::spawn()?;
        let PlatformSettings::Http { store, host_list } = self.settings.platform;
        let store: Arc<dyn KeyValueStore> = Arc::new(HttpStore::new(client.clone(), store));
        let active_configuration = Arc::new(ActiveConfiguration::new());
        let bound = peer_listener::bind(self.settings.peers.listen).await?;
        let peers = PeerSync {
            own_address: bound.as_ref().map(|(address, _)| *address),
            listed: self.settings.peers.listed.clone(),
            zone: self.settings.zone.clone(),
            store: Some(store.clone()),
            active_configuration: active_configuration.clone(),
            clock: self.clock.clone(),
        }
        .spawn()?;
        let peer_listener = bound.map(|bound| PeerListener::spawn(bound, peers.service()));
        let shared = Arc::new(Shared {
            clock: self.clock,
            store,
            host_list: Arc::new(HttpHostList::new(client, host_list)),
            active_configuration,
            peers,
            pending_audit: PendingAudit::default(),
            decisions: decisions::Decisions::default(),
            chain: FilterChain::new(),
            agents: agents::Agents::default(),
            process: ProcessId::random(),
            index_owners: registrar::OwnersCache::default(),
            metrics: Metrics::new()?,
            draining: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            upstream_statuses: ArcSwap::default(),
            settings: self.settings,
        });
        let runtime = tokio::runtime::Handle::current();
        let callers = Server {
            address: shared.settings.listen,
            workers: shared.settings.workers as usize,
            body_limit_bytes: BODY_READ_LIMIT_BYTES,
        }
        .bind(Arc::new(callers::Callers::new(shared.clone(), runtime.clone())))
        .context("listen")?;
        let operators = Server {
            address: shared.settings.operators_listen,
            workers: 1,
            body_limit_bytes: BODY_READ_LIMIT_BYTES,
        }
        .bind(Arc::new(operators::Operators::new(shared.clone(), runtime)))
        .context("operators_listen")?;
        let refresher = tokio::spawn(refresh::run(shared.clone()));
        let sweeper = tokio::spawn(claims::sweep(shared.clone()));
        info!("entry listen={} operators={}", callers.address(), operators.address());
        Ok(EntryHandle { shared, callers, operators, refresher, sweeper, peer_listener })
    }
}

impl EntryHandle {
    /// The address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address for operators.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The address for other processes of the system, if they are served.
    pub fn peers_address(&self) -> Option<SocketAddr> {
        self.peer_listener.as_ref().map(PeerListener::address)
    }

    /// Stops gracefully: takes no new work, finishes what is in flight, then ends.
    pub async fn stop(self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        info!("entry drains");
        while self.shared.in_flight.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        self.refresher.abort();
        self.sweeper.abort();
        self.shared.peers.stop();
        if let Some(peer_listener) = self.peer_listener {
            peer_listener.stop();
        }
        let (callers, operators) = (self.callers, self.operators);
        let stopped = tokio::task::spawn_blocking(move || {
            callers.stop(true);
            operators.stop(false);
        });
        let _ = stopped.await;
    }
}

impl Shared {
    /// What the filters read at this moment; `None` before the first configuration.
    pub(crate) fn view(&self) -> Option<RoutingView> {
        Some(RoutingView {
            configuration: self.active_configuration.load()?,
            upstream_statuses: self.upstream_statuses(),
            zone: self.settings.zone.clone(),
            draining: self.draining.load(Ordering::SeqCst),
        })
    }

    /// What was heard of agents, as last published.
    pub(crate) fn upstream_statuses(&self) -> Arc<BTreeMap<UpstreamId, UpstreamStatus>> {
        self.upstream_statuses.load_full()
    }

    /// Publishes what is held anew, with one upstream changed; done again where another change came
    /// in between, and not at all where nothing changes.
    pub(crate) fn update_upstream_status(
        &self,
        upstream: &UpstreamId,
        change: impl Fn(&mut UpstreamStatus),
    ) {
        let now = self.clock.now();
        if let Some(current) = self.upstream_statuses.load().get(upstream) {
            let mut changed = *current;
            change(&mut changed);
            if changed == *current {
                return;
            }
        }
        self.upstream_statuses.rcu(|held| {
            let mut statuses = BTreeMap::clone(held);
            let entry = statuses.entry(upstream.clone()).or_insert_with(|| UpstreamStatus {
                load: wire::LoadDigest::default(),
                reported_at: now,
                own_outstanding: 0,
                member: Member::default(),
            });
            change(entry);
            statuses
        });
    }

    /// Takes what was learnt of an upstream.
    pub(crate) fn learn(&self, upstream: &UpstreamId, event: membership::Event) {
        let now = self.clock.now();
        self.update_upstream_status(upstream, |status| status.member.on_event(event, now));
    }
}
