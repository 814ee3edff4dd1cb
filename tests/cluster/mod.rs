//! Entries, agents and stand-ins in one process, for tests of the real runtimes.
#![allow(dead_code, missing_docs, unreachable_pub, clippy::unwrap_used)]

pub mod relay;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agent::{Agent, AgentHandle, UpstreamSettings};
use clock::SystemClock;
use entry::{Entry, EntryHandle, PlatformSettings};
use identity::{HostId, UpstreamId, ZoneId};
use serde_json::{Value, json};
use standin::engine::{Engine, EngineSettings};
use standin::hosts::HostListService;
use standin::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use web::{Client, ClientResponse, Handler, Request, Server, ServerHandle, ServerLimits};

const ZONE: &str = "riga-a";
const MODEL: &str = "listing-7b";
const BEARER_KEY: &str = "gate-demo-key";
const BEARER_KEY_SHA256: &str = "f0d1adccb3de283730212baec569525a0a97c4670466fa0369e0112bdfcd42a7";
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

pub fn spawn_server(handler: Arc<dyn Handler>) -> ServerHandle {
    Server {
        address: loopback(),
        workers: 1,
        body_limit_bytes: 8 << 20,
        limits: ServerLimits::default(),
    }
    .bind(handler)
    .unwrap()
}

/// A stand-in engine and its HTTP server.
pub struct EngineServer {
    pub engine: Engine,
    pub server: ServerHandle,
}

pub fn spawn_engine(decode_tokens_per_s: u32) -> EngineServer {
    let settings = EngineSettings {
        prefill_tokens_per_s: 100_000,
        decode_tokens_per_s,
        ..EngineSettings::default()
    };
    let engine = Engine::new(settings, Arc::new(SystemClock));
    let server = spawn_server(Arc::new(engine.clone()));
    EngineServer { engine, server }
}

pub async fn spawn_agent(name: &str, engine: SocketAddr, slots: u32) -> AgentHandle {
    spawn_agent_on(loopback(), name, engine, slots).await
}

pub async fn spawn_agent_on(
    listen: SocketAddr,
    name: &str,
    engine: SocketAddr,
    slots: u32,
) -> AgentHandle {
    let settings = agent::Settings {
        listen,
        host: HostId::new(name),
        zone: ZoneId::new(ZONE),
        upstream: UpstreamId::new(name),
        adapter: UpstreamSettings::HttpEngine { address: engine },
        slots,
        peers: Vec::new(),
        log_level: "warn".to_owned(),
    };
    Agent { settings, clock: Arc::new(SystemClock) }.spawn().await.unwrap()
}

/// Entries with a configuration whose upstreams are at the given agents, and the platform.
pub struct Cluster {
    pub client: Client,
    pub entries: Vec<EntryHandle>,
    /// Servers of the store and of the host list.
    _platform: [ServerHandle; 2],
}

impl Cluster {
    pub async fn spawn(entries: usize, upstreams: &[(&str, SocketAddr)]) -> Cluster {
        let clock = Arc::new(SystemClock);
        let store = spawn_server(Arc::new(Store::new(clock.clone())));
        let hosts: Vec<&str> = upstreams.iter().map(|(name, _)| *name).collect();
        let hosts = spawn_server(Arc::new(HostListService::new(clock, Duration::ZERO, &hosts)));
        let mut cluster = Cluster {
            client: Client::spawn().unwrap(),
            entries: Vec::new(),
            _platform: [store, hosts],
        };
        for _ in 0..entries {
            let entry = cluster.spawn_entry().await;
            cluster.entries.push(entry);
        }
        cluster.submit_configuration(upstreams).await;
        cluster
    }

    async fn spawn_entry(&self) -> EntryHandle {
        let [store, host_list] = self._platform.each_ref().map(ServerHandle::address);
        let settings = entry::Settings {
            listen: loopback(),
            operators_listen: loopback(),
            host: HostId::new("entry"),
            zone: ZoneId::new(ZONE),
            platform: PlatformSettings::Http { store, host_list },
            callers: entry::CallerSettings::default(),
            workers: 1,
            peers: entry::PeerSettings::default(),
            log_level: "warn".to_owned(),
        };
        Entry { settings, clock: Arc::new(SystemClock) }.spawn().await.unwrap()
    }

