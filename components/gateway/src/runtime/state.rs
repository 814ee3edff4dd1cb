//! State of the gateway that the tasks of its thread share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use clock::Clock;
use intake::Intake;
use intake::byte_budget::ByteBudget;
use link::{Pool, Timeouts};
use log::info;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use super::Gateway;
use super::allowance::AwaitedCredit;
use super::callers;
use super::crash_checks::CrashChecks;
use super::metrics::Metrics;
use super::stream_versions::StreamVersions;
use crate::Settings;
use crate::allowance::{BucketOwner, CustomerId, LocalCredit};
use crate::broker::{Broker, ElectionKey, PeerHealth, SlotReply, SlotRequestId};
use crate::crash_quarantine::CrashQuarantine;
use crate::customers::CustomerKeys;
use crate::freshness::Freshness;
use crate::header_codec::HeaderCodec;
use crate::key_confirmation::KeyConfirmation;
use crate::model::{Allowance, CallerLimits, PeerId, Position, ServiceId, Upstream, UpstreamId};
use crate::peers::Peers;
use crate::planned_stop::PlannedStop;
use crate::reachability::Reachability;
use crate::read_schedule::ReadSchedule;
use crate::retry_budget::RetryBudget;
use crate::routes::RouteTable;
use crate::served_times::ServedTimes;
use crate::shared_read::SharedReadReceiver;
use crate::store_copy::StoreCopy;
use crate::store_lag::StoreLag;
use crate::upstream_limits::UpstreamLimits;
use crate::upstream_notices::UpstreamNotices;
use crate::upstream_table::UpstreamTable;

/// Timeouts of connections to upstreams. A handshake takes one round trip, tens of milliseconds
/// between regions; an upstream whose accept queue is full drops the first packet, and another
/// upstream is the better choice then. Unacknowledged bytes and unanswered keepalive probes reveal
/// a connection that died silently.
pub(super) const UPSTREAM_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(400),
    unacknowledged: Duration::from_millis(2_000),
    keepalive_interval: Duration::from_millis(1_000),
};

/// The active configuration, indexed for the look-ups of requests.
#[derive(Debug, Default)]
pub(super) struct ActiveConfiguration {
    pub(super) version: u64,
    pub(super) routes: RouteTable,
    /// Output tokens in each event of a stream, by service.
    pub(super) tokens_per_event: HashMap<String, u32>,
    pub(super) allowances: HashMap<CustomerId, Allowance>,
    pub(super) keys: CustomerKeys,
    pub(super) requires_keys: bool,
    pub(super) limits: CallerLimits,
    /// Services to which routes send streams that may be resumed.
    pub(super) resumable_services: Vec<ServiceId>,
    /// Time for which such a stream lasts at most, over all attempts of its caller.
    pub(super) stream_lifetime: Duration,
}

/// A slot request whose reply is awaited.
pub(super) struct AwaitedReply {
    pub(super) broker: PeerId,
    /// Whether the broker has queued the request.
    pub(super) queued: bool,
    pub(super) replies: UnboundedSender<SlotReply>,
}

