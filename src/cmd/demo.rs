//! `dragonflyfront-demo`: an entry, agents and simulated servers in one process on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agent::{Agent, AgentHandle, UpstreamSettings};
use anyhow::{Context, Result};
use clock::{Clock, SystemClock};
use entry::{Entry, PlatformSettings};
use identity::{HostId, UpstreamId, ZoneId};
use pico_args::Arguments;
use serde_json::json;
use standin::engine::{Engine, EngineSettings};
use standin::hosts::HostListService;
use standin::service::Service;
use standin::store::Store;
use web::{Client, Handler, Request, Server, ServerHandle, ServerLimits};

use super::{build_runtime, init_logging, wait_for_shutdown_signal};

const HELP: &str = "\
dragonflyfront-demo: an entry, agents and simulated servers in one process on loopback

usage: dragonflyfront-demo [--port N]

example: dragonflyfront-demo --port 8080";

const DEFAULT_PORT: u16 = 8080;
const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
const BODY_LIMIT_BYTES: usize = 8 << 20;
const ZONE: &str = "riga-a";

/// Time limit for the demo to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// API keys of the two customers. They need not be secret, as the demo listens only on loopback.
const GATE_KEY: &str = "gate-demo-key";
const SELLER_KEY: &str = "seller-demo-key";

/// SHA-256 of `GATE_KEY`.
const GATE_KEY_SHA256: &str = "f0d1adccb3de283730212baec569525a0a97c4670466fa0369e0112bdfcd42a7";

/// SHA-256 of `SELLER_KEY`.
const SELLER_KEY_SHA256: &str = "7592e31a516f53e163faa414ecf96072df243b42cf12e1bbb6b57d659ddbdf75";

/// Runs the program.
pub fn main(mut arguments: Arguments) -> Result<()> {
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let port = arguments.opt_value_from_str("--port")?.unwrap_or(DEFAULT_PORT);
    let unknown = arguments.finish();
    anyhow::ensure!(unknown.is_empty(), "unknown arguments: {unknown:?}; see --help");
    init_logging("warn")?;
    build_runtime()?.block_on(run(port))
}

async fn run(port: u16) -> Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let store = spawn_server(Arc::new(Store::new(clock.clone())))?;
    let hosts = spawn_server(Arc::new(HostListService::new(
        clock.clone(),
        Duration::ZERO,
        &["fast", "slow", "desk"],
    )))?;
    let fast = spawn_server(Arc::new(build_engine(20_000, 80, clock.clone())))?;
    let slow = spawn_server(Arc::new(build_engine(4_000, 25, clock.clone())))?;
    let desk = spawn_server(Arc::new(Service::new(Duration::from_millis(20))))?;
    let settings = entry::Settings {
        listen: (LOOPBACK, port).into(),
        operators_listen: (LOOPBACK, 0).into(),
        host: HostId::new("entry-1"),
        zone: ZoneId::new(ZONE),
        platform: PlatformSettings::Http { store: store.address(), host_list: hosts.address() },
        peers: entry::PeerSettings {
            listen: Some((LOOPBACK, 0).into()),
            ..entry::PeerSettings::default()
        },
        callers: entry::CallerSettings::default(),
        workers: 2,
        log_level: "warn".to_owned(),
    };
    let entry = Entry { settings, clock }.spawn().await?;
    let operators = entry.operators_address();
    let peers: Vec<SocketAddr> = entry.peers_address().into_iter().collect();
    let agents = [
        spawn_agent("fast", &peers, UpstreamSettings::HttpEngine { address: fast.address() })
            .await?,
        spawn_agent("slow", &peers, UpstreamSettings::HttpEngine { address: slow.address() })
            .await?,
        spawn_agent("desk", &peers, UpstreamSettings::HttpService { address: desk.address() })
            .await?,
    ];
    apply_configuration(operators, &agents).await?;
    print_commands(entry.callers_address(), operators);
    wait_for_shutdown_signal().await?;
    entry.stop().await;
    let [fast_agent, slow_agent, desk_agent] = agents;
    tokio::join!(fast_agent.stop(), slow_agent.stop(), desk_agent.stop());
    let stopped = tokio::task::spawn_blocking(move || {
        for server in [store, hosts, fast, slow, desk] {
            server.stop(false);
        }
    });
    stopped.await.context("simulated servers cannot be stopped")
}

