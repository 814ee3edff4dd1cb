//! Benchmark of claims. It compares the store calls and the latency of a booking, which needs a
//! claim, with those of a look-up in the same run, and a store key for each claim with claims
//! grouped by shard under one key.
//!
//! `cargo run --release -p entry --example claim_cost`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agent::{Agent, UpstreamSettings};
use anyhow::{Context, Result, ensure};
use clock::{Clock, SystemClock};
use entry::{Entry, PlatformSettings};
use identity::{HostId, UpstreamId, ZoneId};
use serde_json::json;
use standin::hosts::HostListService;
use standin::service::Service;
use standin::store::{Store, StoreFaults};
use store::{HttpStore, KeyValueStore, Revision, SwapResult};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use web::{Client, Handler, Request, Server, ServerHandle, ServerLimits};

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const API_KEY: &str = "seller-demo-key";
const API_KEY_SHA256: &str = "7592e31a516f53e163faa414ecf96072df243b42cf12e1bbb6b57d659ddbdf75";

/// Delays that the store adds to each call; the benchmark runs once with each.
const STORE_DELAYS_MS: [u64; 2] = [0, 3];

/// Number of look-ups, each followed by a booking.
const CALL_PAIRS: usize = 300;

/// Numbers of tasks that write claims concurrently; the benchmark runs once with each.
const CONCURRENT_TASKS: [usize; 3] = [1, 16, 64];

/// Claims that each task writes, one after another.
const CLAIMS_PER_TASK: usize = 20;

/// Size of a claim in the store.
const CLAIM_BYTES: usize = 420;

/// Time for which the writer of a shard collects claims for one write.
const GROUPING_DELAY: Duration = Duration::from_millis(2);

fn serve(handler: Arc<dyn Handler>) -> Result<ServerHandle> {
    let address = (LOOPBACK, 0).into();
    Server { address, workers: 1, body_limit_bytes: 1 << 20, limits: ServerLimits::default() }
        .bind(handler)
}

fn main() -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    runtime.block_on(async {
        for delay_ms in STORE_DELAYS_MS {
            measure_bookings(delay_ms).await?;
            for tasks in CONCURRENT_TASKS {
                compare_layouts(delay_ms, tasks).await?;
            }
        }
        Ok(())
    })
}

/// Measures bookings and look-ups through an entry and an agent, with the store at this delay.
async fn measure_bookings(delay_ms: u64) -> Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let store = Arc::new(Store::new(clock.clone()));
    let store_server = serve(store.clone())?;
    let hosts = serve(Arc::new(HostListService::new(clock.clone(), Duration::ZERO, &["desk"])))?;
    let service = serve(Arc::new(Service::new(Duration::ZERO)))?;
    let settings = agent::Settings {
        listen: (LOOPBACK, 0).into(),
        host: HostId::new("desk"),
        zone: ZoneId::new("riga-a"),
        upstream: UpstreamId::new("desk"),
        adapter: UpstreamSettings::HttpService { address: service.address() },
        slots: 8,
        peers: Vec::new(),
        log_level: "off".to_owned(),
    };
    let agent = Agent { settings, clock: clock.clone() }.spawn().await?;
    let settings = entry::Settings {
        listen: (LOOPBACK, 0).into(),
        operators_listen: (LOOPBACK, 0).into(),
        host: HostId::new("entry"),
        zone: ZoneId::new("riga-a"),
        platform: PlatformSettings::Http {
            store: store_server.address(),
            host_list: hosts.address(),
        },
        callers: entry::CallerSettings::default(),
        workers: 1,
        peers: entry::PeerSettings::default(),
        log_level: "off".to_owned(),
    };
    let entry = Entry { settings, clock }.spawn().await?;
    let client = Client::spawn()?;
    configure(&client, entry.operators_address(), agent.address()).await?;
    store.set_faults(StoreFaults { delay_ms, ..StoreFaults::default() });
    let address = entry.callers_address();
    let (mut look_up_times, mut booking_times) = (Vec::new(), Vec::new());
    let idle_calls_per_s = count_idle_calls(&store).await;
    let (started_at, calls_before) = (Instant::now(), store.calls());
    for number in 0..CALL_PAIRS {
        let look_up = authorized("GET", "/services/desk/pitches/A-17");
        look_up_times.push(time_call(&client, address, look_up).await?);
        let booking = authorized("POST", "/services/desk/bookings")
            .header("idempotency-key", &format!("k{number}"))
            .body("{}");
        booking_times.push(time_call(&client, address, booking).await?);
    }
    let idle_calls_in_run = idle_calls_per_s * started_at.elapsed().as_secs_f64();
    let calls = (store.calls() - calls_before) as f64 - idle_calls_in_run;
    let (look_up, booking) = (median(look_up_times), median(booking_times));
    println!(
        "store {delay_ms} ms: look-up p50 {look_up:?}, booking p50 {booking:?}, ratio {:.2}, store calls per booking {:.2}",
        booking.as_secs_f64() / look_up.as_secs_f64(),
        calls / CALL_PAIRS as f64
    );
    entry.stop().await;
    agent.stop().await;
    Ok(())
}

fn authorized(method: &str, path: &str) -> Request {
    Request::new(method, path).header("authorization", &format!("Bearer {API_KEY}"))
}

/// Measures the store calls per second while no requests are sent.
async fn count_idle_calls(store: &Store) -> f64 {
    let (started_at, before) = (Instant::now(), store.calls());
    tokio::time::sleep(Duration::from_secs(2)).await;
    (store.calls() - before) as f64 / started_at.elapsed().as_secs_f64()
}