/// The state of the gateway, shared by all tasks of its thread.
pub(super) struct Shared {
    pub(super) settings: RefCell<Settings>,
    pub(super) process_id: u64,
    pub(super) header_codec: Box<dyn HeaderCodec>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) metrics: Metrics,
    pub(super) pool: Pool,
    pub(super) byte_budget: Rc<ByteBudget<UpstreamId>>,
    pub(super) active_configuration: RefCell<Option<Rc<ActiveConfiguration>>>,
    pub(super) freshness: Cell<Freshness>,
    pub(super) key_confirmation: Cell<KeyConfirmation>,
    store_lag: Cell<StoreLag>,
    pub(super) own_zone: Rc<str>,
    /// Socket for datagrams to and from other gateways.
    pub(super) socket: UdpSocket,
    /// Slots and queues of the services that this gateway brokers.
    pub(super) broker: RefCell<Broker>,
    /// Candidates in election order by election key; cleared when the candidates change.
    pub(super) ranked_gateways: RefCell<HashMap<ElectionKey, Rc<[PeerId]>>>,
    /// Gateways that are eligible as broker or bucket owner, sorted.
    pub(super) candidate_ids: RefCell<Vec<PeerId>>,
    pub(super) peer_health: RefCell<PeerHealth>,
    /// Requests that wait for a broker's reply or for a slot, by the id of their slot request.
    pub(super) pending_slot_requests: RefCell<HashMap<SlotRequestId, AwaitedReply>>,
    pub(super) last_slot_request_id: Cell<SlotRequestId>,
    pub(super) last_digest_sequence: Cell<u32>,
    was_leaving: Cell<bool>,
    /// Slots that this gateway holds.
    pub(super) held_slots: RefCell<HashMap<SlotRequestId, UpstreamId>>,
    pub(super) reachability: RefCell<Reachability>,
    /// Usable upstreams, draining ones included.
    pub(super) upstreams: RefCell<HashMap<UpstreamId, Upstream>>,
    /// Token buckets that this gateway owns, and replicas of other owners' buckets.
    pub(super) bucket_owner: RefCell<BucketOwner>,
    /// Credit that bucket owners have granted to this gateway.
    pub(super) local_credit: RefCell<LocalCredit>,
    /// Requests that wait for credit, by the number of their credit request.
    pub(super) pending_credit_requests: RefCell<HashMap<u32, AwaitedCredit>>,
    pub(super) retry_budget: RefCell<RetryBudget>,
    pub(super) peers: RefCell<Peers>,
    pub(super) closing_idle_callers: Cell<bool>,
    /// How long requests have taken.
    pub(super) served_times: RefCell<ServedTimes>,
    pub(super) planned_stop: Cell<Option<PlannedStop>>,
    /// Notified when a planned stop answers all requests that are still open.
    pub(super) last_answer_notify: Notify,
    pub(super) open_requests: Cell<usize>,
    /// Connections of callers.
    pub(super) intake: Rc<Intake<UpstreamId>>,
    pub(super) read_schedule: RefCell<ReadSchedule>,
    /// What upstreams have said of themselves.
    pub(super) upstream_notices: RefCell<UpstreamNotices>,
    /// Rates that upstreams have named.
    pub(super) upstream_limits: RefCell<UpstreamLimits>,
    /// Whether the broker was last given rates at which it may assign requests.
    pub(super) has_rates: Cell<bool>,
    /// Requests and prompt parts under which upstreams end.
    pub(super) crash_quarantine: RefCell<CrashQuarantine>,
    /// Answers that ended with their connections.
    pub(super) crash_checks: CrashChecks,
    /// Versions that began streams.
    pub(super) stream_versions: StreamVersions,
    /// What this gateway knows from the store, for others that know less.
    pub(super) store_copy: RefCell<StoreCopy>,
    /// Changes between two positions as last sent to a peer, since a zone asks for the same ones.
    pub(super) encoded_changes: RefCell<Option<(Position, Position, Bytes)>>,
    /// Peer from which the next read is due.
    pub(super) due_peer_read: Cell<Option<PeerId>>,
    pub(super) peer_read_notify: Notify,
    pub(super) shared_read_receiver: RefCell<Option<Rc<dyn SharedReadReceiver>>>,
    pub(super) upstream_table: RefCell<UpstreamTable>,
    pub(super) members_fingerprint: Cell<u64>,
    /// Whether the usable upstreams have changed since changes were last applied.
    pub(super) upstreams_changed: Cell<bool>,
    was_ready: Cell<bool>,
}

/// Reference to the state that the tasks of one thread share.
pub(super) type SharedRef = Rc<Shared>;

