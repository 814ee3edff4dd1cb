//! One dispatch for each request id, whichever entry is asked, over the real shells.
#![allow(clippy::unwrap_used)]

mod cluster;

use std::net::SocketAddr;
use std::time::Duration;

use agent::AgentHandle;
use cluster::relay::Relay;
use cluster::{Call, Cluster, EngineServer, agent, agent_at, engine, is_whole, read};
use futures_util::future::join_all;
use web::ClientResponse;

const TOKENS: u32 = 100;
const SLOTS: u32 = 8;
const BUFFER_BYTES: u32 = 64 << 10;

/// Engines with agents, each behind a relay.
struct Fleet {
    engines: Vec<EngineServer>,
    agents: Vec<AgentHandle>,
    relays: Vec<Relay>,
    cluster: Cluster,
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

impl Fleet {
    async fn spawn(entries: usize) -> Fleet {
        let mut fleet: (Vec<EngineServer>, Vec<AgentHandle>, Vec<Relay>) = Default::default();
        for name in NAMES {
            let engine = engine(100);
            let agent = agent(name, engine.server.address(), SLOTS).await;
            fleet.2.push(Relay::spawn(agent.address()).await);
            fleet.0.push(engine);
            fleet.1.push(agent);
        }
        let (engines, agents, relays) = fleet;
        let upstreams: Vec<_> =
            NAMES.iter().zip(&relays).map(|(name, relay)| (*name, relay.address)).collect();
        let cluster = Cluster::spawn(entries, &upstreams).await;
        Fleet { engines, agents, relays, cluster }
    }

    fn starts(&self) -> u32 {
        self.engines.iter().map(|engine| engine.engine.starts().values().sum::<u32>()).sum()
    }

    /// How often one id was started.
    fn starts_of(&self, id: &str) -> u32 {
        let name = format!("gate.{id}");
        self.engines.iter().filter_map(|e| e.engine.starts().get(&name).copied()).sum()
    }

    /// Gives an entry work of its own, so that it would place the next request elsewhere.
    async fn occupy(&self, entry: SocketAddr, streams: usize) -> Vec<ClientResponse> {
        let call = Call::streamed("", 400);
        let mut held = Vec::new();
        for _ in 0..streams {
            held.push(self.cluster.ask(entry, &call).await);
        }
        held
    }

    /// The engine that works on a request.
    fn working(&self) -> usize {
        self.engines.iter().position(|engine| !engine.engine.starts().is_empty()).unwrap()
    }

