//! How a process learns of a newer configuration: whom to ask next.
//!
//! A few listed processes read the store. Relays, chosen by rendezvous hashing among the agents of
//! a zone, ask the listed ones, and all others ask the relays. Each question carries the version
//! that the asker holds, so that the one asked learns of a newer one too.

mod ring;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use identity::ConfigVersion;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use ring::{choose_relays, relay_rank};

/// How often each process asks.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// How long a peer may be silent; after that the caller of `Sync` reports a failure.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the store may be silent.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long before another source is asked after one failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Failures in a row after which the pace falls back to the usual one.
const QUICK_RETRIES: u32 = 6;

/// Newer versions heard of that wait to be fetched.
const HINT_LIMIT: usize = 8;

/// Jitter of an interval, in percent of it.
const JITTER_PERCENT: std::ops::RangeInclusive<u32> = 75..=110;

/// Where a configuration can be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The platform's key-value service.
    Store,
    /// A process of the system.
    Peer(SocketAddr),
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A peer announced a version; `holder` can be asked for it.
    VersionAnnounced {
        /// The version.
        version: ConfigVersion,
        /// Who holds it, if that is known.
        holder: Option<SocketAddr>,
    },
    /// This process made or fetched a version that is durable.
    VersionAccepted(ConfigVersion),
    /// A source answered, and this version is held now.
    SourceAnswered(Source, ConfigVersion),
    /// A source did not answer. Each question ends with this or with `Answered`.
    SourceFailed(Source),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing until something happens.
    Wait,
    /// Query each of these for what is newer than the version held.
    Query(Vec<Source>),
}

/// A process's own address, its listed peers and its access to the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerTopology {
    /// Where others reach this process.
    pub own_address: Option<SocketAddr>,
    /// Processes that read the store for the others, the same list everywhere in a zone.
    pub listed: Vec<SocketAddr>,
    /// This process can reach the store.
    pub has_store: bool,
}

/// Chooses the sources to query for newer configurations.
#[derive(Debug)]
pub struct ConfigurationSync {
    topology: PeerTopology,
    relays: Vec<SocketAddr>,
    held: ConfigVersion,
    /// The question that is asked at each interval, while it is open.
    asking: Option<Source>,
    /// The question to whoever is known to hold a newer version, while it is open.
    following: Option<Source>,
    ask_at: Instant,
    failures: u32,
    hints: VecDeque<(ConfigVersion, SocketAddr)>,
    random: ChaCha8Rng,
}

impl ConfigurationSync {
    /// A process that holds nothing yet.
    pub fn new(topology: PeerTopology, seed: u64, now: Instant) -> ConfigurationSync {
        ConfigurationSync {
            topology,
            relays: Vec::new(),
            held: ConfigVersion(0),
            asking: None,
            following: None,
            ask_at: now,
            failures: 0,
            hints: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The version held.
    pub fn held_version(&self) -> ConfigVersion {
        self.held
    }

    /// Replaces the relays when the agents in force have changed.
    pub fn set_relays(&mut self, relays: Vec<SocketAddr>) {
        self.relays = relays;
    }

    /// Takes in what happened and says whom to ask.
    pub fn on_event(&mut self, event: Event, now: Instant) -> NextStep {
        match event {
            Event::Tick => {}
            Event::VersionAnnounced { version, holder } => self.hear(version, holder, now),
            Event::VersionAccepted(version) => return self.announce(version),
            Event::SourceAnswered(source, version) => self.take_answer(source, version, now),
            Event::SourceFailed(source) => self.take_failure(source, now),
        }
        self.ask_if_due(now)
    }

    fn hear(&mut self, version: ConfigVersion, holder: Option<SocketAddr>, now: Instant) {
        if version <= self.held {
            return;
        }
        let Some(holder) = holder else {
            self.ask_at = self.ask_at.min(now + RETRY_INTERVAL);
            return;
        };
        if !self.hints.contains(&(version, holder)) {
            self.hints.push_back((version, holder));
        }
        if self.hints.len() > HINT_LIMIT {
            self.hints.pop_front();
        }
    }

    /// Tells the listed processes at once, by asking them with the new version.
    fn announce(&mut self, version: ConfigVersion) -> NextStep {
        self.held = self.held.max(version);
        let others = self.others(&self.topology.listed);
        if others.is_empty() {
            return NextStep::Wait;
        }
        NextStep::Query(others.into_iter().map(Source::Peer).collect())
    }

    fn take_answer(&mut self, source: Source, version: ConfigVersion, now: Instant) {
        self.held = self.held.max(version);
        self.end_following(source);
        if self.asking == Some(source) {
            self.asking = None;
            self.failures = 0;
            self.ask_at = now + self.jittered(POLL_INTERVAL);
        }
    }

    fn take_failure(&mut self, source: Source, now: Instant) {
        self.end_following(source);
        if self.asking != Some(source) {
            return;
        }
        self.asking = None;
        self.failures += 1;
        let quick = !self.failures.is_multiple_of(QUICK_RETRIES);
        let pause = if quick { RETRY_INTERVAL } else { POLL_INTERVAL };
        self.ask_at = now + self.jittered(pause);
    }

    fn end_following(&mut self, source: Source) {
        if self.following == Some(source) {
            self.following = None;
        }
    }

    fn ask_if_due(&mut self, now: Instant) -> NextStep {
        let mut questions = Vec::new();
        if self.following.is_none() {
            self.following = self.choose_holder();
            questions.extend(self.following);
        }
        if self.asking.is_none() && now >= self.ask_at {
            self.asking = self.choose_usual();
            questions.extend(self.asking);
        }
        if questions.is_empty() { NextStep::Wait } else { NextStep::Query(questions) }
    }

    /// Whoever is known to hold a newer version.
    fn choose_holder(&mut self) -> Option<Source> {
        while let Some((version, holder)) = self.hints.pop_back() {
            if version > self.held && Some(holder) != self.topology.own_address {
                return Some(Source::Peer(holder));
            }
        }
        None
    }

    /// The usual sources in turn.
    fn choose_usual(&mut self) -> Option<Source> {
        let sources = self.sources();
        let turn = usize::try_from(self.failures).unwrap_or_default();
        sources.get(turn % sources.len().max(1)).copied()
    }

    /// Sources in the order in which they are tried.
    fn sources(&mut self) -> Vec<Source> {
        let own = self.topology.own_address;
        let is_listed = own.is_some_and(|own| self.topology.listed.contains(&own));
        let is_relay = own.is_some_and(|own| self.relays.contains(&own));
        let mut listed = self.others(&self.topology.listed);
        let mut relays = self.others(&self.relays);
        order_for(&mut self.random, &mut listed);
        order_for(&mut self.random, &mut relays);
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

    fn others(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        addresses
            .iter()
            .copied()
            .filter(|address| Some(*address) != self.topology.own_address)
            .collect()
    }

    fn jittered(&mut self, interval: Duration) -> Duration {
        interval * self.random.random_range(JITTER_PERCENT) / 100
    }
}

fn order_for(random: &mut ChaCha8Rng, addresses: &mut [SocketAddr]) {
    use rand::seq::SliceRandom;
    addresses.shuffle(random);
}
