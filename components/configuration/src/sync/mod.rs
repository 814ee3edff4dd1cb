//! State machine that selects the sources that a process queries for newer configurations.
//!
//! A few listed processes read the store. Relays, chosen by rendezvous hashing among the agents of
//! a zone, query the listed processes, and all other processes query the relays. Each query carries
//! the version that the querying process holds, so that the queried one learns of a newer version
//! too.

mod relays;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use identity::ConfigVersion;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use relays::{choose_relays, relay_rank};

/// Interval at which each process polls for a newer version.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Time limit for the response of a peer, after which the caller of [`ConfigurationSync`] reports a
/// failure.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time limit for the response of the store.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Interval before the next source is polled after one failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// After this number of consecutive failures, and each multiple of it, the next poll waits
/// [`POLL_INTERVAL`] instead of [`RETRY_INTERVAL`].
const FAILURES_PER_BURST: u32 = 6;

/// Maximum number of announcements that wait until their holder is queried.
const MAX_ANNOUNCEMENTS: usize = 8;

/// Range of an interval with jitter, in percent of the interval.
const JITTER_PERCENT: std::ops::RangeInclusive<u32> = 75..=110;

/// Source of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The platform's key-value service.
    Store,
    /// Another process.
    Peer(SocketAddr),
}

/// Input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A peer announced a version, which can be queried from `holder`.
    VersionAnnounced {
        /// The announced version.
        version: ConfigVersion,
        /// Address of a process that holds the version, if known.
        holder: Option<SocketAddr>,
    },
    /// This process has accepted a patch, which created this version.
    VersionAccepted(ConfigVersion),
    /// A source responded, and this process now holds this version.
    SourceAnswered(Source, ConfigVersion),
    /// A source did not respond. Each query ends with this event or with `SourceAnswered`.
    SourceFailed(Source),
}

/// Output of the state machine: the step to carry out next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Wait for the next event.
    Wait,
    /// Query each of these sources for a newer version than the one held.
    Query(Vec<Source>),
}

/// A process's own address, its listed peers and its access to the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerTopology {
    /// Address at which other processes reach this one.
    pub own_address: Option<SocketAddr>,
    /// Processes that read the store on behalf of the others. All processes of a zone have the same
    /// list.
    pub listed: Vec<SocketAddr>,
    /// Whether this process can reach the store.
    pub has_store: bool,
}

/// Selects the sources to query for newer configurations.
#[derive(Debug)]
pub struct ConfigurationSync {
    topology: PeerTopology,
    relays: Vec<SocketAddr>,
    held_version: ConfigVersion,
    /// Source of the periodic poll that awaits a response.
    pending_poll: Option<Source>,
    /// Holder of an announced version whose response is awaited.
    pending_holder_query: Option<Source>,
    next_poll_at: Instant,
    /// Consecutive failures of the periodic poll.
    failures: u32,
    /// Announced versions with the processes that hold them.
    announcements: VecDeque<(ConfigVersion, SocketAddr)>,
    random: ChaCha8Rng,
}

