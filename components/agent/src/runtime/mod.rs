//! Sockets and tasks around the agent's core.

mod index;
mod orders;
mod server;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result};
use clock::Clock;
use configuration::ActiveConfiguration;
use identity::ProcessId;
use log::{debug, info};
use peers::{PeerSync, PeerSyncHandle};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tonic::transport::server::TcpIncoming;
use web::Client;
use wire::{Dispatch, RequestKey};

use crate::controllers::call_ledger::{self, CallLedger};
use crate::controllers::orders::OrderSequencer;
use crate::core::{Action, Core, UpstreamEvent};
use crate::upstream::{HttpEngine, HttpService, Upstream};
use crate::{Settings, UpstreamSettings};

/// How often the core is told the time.
const TICK: Duration = Duration::from_millis(100);

/// How often a draining agent looks whether it is idle.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// How long the last pieces get on their way after every answer has been read.
const READER_GRACE: Duration = Duration::from_millis(300);

/// How long connections may take to close once every answer has been read; one that its other end
/// opened and never spoke on would stay for good.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// How long an upstream may work on a request past its deadline.
const OVERTIME: Duration = Duration::from_secs(5);

/// Events of one request that wait for the core.
const EVENT_QUEUE: usize = 64;

/// An agent that is about to run.
pub struct Agent {
    /// Its settings.
    pub settings: Settings,
    /// The clock that it goes by.
    pub clock: Arc<dyn Clock>,
}

/// An agent that runs.
pub struct AgentHandle {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    ticker: JoinHandle<()>,
}

pub(crate) struct Shared {
    settings: Settings,
    process: ProcessId,
    clock: Arc<dyn Clock>,
    core: Mutex<Core>,
    call_ledger: Mutex<CallLedger>,
    orders: Mutex<OrderSequencer>,
    /// Locked before the core where both are.
    registry: Mutex<index::Registry>,
    upstream: Arc<dyn Upstream>,
    active_configuration: Arc<ActiveConfiguration>,
    peers: PeerSyncHandle,
    wakers: Mutex<HashMap<RequestKey, watch::Sender<u64>>>,
    running: Mutex<HashMap<RequestKey, JoinHandle<()>>>,
}

impl Agent {
    /// Binds the address and starts to serve; needs a tokio runtime.
    pub async fn spawn(self) -> Result<AgentHandle> {
        let client = Client::spawn()?;
        let upstream: Arc<dyn Upstream> = match &self.settings.adapter {
            UpstreamSettings::HttpEngine { address } => Arc::new(HttpEngine::new(client, *address)),
            UpstreamSettings::HttpService { address } => {
                Arc::new(HttpService::new(client, *address))
            }
        };
        let listener = TcpListener::bind(self.settings.listen)
            .await
            .with_context(|| format!("{}: cannot be bound", self.settings.listen))?;
        let address = listener.local_addr()?;
        let process = ProcessId::random();
        let active_configuration = Arc::new(ActiveConfiguration::new());
        let peers = PeerSync {
            own_address: Some(address),
            listed: self.settings.peers.clone(),
            zone: self.settings.zone.clone(),
            store: None,
            active_configuration: active_configuration.clone(),
            clock: self.clock.clone(),
        }
        .spawn()?;
        let shared = Arc::new(Shared {
            core: Mutex::new(Core::new(self.settings.slots)),
            orders: Mutex::new(OrderSequencer::new(process.clone())),
            call_ledger: Mutex::new(CallLedger::new(process.clone(), call_ledger::RETAINED_CALLS)),
            registry: Mutex::new(index::Registry::new(&*self.clock)),
            settings: self.settings,
            process,
            clock: self.clock,
            upstream,
            active_configuration,
            peers,
            wakers: Mutex::default(),
            running: Mutex::default(),
        });
        let (stop, stopped) = watch::channel(false);
        // The server's own setting holds only for listeners that it binds itself.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let server = tokio::spawn(server::serve(shared.clone(), incoming, stopped));
        let ticker = tokio::spawn(tick(shared.clone()));
        info!("agent upstream={} listen={address}", shared.settings.upstream);
        Ok(AgentHandle { address, shared, stop, server, ticker })
    }
}

