//! Whatever store, peer or late answer offers, no process goes back, and all get there in time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bolero::produce;
use clock::{Clock, ManualClock};
use configuration::sync::{
    ConfigurationSync, Event, NextStep, PEER_TIMEOUT, PeerTopology, STORE_TIMEOUT, Source,
};
use configuration::{ActiveConfiguration, Document, Snapshot};
use identity::ConfigVersion;

/// How long a version may take to be in force everywhere.
const BOUND: Duration = Duration::from_secs(7);

/// Resolution of the simulated time.
const STEP: Duration = Duration::from_millis(25);

/// Cases drawn.
const CASES: u64 = 150;

/// Most choices of a case.
const CHOICES: usize = 4_096;

const LISTED: usize = 2;
const RELAYS: usize = 4;
const NODES: usize = 40;

/// What the schedule of a run decides, byte by byte.
struct Choices<'a> {
    bytes: &'a [u8],
    used: usize,
}

impl Choices<'_> {
    fn next(&mut self) -> u8 {
        let byte = self.bytes.get(self.used % self.bytes.len().max(1)).copied().unwrap_or(0);
        self.used += 1;
        // Mixes the position in, so that short inputs do not repeat themselves.
        let mixed = (self.used as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (u64::from(byte) + 1).wrapping_mul(mixed).to_be_bytes()[0]
    }
}

struct Answer {
    due: Instant,
    to: usize,
    source: Source,
    /// `None` where the answer is lost.
    version: Option<ConfigVersion>,
}

struct Node {
    sync: ConfigurationSync,
    active_configuration: ActiveConfiguration,
    seen: ConfigVersion,
}

impl Node {
    fn new(sync: ConfigurationSync) -> Node {
        Node { sync, active_configuration: ActiveConfiguration::new(), seen: ConfigVersion(0) }
    }

    fn offer(&mut self, version: ConfigVersion) {
        self.active_configuration.install_if_newer(Snapshot::new(version, Document::default()));
        assert!(self.active_configuration.version() >= self.seen, "went back from {}", self.seen);
        self.seen = self.active_configuration.version();
    }
}

struct Fleet<'a> {
    clock: ManualClock,
    nodes: Vec<Node>,
    answers: Vec<Answer>,
    store: Option<ConfigVersion>,
    choices: Choices<'a>,
    asked: BTreeMap<Source, u32>,
    /// Frozen: neither asks nor answers, and takes late answers when it is thawed.
    dead: Option<usize>,
}

fn address(node: usize) -> SocketAddr {
    ([10, 0, 0, 1], 9000 + node as u16).into()
}

