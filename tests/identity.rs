//! Deduplication by request id across entries, over the real runtimes: a request is dispatched at
//! most once, whichever entry receives it.
#![allow(clippy::unwrap_used)]

mod cluster;

use std::net::SocketAddr;
use std::time::Duration;

use agent::AgentHandle;
use cluster::relay::Relay;
use cluster::{
    Call, Cluster, EngineServer, is_complete_stream, read_text, spawn_agent, spawn_agent_on,
    spawn_engine,
};
use futures_util::future::join_all;
use web::ClientResponse;

const TOKENS: u32 = 100;
const SLOTS: u32 = 8;
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;

/// Engines and their agents, each agent behind a relay, and a cluster of entries.
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
            let engine = spawn_engine(100);
            let agent = spawn_agent(name, engine.server.address(), SLOTS).await;
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

    /// Number of starts of all requests at all engines together.
    fn total_starts(&self) -> u32 {
        self.engines.iter().map(|engine| engine.engine.starts().values().sum::<u32>()).sum()
    }

    /// Number of starts of the request with this id at all engines together.
    fn starts_of(&self, id: &str) -> u32 {
        let name = format!("gate.{id}");
        self.engines.iter().filter_map(|engine| engine.engine.starts().get(&name).copied()).sum()
    }

    /// Sends streams to one entry only, so that it would place its next request on another upstream
    /// than the other entries.
    async fn occupy_entry(&self, entry: SocketAddr, streams: usize) -> Vec<ClientResponse> {
        let call = Call::streamed("", 400);
        let mut responses = Vec::new();
        for _ in 0..streams {
            responses.push(self.cluster.send_call(entry, &call).await);
        }
        responses
    }

    /// Index of the first engine that has started a request.
    fn active_engine(&self) -> usize {
        self.engines.iter().position(|engine| !engine.engine.starts().is_empty()).unwrap()
    }

    /// Replaces an agent by a new process; connections to the old one fall silent.
    async fn replace_agent(&mut self, index: usize) {
        let upstream = self.engines[index].server.address();
        let agent = spawn_agent_on(cluster::loopback(), NAMES[index], upstream, SLOTS).await;
        self.relays[index].set_target(agent.address());
        self.relays[index].silence_connections();
        self.agents[index] = agent;
    }
}

/// Guards against a second dispatch when a caller loses its connection and sends the same id
/// again, to another entry or to the same one.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_id_gets_the_same_response_at_another_entry() {
    let fleet = Fleet::spawn(2).await;
    let [first, second] = [0, 1].map(|index| fleet.cluster.entries[index].callers_address());
    let call = Call::streamed("league-night-7", TOKENS);
    let mut response = fleet.cluster.send_call(first, &call).await;
    response.body.recv().await.unwrap().unwrap();
    drop(response);
    let _occupying_streams = fleet.occupy_entry(second, 3).await;
    let mut repeated = fleet.cluster.send_call(second, &call).await;
    assert!(is_complete_stream(&read_text(&mut repeated).await, TOKENS));
    let mut third = fleet.cluster.send_call(first, &call).await;
    assert!(is_complete_stream(&read_text(&mut third).await, TOKENS));
    assert_eq!(fleet.starts_of(call.id), 1);
}

/// Guards against a dispatch by each entry when the same id arrives at three entries at once, each
/// of which would place the request on another upstream.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_id_at_three_entries_run_once() {
    let fleet = Fleet::spawn(3).await;
    let call = Call::streamed("tilt-dispute-3", TOKENS);
    let mut occupying_streams = Vec::new();
    for (index, entry) in fleet.cluster.entries.iter().enumerate() {
        occupying_streams.push(fleet.occupy_entry(entry.callers_address(), index).await);
    }
    let calls = fleet
        .cluster
        .entries
        .iter()
        .map(|entry| fleet.cluster.send_call(entry.callers_address(), &call));
    for mut response in join_all(calls).await {
        assert!(is_complete_stream(&read_text(&mut response).await, TOKENS));
    }
    assert_eq!(fleet.starts_of(call.id), 1);
}

