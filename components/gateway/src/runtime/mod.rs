//! Runtime of the gateway: sockets, timers and tasks that carry out the decisions of the pure
//! modules, all on one thread.

mod admission;
mod allowance;
mod attempt;
mod brokering;
mod caller_request;
mod callers;
mod crash_checks;
mod directory;
mod dispatch;
mod elections;
mod internal_server;
mod log_fields;
mod metrics;
mod peer_reads;
mod peer_socket;
mod quarantine;
mod readiness;
mod relay;
mod response;
mod slot_guard;
mod slots;
mod small_server;
mod state;
mod stream_versions;
mod upstream_limits;
mod upstream_notices;

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
use crate::model::{Configuration, Position, ServiceId, Upstream, UpstreamId};
use crate::peers::Member;
use crate::planned_stop::StopStep;
use crate::shared_read::{SharedChange, SharedRead, SharedReadReceiver};
use crate::stream_versions::{Marker, StreamRecordStore};
use state::Shared;

/// Room that a request or a response holds.
type HeldBytes = intake::byte_budget::HeldBytes<UpstreamId>;

/// Interval at which a planned stop checks what is left to do.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which state that changes with time alone is updated.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Ticks (`TICK_INTERVAL`) between two log lines on the load.
const LOAD_LOG_TICKS: u32 = 10;

/// Receives what the adapter of a platform reads from the store.
pub trait Directory {
    /// Installs the configuration that the store holds. `queried_at` is the uptime at which the
    /// store was queried.
    fn configure(&self, configuration: Configuration, queried_at: Duration);
    /// Confirms that the store holds nothing newer than what was reported, and applies all reported
    /// upstream changes together. `queried_at` is the uptime at which the store was queried,
    /// `position` the position in its history up to which it was read.
    fn confirm(&self, queried_at: Duration, position: Position);
    /// Position in the store's history up to which this gateway knows the state, by its own reads
    /// or by those of peers that know the same state.
    fn known_position(&self) -> Option<Position>;
    /// Whether a read of the store is due.
    fn is_read_due(&self) -> bool;
    /// Adds or updates an upstream that announced itself. Returns whether it was not known like
    /// this before.
    fn upsert_upstream(&self, upstream: Upstream) -> bool;
    /// Removes an upstream whose announcement is gone from the store.
    fn remove_upstream(&self, instance: &str);
    /// Records that a part of a long response of the store has arrived.
    fn record_progress(&self);
    /// Keeps everything that the store holds at a position, for other gateways of the zone.
    fn record_all(&self, items: Vec<SharedChange>, position: Position);
    /// Keeps what was read from the store, and passes it on to the other gateways of the zone.
    fn share_read(&self, read: SharedRead);
    /// Sets the receiver of reads that other gateways of the zone pass on.
    fn set_shared_read_receiver(&self, receiver: Rc<dyn SharedReadReceiver>);
    /// Applies the upstream changes of a read that another gateway passed on, and records that the
    /// state is known up to `position` in the store's history.
    fn apply_shared_read(&self, position: Position);
    /// Replaces all upstreams by those announced in the store.
    fn replace_upstreams(&self, listed: Vec<Upstream>);
    /// Replaces the members by the gateways registered in the store.
    fn set_members(&self, members: Vec<Member>);
    /// Records that the store has come back from an older copy, before what it holds now is
    /// reported.
    fn mark_store_restored(&self, era: u64);
    /// Records that the store may have come back from an older copy just before the first read.
    fn mark_copy_possible(&self);
    /// Records that the operators have written the configuration since the last read of everything.
    fn mark_configuration_written(&self);
    /// Sets where the versions of streams are kept.
    fn set_stream_record_store(&self, store: Rc<dyn StreamRecordStore>);
    /// Applies the marker of a service, or its removal, at a position in the store's history.
    fn apply_version_marker(&self, service: ServiceId, marker: Option<Marker>, position: Position);
    /// Replaces the markers by those that the store holds at a position. Each is listed with the
    /// position at which it was written.
    fn replace_version_markers(
        &self,
        listed: Vec<(ServiceId, Marker, Position)>,
        position: Position,
    );
    /// Records that the store no longer holds the streams of this gateway.
    fn mark_stream_records_lost(&self);
    /// Records that the store serves everything but one page, without which what it holds is unknown.
    fn record_refused_page(&self);
    /// Records that the store cannot be reached from here. It counts as lost once it has confirmed
    /// nothing to any gateway of the zone for some time.
    fn mark_store_lost(&self, reason: &str);
    /// Records that the store can be reached again.
    fn mark_store_regained(&self);
}