    async fn submit_configuration(&self, upstreams: &[(&str, SocketAddr)]) {
        let upstreams: serde_json::Map<String, Value> = upstreams
            .iter()
            .map(|(name, agent)| {
                let kind = json!({ "engine": { "models": [MODEL], "prefill_tokens_per_s": 100_000,
                    "decode_tokens_per_s": 200, "slots": 4 } });
                let upstream = json!({ "host": name, "zone": ZONE, "agent": agent, "kind": kind });
                ((*name).to_owned(), upstream)
            })
            .collect();
        let document = json!({
            "regions": { "riga": { "zones": [ZONE] } },
            "models": { MODEL: { "context_tokens": 1_000_000, "max_tokens": 500_000 } },
            "upstreams": upstreams,
            "customers": { "gate": { "key_sha256": [BEARER_KEY_SHA256], "region": "riga",
                "models": { MODEL: { "tier": 0 } }, "requests_per_s": 1000 } },
        });
        let submission = json!({ "against_version": 0, "author": "test", "patch_id": "test-1",
            "patch": document });
        let request = Request::new("POST", "/configuration/patches").body(submission.to_string());
        let operators = self.entries[0].operators_address();
        let response = self.client.send(operators, request, CALL_TIMEOUT).await.unwrap();
        assert_eq!(response.status, 200);
        for entry in &self.entries {
            while self.ready_status(entry.operators_address()).await != 200 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    pub async fn ready_status(&self, operators: SocketAddr) -> u16 {
        let request = Request::new("GET", "/readyz");
        self.client
            .send(operators, request, CALL_TIMEOUT)
            .await
            .map_or(0, |response| response.status)
    }

    /// Sends a model call to an entry and returns the response once its head has arrived.
    pub async fn send_call(&self, entry: SocketAddr, call: &Call<'_>) -> ClientResponse {
        let mut request = Request::new("POST", "/v1/chat/completions")
            .header("authorization", &format!("Bearer {BEARER_KEY}"))
            .body(call.body().to_string());
        if !call.id.is_empty() {
            request = request.header("x-request-id", call.id);
        }
        if call.deadline_ms > 0 {
            request = request.header("x-deadline-ms", &call.deadline_ms.to_string());
        }
        self.client.send(entry, request, CALL_TIMEOUT).await.unwrap()
    }
}

/// A call of the model by the customer `gate`; an empty id and a deadline of 0 are not sent.
#[derive(Clone, Copy)]
pub struct Call<'a> {
    pub id: &'a str,
    pub max_tokens: u32,
    pub stream: bool,
    pub deadline_ms: u64,
}

impl Call<'_> {
    pub fn streamed(id: &str, max_tokens: u32) -> Call<'_> {
        Call { id, max_tokens, stream: true, deadline_ms: 0 }
    }

    /// Sends the call over a connection of its own and returns without reading the response.
    pub async fn send_raw(&self, entry: SocketAddr, receive_buffer_bytes: u32) -> TcpStream {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(receive_buffer_bytes).unwrap();
        let mut stream = socket.connect(entry).await.unwrap();
        let body = self.body().to_string();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {BEARER_KEY}\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + body.as_str()).as_bytes()).await.unwrap();
        stream
    }

    fn body(&self) -> Value {
        json!({ "model": MODEL, "stream": self.stream, "max_tokens": self.max_tokens,
            "messages": [{ "role": "user", "content": "Is pitch A-17 wide enough?" }] })
    }
}

/// Reads the whole body as text.
pub async fn read_text(response: &mut ClientResponse) -> String {
    String::from_utf8(response.read_body().await.unwrap().to_vec()).unwrap()
}

/// Reads everything up to the end of a connection.
pub async fn read_raw(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Whether a streamed response holds each of its tokens once, in order, and its end event.
pub fn is_complete_stream(text: &str, tokens: u32) -> bool {
    let events: Vec<&str> = text.split_terminator("\n\n").collect();
    let has_all_events =
        events.len() == tokens as usize + 1 && events.last() == Some(&"data: [DONE]");
    has_all_events
        && events[..tokens as usize]
            .iter()
            .enumerate()
            .all(|(index, event)| event.contains(&format!("-{index} \"")))
}