impl Shared {
    pub(super) fn new(gateway: Gateway, socket: UdpSocket) -> Result<Shared> {
        let Gateway { settings, process_id, header_codec, clock } = gateway;
        let now = clock.now();
        // Peers of the version before do not name the process that they reply to. Processes at one
        // address therefore begin to number their requests at different values.
        let first_number = process_id as u32;
        let byte_budget = ByteBudget::new(settings.held_limit_bytes);
        let intake = callers::open_intake(&settings, byte_budget.clone(), clock.clone());
        Ok(Shared {
            own_zone: settings.topology.own_zone.as_str().into(),
            socket,
            broker: RefCell::new(Broker::new(settings.topology.clone())),
            ranked_gateways: RefCell::default(),
            candidate_ids: RefCell::default(),
            peer_health: RefCell::default(),
            pending_slot_requests: RefCell::default(),
            last_slot_request_id: Cell::new(first_number),
            last_digest_sequence: Cell::new(0),
            was_leaving: Cell::new(false),
            held_slots: RefCell::default(),
            reachability: RefCell::default(),
            upstreams: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new(settings.retry_limit, now)),
            byte_budget,
            intake,
            settings: RefCell::new(settings),
            process_id,
            header_codec,
            clock,
            metrics: Metrics::new()?,
            pool: Pool::default(),
            active_configuration: RefCell::default(),
            freshness: Cell::default(),
            key_confirmation: Cell::default(),
            store_lag: Cell::default(),
            bucket_owner: RefCell::new(BucketOwner::new(now)),
            local_credit: RefCell::new(LocalCredit::new(first_number, now)),
            pending_credit_requests: RefCell::default(),
            peers: RefCell::default(),
            closing_idle_callers: Cell::new(false),
            served_times: RefCell::default(),
            planned_stop: Cell::new(None),
            last_answer_notify: Notify::new(),
            open_requests: Cell::new(0),
            read_schedule: RefCell::default(),
            upstream_notices: RefCell::default(),
            upstream_limits: RefCell::default(),
            has_rates: Cell::new(false),
            crash_quarantine: RefCell::default(),
            crash_checks: CrashChecks::default(),
            stream_versions: StreamVersions::default(),
            store_copy: RefCell::default(),
            encoded_changes: RefCell::default(),
            due_peer_read: Cell::default(),
            peer_read_notify: Notify::new(),
            shared_read_receiver: RefCell::default(),
            upstream_table: RefCell::default(),
            members_fingerprint: Cell::new(0),
            upstreams_changed: Cell::new(false),
            was_ready: Cell::new(false),
        })
    }

    pub(super) fn configuration(&self) -> Option<Rc<ActiveConfiguration>> {
        self.active_configuration.borrow().clone()
    }

    pub(super) fn caller_limits(&self) -> CallerLimits {
        self.active_configuration
            .borrow()
            .as_ref()
            .map_or_else(CallerLimits::default, |configuration| configuration.limits)
    }

    /// Whether the store has confirmed the configuration recently enough to accept customers' keys.
    pub(super) fn accepts_keys(&self) -> bool {
        let validity = self.settings.borrow().key_validity;
        let confirmation = self.key_confirmation.get();
        validity.is_none_or(|limit| confirmation.is_within(self.clock.uptime(), limit))
    }

    /// Milliseconds since the store last confirmed customers' keys.
    pub(super) fn confirmation_age_ms(&self) -> u128 {
        let age = self.key_confirmation.get().age(self.clock.uptime());
        age.map_or(u128::MAX, |age| age.as_millis())
    }

    /// Whether peers have a much later confirmation from the store: this gateway cannot reach the
    /// store, and its peers serve requests better.
    pub(super) fn lags_behind_peers(&self) -> bool {
        self.store_lag.get().is_cut_off()
    }

    fn update_store_lag(&self) {
        let latest = self.peers.borrow().last_confirmed(self.clock.now());
        let mut store_lag = self.store_lag.get();
        store_lag.update(self.freshness.get().confirmed_at(), latest, self.clock.uptime());
        self.store_lag.set(store_lag);
    }

    /// Whether the process should get new connections; logs a change.
    pub(super) fn is_ready(&self) -> bool {
        let ready = !self.is_stopping()
            && self.configuration().is_some()
            && self.accepts_keys()
            && !self.lags_behind_peers()
            && !self.upstream_table.borrow().is_empty();
        if self.was_ready.replace(ready) != ready {
            let age_ms = self.confirmation_age_ms();
            info!("ready.changed ready={ready} confirmation_age_ms={age_ms}");
        }
        ready
    }

    /// Fingerprint of the state known from the store; equal on gateways that know the same state.
    pub(super) fn fingerprint(&self) -> u64 {
        let version = self.configuration().map_or(0, |configuration| configuration.version);
        self.upstream_table.borrow().fingerprint()
            ^ self.members_fingerprint.get()
            ^ self.stream_versions.services.borrow().markers().fingerprint()
            ^ version
    }

    /// Records that the store confirmed the known state; `confirmed_at` is an uptime.
    pub(super) fn record_confirmation(&self, confirmed_at: Duration) {
        let mut freshness = self.freshness.get();
        freshness.confirm(confirmed_at);
        self.freshness.set(freshness);
    }

    /// Records an own read of the store, which was sent at `queried_at`, an uptime.
    pub(super) fn record_own_read(&self, queried_at: Duration) {
        self.record_confirmation(queried_at);
        self.update_key_confirmation(|confirmation| confirmation.confirm(queried_at));
    }

    pub(super) fn update_key_confirmation(&self, update: impl FnOnce(&mut KeyConfirmation)) {
        let mut confirmation = self.key_confirmation.get();
        update(&mut confirmation);
        self.key_confirmation.set(confirmation);
    }

    pub(super) fn reload(&self, settings: Settings) {
        self.retry_budget.borrow_mut().set_limit(settings.retry_limit);
        self.byte_budget.set_limit(settings.held_limit_bytes);
        *self.settings.borrow_mut() = settings;
    }

    /// Begins a planned stop, unless one has begun.
    pub(super) fn begin_stop(&self) -> PlannedStop {
        let begin = || PlannedStop::begin(self.settings.borrow().grace_period, self.clock.now());
        let stop = self.planned_stop.get().unwrap_or_else(begin);
        self.planned_stop.set(Some(stop));
        self.update_leaving();
        let open = self.open_requests.get();
        info!("stop.begin open_requests={open}");
        stop
    }

    /// Whether this gateway leaves its elected roles (broker, bucket owner) to its peers: it stops,
    /// or its knowledge of the store lags behind theirs.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_stopping() || self.lags_behind_peers()
    }

    /// Announces to the peers when this gateway begins or ceases to leave its elected roles.
    fn update_leaving(&self) {
        let leaving = self.is_leaving();
        if self.was_leaving.replace(leaving) != leaving {
            self.announce_leaving();
            self.update_candidates();
        }
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.planned_stop.get().is_some()
    }

    pub(super) fn close_idle_callers(&self) {
        self.closing_idle_callers.set(true);
    }

    /// Numbers of open requests and of open callers' connections.
    pub(super) fn open_counts(&self) -> (usize, usize) {
        (self.open_requests.get(), self.intake.connection_count())
    }

    /// Updates state that changes with time alone, and sends the replies that follow from it.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let change = self.upstream_table.borrow_mut().expire_missing(now);
        self.record_upstream_change(change);
        self.apply_upstream_changes();
        {
            let mut peers = self.peers.borrow_mut();
            peers.expire_departed(now);
            self.peer_health.borrow_mut().retain(|id| peers.is_member(id));
        }
        self.close_expired_callers();
        self.crash_quarantine.borrow_mut().expire(now);
        self.expire_upstream_notices(now);
        self.expire_streams(now);
        self.pool.evict_expired(now);
        self.update_store_lag();
        self.update_leaving();
        self.update_candidates();
        self.apply_limits(now);
        let replies = self.broker.borrow_mut().expire_silent(now);
        self.send_replies(replies);
        self.is_ready();
    }

    /// Logs the load of this gateway, and that of the upstreams if it is the broker of a service.
    pub(super) fn log_load(&self) {
        let (open, connections) = self.open_counts();
        let pending = self.pending_slot_requests.borrow().len();
        let broker = self.broker.borrow();
        let waiting = broker.scheduler().waiting_count();
        let is_broker = broker.scheduler().services().any(|service| self.is_broker_of(service));
        let upstreams = if is_broker {
            broker.scheduler().describe_load(self.clock.now())
        } else {
            String::new()
        };
        info!(
            "load open={open} connections={connections} displaced_connections={} pending_slot_requests={pending} brokered_waiting={waiting} comparisons={} upstreams={upstreams}",
            self.intake.displaced_count(),
            broker.scheduler().comparisons(),
        );
    }

    pub(super) fn is_broker_of(&self, service: ServiceId) -> bool {
        self.ranked_brokers(service).first() == Some(&self.process_id)
    }
}