impl AgentHandle {
    /// The address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops gracefully: takes no new work, finishes what runs, then ends.
    pub async fn stop(self) {
        self.shared.drain();
        while !self.shared.core().is_drained() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        tokio::time::sleep(READER_GRACE).await;
        let _ = self.stop.send(true);
        let mut server = self.server;
        if tokio::time::timeout(CLOSE_LIMIT, &mut server).await.is_err() {
            info!(
                "agent upstream={} gives up connections that stay",
                self.shared.settings.upstream
            );
            server.abort();
        }
        self.ticker.abort();
        self.shared.peers.stop();
    }
}

impl Shared {
    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn call_ledger(&self) -> MutexGuard<'_, CallLedger> {
        lock(&self.call_ledger)
    }

    pub(crate) fn orders(&self) -> MutexGuard<'_, OrderSequencer> {
        lock(&self.orders)
    }

    /// A receiver that changes whenever the request's transcript may have grown.
    pub(crate) fn subscribe(&self, key: &RequestKey) -> watch::Receiver<u64> {
        let mut wakers = lock(&self.wakers);
        wakers.entry(key.clone()).or_insert_with(|| watch::channel(0).0).subscribe()
    }

    pub(crate) fn drain(&self) {
        let actions = self.core().drain(self.clock.now());
        info!("agent upstream={} drains", self.settings.upstream);
        for action in actions {
            if let Action::WakeReaders(key) = action {
                self.wake(&key);
            }
        }
    }

    pub(crate) fn perform(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(dispatch) => self.start(*dispatch),
                Action::Abort(key) => self.abort(key),
                Action::WakeReaders(key) => self.wake(&key),
            }
        }
    }

    fn start(self: &Arc<Self>, dispatch: Dispatch) {
        let key = dispatch.key.clone();
        self.call_ledger().record_start(&key);
        debug!("request={} handed to {}", key.request_id, self.settings.upstream);
        let task = tokio::spawn(run_request(self.clone(), dispatch));
        lock(&self.running).insert(key, task);
    }

    fn abort(self: &Arc<Self>, key: RequestKey) {
        if let Some(task) = lock(&self.running).remove(&key) {
            task.abort();
        }
        let upstream = self.upstream.clone();
        tokio::spawn(async move { upstream.abort(&key).await });
    }

    fn wake(&self, key: &RequestKey) {
        if let Some(waker) = lock(&self.wakers).get(key) {
            waker.send_modify(|count| *count += 1);
        }
    }

    fn forget_idle_wakers(&self) {
        lock(&self.wakers).retain(|_, waker| waker.receiver_count() > 0);
        lock(&self.running).retain(|_, task| !task.is_finished());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run_request(shared: Arc<Shared>, dispatch: Dispatch) {
    let (sender, mut events) = mpsc::channel(EVENT_QUEUE);
    let key = dispatch.key.clone();
    let upstream = shared.upstream.clone();
    let limit = dispatch.time_left + OVERTIME;
    let call = async move {
        let _ = tokio::time::timeout(limit, upstream.start(&dispatch, sender)).await;
    };
    let take = async {
        while let Some(event) = events.recv().await {
            shared.call_ledger().on_upstream_event(&key, &event);
            let actions = shared.core().on_upstream_event(&key, event, shared.clock.now());
            shared.perform(actions);
        }
        let broken = UpstreamEvent::Failed("the upstream broke off".to_owned());
        let actions = shared.core().on_upstream_event(&key, broken, shared.clock.now());
        shared.perform(actions);
    };
    tokio::join!(call, take);
}

async fn tick(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        let actions = shared.core().on_tick(shared.clock.now());
        shared.perform(actions);
        shared.forget_idle_wakers();
        lock(&shared.registry).index.evict_expired(shared.clock.now());
    }
}
