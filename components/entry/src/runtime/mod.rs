//! Runtime of the entry process: the sockets and tasks that carry out what filters and controllers
//! decide.

mod agent_rpc;
mod agents;
mod callers;
mod claimed_dispatch;
mod claims;
mod decisions;
mod metrics;
mod operators;
mod peer_listener;
mod refresh;
mod registrar;
mod request_task;
mod response_sink;
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
use web::{Client, Server, ServerHandle, ServerLimits};

use crate::controllers::configuration::PendingAudit;
use crate::controllers::membership::{self, AvailabilityState};
use crate::filters::{FilterChain, RoutingView, UpstreamStatus};
use crate::{PlatformSettings, Settings};
use metrics::Metrics;
use peer_listener::PeerListener;

/// Largest request body that the HTTP servers read. The limit in the configuration is checked
/// afterwards, by the filters.
const BODY_READ_LIMIT_BYTES: usize = 8 << 20;

/// Limits of the operators' listener.
const OPERATOR_LIMITS: ServerLimits = ServerLimits { connections: 64, held_bytes: 32 << 20 };

/// Interval at which a draining process checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An entry process that has not been started.
pub struct Entry {
    /// Settings of the process.
    pub settings: Settings,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
}

/// Handle of a running entry process.
pub struct EntryHandle {
    shared: Arc<Shared>,
    callers: ServerHandle,
    operators: ServerHandle,
    refresher: JoinHandle<()>,
    sweeper: JoinHandle<()>,
    peer_listener: Option<PeerListener>,
}

/// State shared by all tasks of the process.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) process: ProcessId,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn KeyValueStore>,
    pub(crate) host_list: Arc<dyn HostList>,
    pub(crate) active_configuration: Arc<ActiveConfiguration>,
    pub(crate) peers: PeerSyncHandle,
    pub(crate) pending_audit: PendingAudit,
    pub(crate) decisions: decisions::DecisionLog,
    pub(crate) chain: FilterChain,
    pub(crate) agents: agents::AgentConnections,
    pub(crate) index_owners: registrar::OwnersCache,
    pub(crate) metrics: Metrics,
    pub(crate) draining: AtomicBool,
    /// Caller requests in progress, and background writes to claims.
    pub(crate) in_flight: AtomicU32,
    upstream_statuses: ArcSwap<BTreeMap<UpstreamId, UpstreamStatus>>,
}

impl Entry {
    /// Binds the listeners and starts to serve. Must be called within a tokio runtime.
    pub async fn spawn(self) -> Result<EntryHandle> {
        let client = Client::spawn()?;
        let PlatformSettings::Http { store, host_list } = self.settings.platform;
        let store: Arc<dyn KeyValueStore> = Arc::new(HttpStore::new(client.clone(), store));
        let active_configuration = Arc::new(ActiveConfiguration::new());
        let bound_listener = peer_listener::bind(self.settings.peers.listen).await?;
        let peers = PeerSync {
            own_address: bound_listener.as_ref().map(|(address, _)| *address),
            listed: self.settings.peers.listed.clone(),
            zone: self.settings.zone.clone(),
            store: Some(store.clone()),
            active_configuration: active_configuration.clone(),
            clock: self.clock.clone(),
        }
        .spawn()?;
        let peer_listener =
            bound_listener.map(|listener| PeerListener::spawn(listener, peers.service()));
        let shared = Arc::new(Shared {
            clock: self.clock,
            store,
            host_list: Arc::new(HttpHostList::new(client, host_list)),
            active_configuration,
            peers,
            pending_audit: PendingAudit::default(),
            decisions: decisions::DecisionLog::default(),
            chain: FilterChain::new(),
            agents: agents::AgentConnections::default(),
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
            limits: shared.settings.callers.server_limits(),
        }
        .bind(Arc::new(callers::CallerHandler::new(shared.clone(), runtime.clone())))
        .context("listen")?;
        let operators = Server {
            address: shared.settings.operators_listen,
            workers: 1,
            body_limit_bytes: BODY_READ_LIMIT_BYTES,
            limits: OPERATOR_LIMITS,
        }
        .bind(Arc::new(operators::OperatorHandler::new(shared.clone(), runtime)))
        .context("operators_listen")?;
        let refresher = tokio::spawn(refresh::run(shared.clone()));
        let sweeper = tokio::spawn(claims::sweep_claims(shared.clone()));
        info!("entry listening listen={} operators={}", callers.address(), operators.address());
        Ok(EntryHandle { shared, callers, operators, refresher, sweeper, peer_listener })
    }
}

impl EntryHandle {
    /// Address on which callers' requests are accepted.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address on which operators' requests are accepted.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Address on which other processes fetch the configuration, if this process serves them.
    pub fn peers_address(&self) -> Option<SocketAddr> {
        self.peer_listener.as_ref().map(PeerListener::address)
    }

    /// Stops gracefully: takes no new requests, finishes those in flight, then closes the
    /// listeners.
    pub async fn stop(self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        info!("entry draining");
        while self.shared.in_flight.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
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
    /// Returns the current state for the filters; `None` until a configuration is active.
    pub(crate) fn routing_view(&self) -> Option<RoutingView> {
        Some(RoutingView {
            configuration: self.active_configuration.load()?,
            upstream_statuses: self.upstream_statuses(),
            zone: self.settings.zone.clone(),
            draining: self.draining.load(Ordering::SeqCst),
        })
    }

    /// Returns the current status of the upstreams.
    pub(crate) fn upstream_statuses(&self) -> Arc<BTreeMap<UpstreamId, UpstreamStatus>> {
        self.upstream_statuses.load_full()
    }

    /// Updates the status of one upstream and publishes the new statuses. `change` is applied again
    /// if another update was published in the meantime. Nothing is published if nothing changes.
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
        self.upstream_statuses.rcu(|current| {
            let mut statuses = BTreeMap::clone(current);
            let status = statuses.entry(upstream.clone()).or_insert_with(|| UpstreamStatus {
                load: wire::LoadDigest::default(),
                reported_at: now,
                own_outstanding: 0,
                availability_state: AvailabilityState::default(),
            });
            change(status);
            statuses
        });
    }

    /// Updates the availability state of an upstream with an observation.
    pub(crate) fn update_availability(&self, upstream: &UpstreamId, event: membership::Event) {
        let now = self.clock.now();
        self.update_upstream_status(upstream, |status| {
            status.availability_state.on_event(event, now)
        });
    }
}