impl ConfigurationSync {
    /// Creates the state of a process that holds no configuration yet.
    pub fn new(topology: PeerTopology, seed: u64, now: Instant) -> ConfigurationSync {
        ConfigurationSync {
            topology,
            relays: Vec::new(),
            held_version: ConfigVersion(0),
            pending_poll: None,
            pending_holder_query: None,
            next_poll_at: now,
            failures: 0,
            announcements: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the version that this process holds.
    pub fn held_version(&self) -> ConfigVersion {
        self.held_version
    }

    /// Replaces the relays; called when the agents in the active configuration have changed.
    pub fn set_relays(&mut self, relays: Vec<SocketAddr>) {
        self.relays = relays;
    }

    /// Handles an event and returns the next step.
    pub fn on_event(&mut self, event: Event, now: Instant) -> NextStep {
        match event {
            Event::Tick => {}
            Event::VersionAnnounced { version, holder } => {
                self.add_announcement(version, holder, now)
            }
            Event::VersionAccepted(version) => return self.announce_version(version),
            Event::SourceAnswered(source, version) => self.record_response(source, version, now),
            Event::SourceFailed(source) => self.record_failure(source, now),
        }
        self.query_if_due(now)
    }

    /// Records an announced version. If its holder is unknown, the next poll is brought forward.
    fn add_announcement(
        &mut self,
        version: ConfigVersion,
        holder: Option<SocketAddr>,
        now: Instant,
    ) {
        if version <= self.held_version {
            return;
        }
        let Some(holder) = holder else {
            self.next_poll_at = self.next_poll_at.min(now + RETRY_INTERVAL);
            return;
        };
        if !self.announcements.contains(&(version, holder)) {
            self.announcements.push_back((version, holder));
        }
        if self.announcements.len() > MAX_ANNOUNCEMENTS {
            self.announcements.pop_front();
        }
    }

    /// Announces a new version to the listed processes at once, by queries that carry it.
    fn announce_version(&mut self, version: ConfigVersion) -> NextStep {
        self.held_version = self.held_version.max(version);
        let recipients = self.without_own_address(&self.topology.listed);
        if recipients.is_empty() {
            return NextStep::Wait;
        }
        NextStep::Query(recipients.into_iter().map(Source::Peer).collect())
    }

    fn record_response(&mut self, source: Source, version: ConfigVersion, now: Instant) {
        self.held_version = self.held_version.max(version);
        self.end_holder_query(source);
        if self.pending_poll == Some(source) {
            self.pending_poll = None;
            self.failures = 0;
            self.next_poll_at = now + self.with_jitter(POLL_INTERVAL);
        }
    }

    fn record_failure(&mut self, source: Source, now: Instant) {
        self.end_holder_query(source);
        if self.pending_poll != Some(source) {
            return;
        }
        self.pending_poll = None;
        self.failures += 1;
        let is_burst = !self.failures.is_multiple_of(FAILURES_PER_BURST);
        let interval = if is_burst { RETRY_INTERVAL } else { POLL_INTERVAL };
        self.next_poll_at = now + self.with_jitter(interval);
    }

    fn end_holder_query(&mut self, source: Source) {
        if self.pending_holder_query == Some(source) {
            self.pending_holder_query = None;
        }
    }

    fn query_if_due(&mut self, now: Instant) -> NextStep {
        let mut queries = Vec::new();
        if self.pending_holder_query.is_none() {
            self.pending_holder_query = self.choose_holder();
            queries.extend(self.pending_holder_query);
        }
        if self.pending_poll.is_none() && now >= self.next_poll_at {
            self.pending_poll = self.choose_poll_source();
            queries.extend(self.pending_poll);
        }
        if queries.is_empty() { NextStep::Wait } else { NextStep::Query(queries) }
    }

    /// Selects the holder of the most recently announced version that is newer than the one held.
    fn choose_holder(&mut self) -> Option<Source> {
        while let Some((version, holder)) = self.announcements.pop_back() {
            if version > self.held_version && Some(holder) != self.topology.own_address {
                return Some(Source::Peer(holder));
            }
        }
        None
    }

    /// Selects the source of the next poll: the next one in order after each failure.
    fn choose_poll_source(&mut self) -> Option<Source> {
        let sources = self.poll_sources();
        let position = usize::try_from(self.failures).unwrap_or_default();
        sources.get(position % sources.len().max(1)).copied()
    }

    /// Returns the sources in the order in which they are polled.
    ///
    /// Listed processes poll the store first, relays poll the listed processes, and all others poll
    /// two relays and then two listed processes. Without listed processes, each process polls the
    /// store first; without relays, each polls the listed processes. The remaining sources are
    /// alternatives after failures.
    fn poll_sources(&mut self) -> Vec<Source> {
        let own = self.topology.own_address;
        let is_listed = own.is_some_and(|own| self.topology.listed.contains(&own));
        let is_relay = own.is_some_and(|own| self.relays.contains(&own));
        let mut listed = self.without_own_address(&self.topology.listed);
        let mut relays = self.without_own_address(&self.relays);
        shuffle_addresses(&mut self.random, &mut listed);
        shuffle_addresses(&mut self.random, &mut relays);
        let store = self.topology.has_store.then_some(Source::Store);
        let peer = |addresses: Vec<SocketAddr>| addresses.into_iter().map(Source::Peer);
        if is_listed || self.topology.listed.is_empty() {
            store.into_iter().chain(peer(listed)).chain(peer(relays)).collect()
        } else if is_relay || relays.is_empty() {
            peer(listed).chain(store).chain(peer(relays)).collect()
        } else {
            peer(relays).take(2).chain(peer(listed).take(2)).chain(store).collect()
        }
    }

    fn without_own_address(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        addresses
            .iter()
            .copied()
            .filter(|address| Some(*address) != self.topology.own_address)
            .collect()
    }

    fn with_jitter(&mut self, interval: Duration) -> Duration {
        interval * self.random.random_range(JITTER_PERCENT) / 100
    }
}

fn shuffle_addresses(random: &mut ChaCha8Rng, addresses: &mut [SocketAddr]) {
    use rand::seq::SliceRandom;
    addresses.shuffle(random);
}