/// Guards against a second dispatch of requests that run elsewhere after the agent that owns their
/// index entries was replaced by a process with an empty index.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_found_after_their_index_owner_lost_its_index() {
    let mut fleet = Fleet::spawn(2).await;
    let [first, second] = [0, 1].map(|index| fleet.cluster.entries[index].callers_address());
    // Many ids, so that each agent is the index owner of some.
    let ids: Vec<String> = (0..12).map(|id| format!("season-{id}")).collect();
    let calls: Vec<Call<'_>> = ids.iter().map(|id| Call::streamed(id, TOKENS)).collect();
    let responses = join_all(calls.iter().map(|call| fleet.cluster.send_call(first, call))).await;
    let started = fleet.total_starts();
    assert_eq!(started as usize, ids.len());
    let idle = (0..NAMES.len()).find(|index| *index != fleet.active_engine()).unwrap();
    fleet.replace_agent(idle).await;
    let repeated = join_all(calls.iter().map(|call| fleet.cluster.send_call(second, call))).await;
    for mut response in repeated.into_iter().chain(responses) {
        let text = read_text(&mut response).await;
        // The response of a request that ran at the replaced process is lost and reported as lost.
        assert!(is_complete_stream(&text, TOKENS) || text.contains("3002"), "{text}");
        assert!(!text.contains("not_run"), "{text}");
    }
    assert_eq!(fleet.total_starts(), started);
}

/// Guards against a second run after the agent that ran a request and the index owner of its id
/// were both replaced. Replicas of the placement record on other agents still show that the request
/// was dispatched, so its outcome is reported as unknown.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_ran_is_not_run_again_after_its_agent_and_index_owner_are_lost() {
    let mut fleet = Fleet::spawn(1).await;
    let entry = fleet.cluster.entries[0].callers_address();
    let call = Call { stream: false, ..Call::streamed("payout-log-1", 4) };
    let mut response = fleet.cluster.send_call(entry, &call).await;
    assert_eq!(response.status, 200);
    read_text(&mut response).await;
    let upstream = fleet.active_engine();
    let owner = fleet.index_owner_of(call.id);
    fleet.replace_agent(upstream).await;
    if owner != upstream {
        fleet.replace_agent(owner).await;
    }
    // Other requests make the entry detect the silent connections and replace them.
    let other = Call { stream: false, ..Call::streamed("", 1) };
    join_all((0..32).map(|_| fleet.cluster.send_call(entry, &other))).await;
    let mut repeated = fleet.cluster.send_call(entry, &call).await;
    let text = read_text(&mut repeated).await;
    assert!(text.contains("3002") && text.contains("unknown"), "{text}");
    assert_eq!(fleet.starts_of(call.id), 1);
}

/// Guards against refusing an id for good after a request with this id was reported as `not_run`.
#[tokio::test(flavor = "multi_thread")]
async fn request_reported_as_not_run_runs_when_repeated() {
    let fleet = Fleet::spawn(1).await;
    let entry = fleet.cluster.entries[0].callers_address();
    let occupying_call = Call::streamed("", 400);
    let occupying_streams =
        join_all((0..48).map(|_| occupying_call.send_raw(entry, RECEIVE_BUFFER_BYTES))).await;
    while fleet.total_starts() < NAMES.len() as u32 * SLOTS {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let late = Call { stream: false, deadline_ms: 300, ..Call::streamed("late", 4) };
    let mut refused = fleet.cluster.send_call(entry, &late).await;
    let text = read_text(&mut refused).await;
    assert!(text.contains("2004") && text.contains("not_run"), "{text}");
    drop(occupying_streams);
    let mut repeated = fleet.cluster.send_call(entry, &Call { deadline_ms: 30_000, ..late }).await;
    let text = read_text(&mut repeated).await;
    assert_eq!(repeated.status, 200, "{text}");
}

impl Fleet {
    /// Index of the agent that owns the index entry of this id.
    fn index_owner_of(&self, id: &str) -> usize {
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