impl Fleet<'_> {
    fn new(bytes: &[u8]) -> Fleet<'_> {
        let clock = ManualClock::new();
        let listed: Vec<SocketAddr> = (0..LISTED).map(address).collect();
        let relays: Vec<SocketAddr> = (LISTED..LISTED + RELAYS).map(address).collect();
        let build = |node: usize| {
            let has_store = node < LISTED || node.is_multiple_of(2);
            let topology = PeerTopology {
                own_address: Some(address(node)),
                listed: listed.clone(),
                has_store,
            };
            let mut sync = ConfigurationSync::new(topology, node as u64, clock.now());
            sync.set_relays(relays.clone());
            Node::new(sync)
        };
        let nodes = (0..NODES).map(build).collect();
        let choices = Choices { bytes, used: 0 };
        Fleet {
            clock,
            nodes,
            answers: vec![],
            store: None,
            choices,
            asked: BTreeMap::new(),
            dead: None,
        }
    }

    fn tell(&mut self, node: usize, event: Event) {
        let now = self.clock.now();
        let next = self.nodes[node].sync.on_event(event, now);
        let NextStep::Query(sources) = next else { return };
        for source in sources {
            *self.asked.entry(source).or_default() += 1;
            self.ask(node, source);
        }
    }

    /// Delivers a question and schedules what comes of it: late, lost or out of date at times.
    fn ask(&mut self, node: usize, source: Source) {
        let choice = self.choices.next();
        let delay = Duration::from_millis(u64::from(choice % 16) * 10);
        let mut is_lost = choice > 235;
        let version = match source {
            Source::Store => self.store.map(|version| self.aged(version)),
            Source::Peer(address) => {
                let peer = usize::from(address.port() - 9000);
                is_lost |= self.dead == Some(peer);
                if !is_lost {
                    let version = self.nodes[node].seen;
                    self.tell(
                        peer,
                        Event::VersionAnnounced { version, holder: Some(self::address(node)) },
                    );
                }
                Some(self.nodes[peer].seen)
            }
        };
        let version = if is_lost { None } else { version };
        let silence = if source == Source::Store { STORE_TIMEOUT } else { PEER_TIMEOUT };
        let due = self.clock.now() + if version.is_some() { delay } else { silence };
        self.answers.push(Answer { due, to: node, source, version });
    }

    /// A replica of the store may lag a version behind.
    fn aged(&mut self, version: ConfigVersion) -> ConfigVersion {
        let lag = u64::from(self.choices.next() > 200);
        ConfigVersion(version.0.saturating_sub(lag))
    }

    fn step(&mut self) {
        self.clock.advance(STEP);
        let now = self.clock.now();
        let (due, later) = self
            .answers
            .drain(..)
            .partition(|answer| answer.due <= now && self.dead != Some(answer.to));
        self.answers = later;
        let due: Vec<Answer> = due;
        for answer in due {
            let event = match answer.version {
                Some(version) => {
                    let node = &mut self.nodes[answer.to];
                    node.offer(version);
                    Event::SourceAnswered(answer.source, node.seen)
                }
                None => Event::SourceFailed(answer.source),
            };
            self.tell(answer.to, event);
        }
        let dead = self.dead;
        for node in (0..NODES).filter(|node| dead != Some(*node)) {
            self.tell(node, Event::Tick);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.clock.now() + time;
        while self.clock.now() < end {
            self.step();
        }
    }

    fn accept(&mut self, node: usize, version: ConfigVersion, store_after: bool) {
        self.nodes[node].offer(version);
        self.store = store_after.then_some(version);
        self.tell(node, Event::VersionAccepted(version));
    }

    fn slowest(&self) -> ConfigVersion {
        let alive = self.nodes.iter().enumerate().filter(|(node, _)| self.dead != Some(*node));
        alive.map(|(_, node)| node.seen).min().unwrap_or_default()
    }
}

#[test]
fn every_process_has_a_version_in_time_and_none_goes_back() {
    let choices = produce::<Vec<u8>>().with().len(0..CHOICES);
    property::check_with(CASES, &choices, |bytes: &Vec<u8>| {
        let mut fleet = Fleet::new(bytes);
        for version in 1..=4 {
            let version = ConfigVersion(version);
            // One process is frozen at a time: often a listed one or a relay.
            let dead = usize::from(fleet.choices.next()) % (2 * (LISTED + RELAYS));
            let acceptor = (dead + 1 + usize::from(fleet.choices.next()) % (NODES - 1)) % NODES;
            fleet.dead = Some(dead);
            // The store goes down just after every second accept.
            fleet.accept(acceptor, version, version.0 % 2 == 1);
            fleet.run(BOUND);
            assert_eq!(fleet.slowest(), version, "accepted by {acceptor}");
        }
    });
}

#[test]
fn a_process_that_starts_while_the_store_is_down_gets_the_version_from_its_peers() {
    let mut fleet = Fleet::new(&[7, 99, 200]);
    fleet.accept(5, ConfigVersion(3), true);
    fleet.run(BOUND);
    fleet.store = None;
    let topology = PeerTopology {
        own_address: Some(address(30)),
        listed: (0..LISTED).map(address).collect(),
        has_store: true,
    };
    fleet.nodes[30] = Node::new(ConfigurationSync::new(topology, 99, fleet.clock.now()));
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.nodes[30].seen, ConfigVersion(3));
}

#[test]
fn few_processes_read_the_store_and_no_process_is_asked_by_all() {
    let mut fleet = Fleet::new(&[0]);
    fleet.accept(0, ConfigVersion(1), true);
    fleet.asked.clear();
    let seconds = 60;
    fleet.run(Duration::from_secs(seconds));
    let per_s = |count: u32| f64::from(count) / seconds as f64;
    let store = per_s(fleet.asked.remove(&Source::Store).unwrap_or(0));
    let most = per_s(fleet.asked.values().copied().max().unwrap_or(0));
    println!("store reads/s={store:.1} most asked peer/s={most:.1}");
    assert!(store < 1.2 * LISTED as f64, "{store} reads of the store a second");
    assert!(most < 2.0 * NODES as f64 / RELAYS as f64, "{most} questions a second to one process");
}
