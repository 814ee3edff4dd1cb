//! Sockets, timers and tasks around the decisions, all on one thread.

mod admission;
mod allowance;
mod answer;
mod attempt;
mod callers;
mod directory;
mod dispatch;
mod fields;
mod metrics;
mod peer_socket;
mod readiness;
mod relay;
mod request_head;
mod slot_guard;
mod slots;
mod state;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use clock::Clock;
use log::info;
use tokio::net::TcpListener;

use crate::Settings;
use crate::header_codec::HeaderCodec;
use crate::model::{Configuration, Upstream};
use crate::peers::Member;
use state::Shared;

/// How long before the end of the grace period the process leaves by itself: time for its exit.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// How long after the start of a planned stop idle callers' connections stay open: the balancer
/// turns away after two missed checks, a second apart.
const IDLE_LINGER: Duration = Duration::from_millis(2_200);

/// Shortest planned stop: requests are let in until shortly before.
const LEAST_STOP: Duration = Duration::from_millis(3_200);

/// How often a planned stop looks whether everything is done.
const STOP_POLL: Duration = Duration::from_millis(50);

/// How often beliefs that change with time alone are looked at.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Rounds of `TICK_PERIOD` between two log lines on the load.
const LOAD_LINE_ROUNDS: u32 = 10;

/// What the adapter of a platform tells the gateway.
pub trait Directory {
    /// The store holds this configuration. `asked_at` is the uptime at which it was asked.
    fn configure(&self, configuration: Configuration, asked_at: Duration);
    /// The store holds nothing newer than what was told: upstreams that were told of come into force
    /// together. `asked_at` is the uptime at which it was asked.
    fn confirm(&self, asked_at: Duration);
    /// Whether the store should be read now.
    fn is_read_due(&self) -> bool;
    /// An upstream announces itself.
    fn upsert_upstream(&self, upstream: Upstream);
    /// An upstream's announcement is gone.
    fn remove_upstream(&self, instance: &str);
    /// All announcements that stand in the store.
    fn replace_upstreams(&self, listed: Vec<Upstream>);
    /// All other entries that stand in the store.
    fn set_members(&self, members: Vec<Member>);
    /// The store cannot be heard.
    fn mark_store_lost(&self, reason: &str);
    /// The store can be heard again.
    fn mark_store_regained(&self);
}

/// A gateway that is about to start.
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// Names this process among entries; differs at each start.
    pub process_id: u64,
    /// The platform's names on the wire.
    pub header_codec: Box<dyn HeaderCodec>,
    /// The time.
    pub clock: Arc<dyn Clock>,
}

/// Addresses that a gateway has bound; where its settings ask for port 0 they name the port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundAddresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the process takes work.
    pub readiness: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Where digests of other entries arrive, over UDP.
    pub digests: SocketAddr,
}

/// A gateway that runs.
#[derive(Clone)]
pub struct GatewayHandle {
    shared: Rc<Shared>,
    addresses: BoundAddresses,
}

impl Gateway {
    /// Binds the addresses and serves. Must be called on a thread that runs an ntex system.
    pub async fn spawn(self) -> Result<GatewayHandle> {
        let settings = &self.settings;
        let callers = bind(settings.listen).await?;
        let readiness = bind(settings.readiness_listen).await?;
        let internal = bind(settings.internal_listen).await?;
        let datagrams = peer_socket::bind(settings.internal_listen).await?;
        let addresses = BoundAddresses {
            callers: callers.local_addr()?,
            readiness: readiness.local_addr()?,
            metrics: internal.local_addr()?,
            digests: datagrams.local_addr()?,
        };
        let shared = Rc::new(Shared::new(self, datagrams)?);
        let handle = GatewayHandle { shared: shared.clone(), addresses };
        tokio::task::spawn_local(callers::serve(shared.clone(), callers));
        tokio::task::spawn_local(readiness::serve(shared.clone(), readiness));
        tokio::task::spawn_local(metrics::serve(shared.clone(), internal));
        tokio::task::spawn_local(peer_socket::run(shared.clone()));
        tokio::task::spawn_local(tick_regularly(shared));
        Ok(handle)
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("{address}: cannot be bound"))
}

async fn tick_regularly(shared: Rc<Shared>) {
    for round in 1_u32.. {
        tokio::time::sleep(TICK_PERIOD).await;
        shared.tick();
        if round % LOAD_LINE_ROUNDS == 0 {
            shared.log_load();
        }
    }
}

impl GatewayHandle {
    /// The addresses that were bound.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// What the adapter reports to.
    pub fn directory(&self) -> Rc<dyn Directory> {
        self.shared.clone()
    }

    /// Takes in changed settings; addresses stay as they are.
    pub fn reload(&self, settings: Settings) {
        self.shared.reload(settings);
    }

    /// A planned stop: not ready at once, open requests finish, idle connections are closed in
    /// order. Returns when everything is done or the grace period is over.
    pub async fn stop(&self) {
        let grace_period = self.shared.begin_stop();
        let began = self.shared.clock.now();
        let latest = grace_period.saturating_sub(EXIT_MARGIN);
        loop {
            tokio::time::sleep(STOP_POLL).await;
            let elapsed = self.shared.clock.now().saturating_duration_since(began);
            if elapsed >= IDLE_LINGER {
                self.shared.close_idle_callers();
            }
            let (open, connections) = self.shared.open_work();
            if (elapsed >= LEAST_STOP && open == 0) || elapsed >= latest {
                let elapsed_ms = elapsed.as_millis();
                info!(
                    "stop.end open_requests={open} connections={connections} after_ms={elapsed_ms}"
                );
                return;
            }
        }
    }
}
