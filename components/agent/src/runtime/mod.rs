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

/// Interval of the core's periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a draining agent checks whether it is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the last events to be sent after every response has been read.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Time for the connections to close once every response has been read. A connection that its peer
/// opened but never used would not close by itself.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that an upstream may continue a request after its deadline.
const DEADLINE_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Capacity, in events, of the queue from the upstream to the core for one request.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Agent process that has not been started.
pub struct Agent {
    /// Settings of the process.
    pub settings: Settings,
    /// Clock for deadlines and timeouts.
    pub clock: Arc<dyn Clock>,
}

/// Running agent process.
pub struct AgentHandle {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    ticker: JoinHandle<()>,
}

/// State that the tasks of the agent share.
pub(crate) struct Shared {
    settings: Settings,
    process: ProcessId,
    clock: Arc<dyn Clock>,
    core: Mutex<Core>,
    call_ledger: Mutex<CallLedger>,
    order_sequencer: Mutex<OrderSequencer>,
    /// If both this and the core are locked, this is locked first.
    registry: Mutex<index::PlacementRegistry>,
    upstream: Arc<dyn Upstream>,
    active_configuration: Arc<ActiveConfiguration>,
    peers: PeerSyncHandle,
    /// Notify the readers of each request's response.
    reader_wakers: Mutex<HashMap<RequestKey, watch::Sender<u64>>>,
    /// Tasks that carry out the requests in flight.
    request_tasks: Mutex<HashMap<RequestKey, JoinHandle<()>>>,
}

impl Agent {
    /// Binds the address and starts to serve. Must be called within a tokio runtime.
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
            order_sequencer: Mutex::new(OrderSequencer::new(process.clone())),
            call_ledger: Mutex::new(CallLedger::new(process.clone(), call_ledger::RETAINED_CALLS)),
            registry: Mutex::new(index::PlacementRegistry::new(&*self.clock)),
            settings: self.settings,
            process,
            clock: self.clock,
            upstream,
            active_configuration,
            peers,
            reader_wakers: Mutex::default(),
            request_tasks: Mutex::default(),
        });
        let (stop, stopped) = watch::channel(false);
        // The server's own TCP_NODELAY setting applies only to listeners that it binds itself.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let server = tokio::spawn(server::serve(shared.clone(), incoming, stopped));
        let ticker = tokio::spawn(run_periodic_work(shared.clone()));
        info!("agent listening upstream={} listen={address}", shared.settings.upstream);
        Ok(AgentHandle { address, shared, stop, server, ticker })
    }
}

impl AgentHandle {
    /// Returns the address that the agent listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the agent gracefully: it refuses new requests, finishes the running ones and waits
    /// until their responses have been read.
    pub async fn stop(self) {
        self.shared.drain();
        while !self.shared.core().is_drained() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        tokio::time::sleep(FLUSH_TIME).await;
        let _ = self.stop.send(true);
        let mut server = self.server;
        if tokio::time::timeout(CLOSE_TIMEOUT, &mut server).await.is_err() {
            info!(
                "agent upstream={} closes connections that are still open",
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

    pub(crate) fn order_sequencer(&self) -> MutexGuard<'_, OrderSequencer> {
        lock(&self.order_sequencer)
    }

    /// Returns a receiver that is notified whenever the transcript of the request may have changed.
    pub(crate) fn subscribe_to_transcript(&self, key: &RequestKey) -> watch::Receiver<u64> {
        let mut reader_wakers = lock(&self.reader_wakers);
        reader_wakers.entry(key.clone()).or_insert_with(|| watch::channel(0).0).subscribe()
    }

    pub(crate) fn drain(&self) {
        let actions = self.core().drain(self.clock.now());
        info!("agent upstream={} draining", self.settings.upstream);
        for action in actions {
            if let Action::WakeReaders(key) = action {
                self.wake_readers(&key);
            }
        }
    }

    pub(crate) fn perform_actions(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(dispatch) => self.start_request(*dispatch),
                Action::Abort(key) => self.abort_request(key),
                Action::WakeReaders(key) => self.wake_readers(&key),
            }
        }
    }

    fn start_request(self: &Arc<Self>, dispatch: Dispatch) {
        let key = dispatch.key.clone();
        self.call_ledger().record_start(&key);
        debug!("request={} sent to {}", key.request_id, self.settings.upstream);
        let task = tokio::spawn(run_request(self.clone(), dispatch));
        lock(&self.request_tasks).insert(key, task);
    }

    fn abort_request(self: &Arc<Self>, key: RequestKey) {
        if let Some(task) = lock(&self.request_tasks).remove(&key) {
            task.abort();
        }
        let upstream = self.upstream.clone();
        tokio::spawn(async move { upstream.abort_request(&key).await });
    }

    fn wake_readers(&self, key: &RequestKey) {
        if let Some(waker) = lock(&self.reader_wakers).get(key) {
            waker.send_modify(|count| *count += 1);
        }
    }

    /// Removes the wakers without a reader and the handles of finished tasks.
    fn remove_unused(&self) {
        lock(&self.reader_wakers).retain(|_, waker| waker.receiver_count() > 0);
        lock(&self.request_tasks).retain(|_, task| !task.is_finished());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a request to the upstream and applies the events of its response.
async fn run_request(shared: Arc<Shared>, dispatch: Dispatch) {
    let (sender, mut events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let key = dispatch.key.clone();
    let upstream = shared.upstream.clone();
    let time_limit = dispatch.time_left + DEADLINE_GRACE_PERIOD;
    let run_upstream = async move {
        let _ = tokio::time::timeout(time_limit, upstream.start_request(&dispatch, sender)).await;
    };
    let apply_events = async {
        while let Some(event) = events.recv().await {
            shared.call_ledger().on_upstream_event(&key, &event);
            let actions = shared.core().on_upstream_event(&key, event, shared.clock.now());
            shared.perform_actions(actions);
        }
        // Ignored by the core if the request has ended.
        let incomplete = UpstreamEvent::Failed("the upstream sent no complete response".to_owned());
        let actions = shared.core().on_upstream_event(&key, incomplete, shared.clock.now());
        shared.perform_actions(actions);
    };
    tokio::join!(run_upstream, apply_events);
}

async fn run_periodic_work(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        let actions = shared.core().on_tick(shared.clock.now());
        shared.perform_actions(actions);
        shared.remove_unused();
        lock(&shared.registry).index.evict_expired(shared.clock.now());
    }
}