async fn configure(client: &Client, operators: SocketAddr, agent: SocketAddr) -> Result<()> {
    let document = json!({
        "regions": { "riga": { "zones": ["riga-a"] } },
        "services": { "desk": { "calls": [
            { "method": "POST", "path_prefix": "/bookings", "idempotent": false, "tier": 1 },
            { "method": "GET", "path_prefix": "/", "idempotent": true, "tier": 1 } ] } },
        "upstreams": { "desk": { "host": "desk", "zone": "riga-a", "agent": agent,
            "kind": { "service": { "service": "desk", "slots": 8 } } } },
        "customers": { "seller": { "key_sha256": [API_KEY_SHA256], "region": "riga",
            "services": ["desk"], "requests_per_s": 100_000 } },
    });
    let submission = json!({ "against_version": 0, "author": "measure", "patch_id": "1",
        "patch": document });
    let request = Request::new("POST", "/configuration/patches").body(submission.to_string());
    let response = client.send(operators, request, CALL_TIMEOUT).await?;
    ensure!(response.status == 200, "patch refused");
    loop {
        let request = Request::new("GET", "/readyz");
        if client.send(operators, request, CALL_TIMEOUT).await?.status == 200 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn time_call(client: &Client, address: SocketAddr, request: Request) -> Result<Duration> {
    let started_at = Instant::now();
    let mut response = client.send(address, request, CALL_TIMEOUT).await?;
    response.read_body().await?;
    ensure!(response.status < 300, "status {}", response.status);
    Ok(started_at.elapsed())
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

/// Writes the same claims to the same store, first each under its own key, then grouped by shard.
async fn compare_layouts(delay_ms: u64, tasks: usize) -> Result<()> {
    let store = Arc::new(Store::new(Arc::new(SystemClock)));
    let server = serve(store.clone())?;
    store.set_faults(StoreFaults { delay_ms, ..StoreFaults::default() });
    let http: Arc<dyn KeyValueStore> = Arc::new(HttpStore::new(Client::spawn()?, server.address()));
    let single = run_claims(tasks, ClaimLayout::Single(http.clone())).await?;
    let single_writes = store.calls();
    let (sender, receiver) = mpsc::channel(1024);
    let writer = tokio::spawn(write_grouped_claims(http, receiver));
    let grouped = run_claims(tasks, ClaimLayout::Grouped(sender)).await?;
    writer.await??;
    let claims = (tasks * CLAIMS_PER_TASK) as f64;
    println!(
        "store {delay_ms} ms, {tasks} concurrent tasks: one key per claim {:.2} writes per claim, p50 {single:?}; grouped {:.2} writes per claim, p50 {grouped:?}",
        single_writes as f64 / claims,
        (store.calls() - single_writes) as f64 / claims
    );
    Ok(())
}

/// Layout of the claims in the store.
#[derive(Clone)]
enum ClaimLayout {
    /// Each claim under its own key.
    Single(Arc<dyn KeyValueStore>),
    /// All claims of a shard under one key; a single task writes them.
    Grouped(mpsc::Sender<oneshot::Sender<()>>),
}

/// Writes claims from concurrent tasks and returns their median latency.
async fn run_claims(tasks: usize, layout: ClaimLayout) -> Result<Duration> {
    let mut join_set = JoinSet::new();
    for task in 0..tasks {
        let layout = layout.clone();
        join_set.spawn(async move {
            let mut times = Vec::new();
            for number in 0..CLAIMS_PER_TASK {
                let started_at = Instant::now();
                write_claim(&layout, &format!("claims/{task}/{number}")).await?;
                times.push(started_at.elapsed());
            }
            Ok::<_, anyhow::Error>(times)
        });
    }
    drop(layout);
    let mut times = Vec::new();
    while let Some(done) = join_set.join_next().await {
        times.extend(done??);
    }
    Ok(median(times))
}

async fn write_claim(layout: &ClaimLayout, key: &str) -> Result<()> {
    match layout {
        ClaimLayout::Single(store) => {
            let written = store.swap(key, None, &"x".repeat(CLAIM_BYTES), None).await?;
            ensure!(matches!(written, SwapResult::Written(_)), "conflict");
        }
        ClaimLayout::Grouped(writer) => {
            let (done, written) = oneshot::channel();
            writer.send(done).await?;
            written.await?;
        }
    }
    Ok(())
}

/// Writes the claims of one shard as one growing value. It keeps every claim, since the outcome of
/// each is stored there as well.
async fn write_grouped_claims(
    store: Arc<dyn KeyValueStore>,
    mut claims: mpsc::Receiver<oneshot::Sender<()>>,
) -> Result<()> {
    let (mut revision, mut value): (Option<Revision>, String) = (None, String::new());
    while let Some(first) = claims.recv().await {
        let mut group = vec![first];
        tokio::time::sleep(GROUPING_DELAY).await;
        while let Ok(next) = claims.try_recv() {
            group.push(next);
        }
        value.push_str(&"x".repeat(CLAIM_BYTES * group.len()));
        let SwapResult::Written(written_at) = store.swap("shard", revision, &value, None).await?
        else {
            anyhow::bail!("another writer has changed the shard");
        };
        revision = Some(written_at);
        for done in group {
            done.send(()).ok().context("the task that made the claim has ended")?;
        }
    }
    Ok(())
}