/// A gateway that is about to start.
pub struct Gateway {
    /// Settings of the process.
    pub settings: Settings,
    /// Identifies this process among the gateways; differs at each start.
    pub process_id: u64,
    /// Translates the platform's headers.
    pub header_codec: Box<dyn HeaderCodec>,
    /// Source of the current time and the uptime.
    pub clock: Arc<dyn Clock>,
}

/// Addresses that a gateway has bound, with the actual port where the settings ask for port 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the balancer's readiness check.
    pub readiness: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// UDP address for datagrams from other gateways.
    pub datagrams: SocketAddr,
}

/// Handle of a running gateway.
#[derive(Clone)]
pub struct GatewayHandle {
    shared: Rc<Shared>,
    addresses: BoundAddresses,
}

impl Gateway {
    /// Binds the addresses and starts the serving tasks. Must be called on a thread that runs an
    /// ntex system.
    pub async fn spawn(self) -> Result<GatewayHandle> {
        let settings = &self.settings;
        let callers = bind(settings.listen).await?;
        let readiness = bind(settings.readiness_listen).await?;
        let (internal, datagrams) = peer_socket::bind(settings.internal_listen).await?;
        let addresses = BoundAddresses {
            callers: callers.local_addr()?,
            readiness: readiness.local_addr()?,
            metrics: internal.local_addr()?,
            datagrams: datagrams.local_addr()?,
        };
        let shared = Rc::new(Shared::new(self, datagrams)?);
        let handle = GatewayHandle { shared: shared.clone(), addresses };
        tokio::task::spawn_local(callers::serve(shared.clone(), callers));
        tokio::task::spawn_local(readiness::serve(shared.clone(), readiness));
        tokio::task::spawn_local(internal_server::serve(shared.clone(), internal));
        tokio::task::spawn_local(peer_reads::run(shared.clone()));
        tokio::task::spawn_local(stream_versions::run(shared.clone()));
        tokio::task::spawn_local(peer_socket::run(shared.clone()));
        tokio::task::spawn_local(tick_periodically(shared));
        Ok(handle)
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("{address}: cannot bind TCP listener"))
}

async fn tick_periodically(shared: Rc<Shared>) {
    for tick in 1_u32.. {
        tokio::time::sleep(TICK_INTERVAL).await;
        shared.tick();
        stream_versions::keep_markers(&shared);
        if tick % LOAD_LOG_TICKS == 0 {
            shared.log_load();
        }
    }
}

impl GatewayHandle {
    /// The addresses that the gateway has bound.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// The directory that the platform's adapter reports to.
    pub fn directory(&self) -> Rc<dyn Directory> {
        self.shared.clone()
    }

    /// Applies changed settings, except for the addresses.
    pub fn reload(&self, settings: Settings) {
        self.shared.reload(settings);
    }

    /// Performs a planned stop: readiness is withdrawn at once, open requests finish, and idle
    /// connections are closed. Returns when all requests have finished, or shortly before the end of
    /// the grace period; requests that are still open then have been answered, streams that have
    /// begun are cut.
    pub async fn stop(&self) {
        let stop = self.shared.begin_stop();
        loop {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
            let (open, connections) = self.shared.open_counts();
            match stop.next_step(open, self.shared.clock.now()) {
                StopStep::Wait => {}
                StopStep::CloseIdle => self.shared.close_idle_callers(),
                StopStep::AnswerAll => {
                    self.shared.close_idle_callers();
                    self.shared.last_answer_notify.notify_waiters();
                }
                StopStep::Exit => {
                    info!("stop.end open_requests={open} connections={connections}");
                    return;
                }
            }
        }
    }
}