fn spawn_server(handler: Arc<dyn Handler>) -> Result<ServerHandle> {
    let address = (LOOPBACK, 0).into();
    Server {
        address,
        workers: 1,
        body_limit_bytes: BODY_LIMIT_BYTES,
        limits: ServerLimits::default(),
    }
    .bind(handler)
}

fn build_engine(
    prefill_tokens_per_s: u32,
    decode_tokens_per_s: u32,
    clock: Arc<dyn Clock>,
) -> Engine {
    let speeds =
        EngineSettings { prefill_tokens_per_s, decode_tokens_per_s, ..EngineSettings::default() };
    Engine::new(speeds, clock)
}

async fn spawn_agent(
    name: &str,
    peers: &[SocketAddr],
    adapter: UpstreamSettings,
) -> Result<AgentHandle> {
    let settings = agent::Settings {
        listen: (LOOPBACK, 0).into(),
        host: HostId::new(name),
        zone: ZoneId::new(ZONE),
        upstream: UpstreamId::new(name),
        adapter,
        slots: 8,
        peers: peers.to_vec(),
        log_level: "warn".to_owned(),
    };
    Agent { settings, clock: Arc::new(SystemClock) }.spawn().await
}

/// Applies the configuration of the demo and waits until the entry is ready.
async fn apply_configuration(operators: SocketAddr, agents: &[AgentHandle; 3]) -> Result<()> {
    let [fast, slow, desk] = agents.each_ref().map(AgentHandle::address);
    let model = "listing-7b";
    let engine = |host: &str, agent: SocketAddr, prefill: u32, decode: u32| {
        json!({ "host": host, "zone": ZONE, "agent": agent, "kind": { "engine": {
            "models": [model], "prefill_tokens_per_s": prefill,
            "decode_tokens_per_s": decode, "slots": 8 } } })
    };
    let customer = |hash: &str, tier: u8| {
        json!({ "key_sha256": [hash], "region": "riga", "services": ["desk"],
            "models": { model: { "tier": tier } }, "requests_per_s": 100 })
    };
    let document = json!({
        "regions": { "riga": { "zones": [ZONE] } },
        "models": { model: { "context_tokens": 32_768, "max_tokens": 2_048 } },
        "services": { "desk": { "calls": [
            { "method": "POST", "path_prefix": "/bookings", "idempotent": false, "tier": 1 },
            { "method": "GET", "path_prefix": "/", "idempotent": true, "tier": 1 } ] } },
        "upstreams": {
            "fast": engine("fast", fast, 20_000, 80),
            "slow": engine("slow", slow, 4_000, 25),
            "desk": { "host": "desk", "zone": ZONE, "agent": desk,
                "kind": { "service": { "service": "desk", "slots": 8 } } } },
        "customers": {
            "gate": customer(GATE_KEY_SHA256, 0), "seller": customer(SELLER_KEY_SHA256, 2) },
    });
    let submission = json!({ "against_version": 0, "author": "demo", "patch_id": "demo-1",
        "patch": document });
    let client = Client::spawn()?;
    let request = Request::new("POST", "/configuration/patches").body(submission.to_string());
    let mut response = client.send(operators, request, CALL_TIMEOUT).await?;
    let body = response.read_body().await?;
    anyhow::ensure!(
        response.status == 200,
        "configuration patch rejected: {}",
        String::from_utf8_lossy(&body)
    );
    let ready = async {
        loop {
            let request = Request::new("GET", "/readyz");
            let response = client.send(operators, request, CALL_TIMEOUT).await;
            if response.is_ok_and(|response| response.status == 200) {
                return;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready)
        .await
        .context("the entry did not become ready in time")
}

fn print_commands(callers: SocketAddr, operators: SocketAddr) {
    let chat = r#"{"model":"listing-7b","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"Is pitch A-17 wide enough for a van?"}]}"#;
    println!(
        "curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {GATE_KEY}' -H 'Content-Type: application/json' -d '{chat}'"
    );
    println!(
        "curl http://{callers}/services/desk/bookings -H 'Authorization: Bearer {SELLER_KEY}' -H 'Idempotency-Key: pitch-a17-sunday' -H 'Content-Type: application/json' -d '{{\"pitch\":\"A-17\"}}'"
    );
    println!(
        "curl http://{callers}/services/desk/pitches/A-17 -H 'Authorization: Bearer {SELLER_KEY}'"
    );
    println!("curl http://{operators}/upstreams");
    println!("cargo run --bin dragonflyctl -- --operators {operators} config get");
    println!("ready");
}