    /// A new process takes the place of an agent; its connections go silent.
    async fn replace(&mut self, at: usize) {
        let upstream = self.engines[at].server.address();
        let agent = agent_at(cluster::loopback(), NAMES[at], upstream, SLOTS).await;
        self.relays[at].lead_to(agent.address());
        self.relays[at].silence();
        self.agents[at] = agent;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_whose_connection_died_gets_its_answer_at_another_entry() {
    let fleet = Fleet::spawn(2).await;
    let [first, second] = [0, 1].map(|at| fleet.cluster.entries[at].callers_address());
    let call = Call::streamed("league-night-7", TOKENS);
    let mut response = fleet.cluster.ask(first, &call).await;
    response.body.recv().await.unwrap().unwrap();
    drop(response);
    let _busy = fleet.occupy(second, 3).await;
    let mut again = fleet.cluster.ask(second, &call).await;
    assert!(is_whole(&read(&mut again).await, TOKENS));
    let mut once_more = fleet.cluster.ask(first, &call).await;
    assert!(is_whole(&read(&mut once_more).await, TOKENS));
    assert_eq!(fleet.starts_of(call.id), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_id_asked_for_at_three_entries_at_once_runs_once() {
    let fleet = Fleet::spawn(3).await;
    let call = Call::streamed("tilt-dispute-3", TOKENS);
    let mut busy = Vec::new();
    for (at, entry) in fleet.cluster.entries.iter().enumerate() {
        busy.push(fleet.occupy(entry.callers_address(), at).await);
    }
    let asked = fleet.cluster.entries.iter().map(|e| fleet.cluster.ask(e.callers_address(), &call));
    for mut response in join_all(asked).await {
        assert!(is_whole(&read(&mut response).await, TOKENS));
    }
    assert_eq!(fleet.starts_of(call.id), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_id_is_known_after_its_home_has_lost_everything() {
    let mut fleet = Fleet::spawn(2).await;
    let [first, second] = [0, 1].map(|at| fleet.cluster.entries[at].callers_address());
    // Many ids, so that each agent is the index owner of some.
    let ids: Vec<String> = (0..12).map(|id| format!("season-{id}")).collect();
    let calls: Vec<Call<'_>> = ids.iter().map(|id| Call::streamed(id, TOKENS)).collect();
    let asked = join_all(calls.iter().map(|call| fleet.cluster.ask(first, call))).await;
    let started = fleet.starts();
    assert_eq!(started as usize, ids.len());
    let idle = (0..NAMES.len()).find(|at| *at != fleet.working()).unwrap();
    fleet.replace(idle).await;
    let again = join_all(calls.iter().map(|call| fleet.cluster.ask(second, call))).await;
    for mut response in again.into_iter().chain(asked) {
        let text = read(&mut response).await;
        // What ran at the process that is gone is lost, and said to be.
        assert!(is_whole(&text, TOKENS) || text.contains("3002"), "{text}");
        assert!(!text.contains("not_run"), "{text}");
    }
    assert_eq!(fleet.starts(), started);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_is_known_to_have_run_is_not_run_again_though_home_and_agent_are_lost() {
    let mut fleet = Fleet::spawn(1).await;
    let entry = fleet.cluster.entries[0].callers_address();
    let call = Call { stream: false, ..Call::streamed("payout-log-1", 4) };
    let mut response = fleet.cluster.ask(entry, &call).await;
    assert_eq!(response.status, 200);
    read(&mut response).await;
    let upstream = fleet.working();
    let owner = fleet.owner_of(call.id);
    fleet.replace(upstream).await;
    if owner != upstream {
        fleet.replace(owner).await;
    }
    // Requests of others find the silent connections and have them replaced.
    let other = Call { stream: false, ..Call::streamed("", 1) };
    join_all((0..32).map(|_| fleet.cluster.ask(entry, &other))).await;
    let mut again = fleet.cluster.ask(entry, &call).await;
    let text = read(&mut again).await;
    assert!(text.contains("3002") && text.contains("unknown"), "{text}");
    assert_eq!(fleet.starts_of(call.id), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_was_told_not_run_runs_when_it_is_asked_for_again() {
    let fleet = Fleet::spawn(1).await;
    let entry = fleet.cluster.entries[0].callers_address();
    let busy = Call::streamed("", 400);
    let busy = join_all((0..48).map(|_| busy.send_raw(entry, BUFFER_BYTES))).await;
    while fleet.starts() < NAMES.len() as u32 * SLOTS {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let late = Call { stream: false, deadline_ms: 300, ..Call::streamed("late", 4) };
    let mut refused = fleet.cluster.ask(entry, &late).await;
    let text = read(&mut refused).await;
    assert!(text.contains("2004") && text.contains("not_run"), "{text}");
    drop(busy);
    let mut again = fleet.cluster.ask(entry, &Call { deadline_ms: 30_000, ..late }).await;
    let text = read(&mut again).await;
    assert_eq!(again.status, 200, "{text}");
}

impl Fleet {
    fn owner_of(&self, id: &str) -> usize {
        let names = NAMES.map(identity::UpstreamId::new);
        let owners = registry::IndexOwners::new(identity::ConfigVersion(1), names);
        let key = wire::RequestKey {
            customer: identity::CustomerId::new("gate"),
            request_id: identity::RequestId::new(id),
        };
        let owner = owners.owner_of(&key).unwrap().as_str().to_owned();
        NAMES.iter().position(|name| *name == owner).unwrap()
    }
}
