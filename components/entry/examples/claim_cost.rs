//! What a claim costs: store calls and latency of a booking against a look-up in the same run, and
//! claims one a key against claims grouped by shard.
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
use web::{Client, Handler, Request, Server, ServerHandle};

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const KEY: &str = "seller-demo-key";
const KEY_SHA256: &str = "7592e31a516f53e163faa414ecf96072df243b42cf12e1bbb6b57d659ddbdf75";

/// Time that the store takes for each call.
const STORE_DELAYS_MS: [u64; 2] = [0, 3];

/// Pairs of a look-up and a booking.
const PAIRS: usize = 300;

/// Claims made at once.
const AT_ONCE: [usize; 3] = [1, 16, 64];
const CLAIMS_EACH: usize = 20;
const CLAIM_BYTES: usize = 420;

/// How long the owner of a shard gathers claims for one write.
const GATHER: Duration = Duration::from_millis(2);

fn serve(handler: Arc<dyn Handler>) -> Result<ServerHandle> {
    let address = (LOOPBACK, 0).into();
    Server { address, workers: 1, body_limit_bytes: 1 << 20 }.bind(handler)
}

fn main() -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    runtime.block_on(async {
        for delay_ms in STORE_DELAYS_MS {
            bookings(delay_ms).await?;
            for at_once in AT_ONCE {
                compare_layouts(delay_ms, at_once).await?;
            }
        }
        Ok(())
    })
}

async fn bookings(delay_ms: u64) -> Result<()> {
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
        workers: 1,
        peers: entry::PeerSettings::default(),
        log_level: "off".to_owned(),
    };
    let entry = Entry { settings, clock }.spawn().await?;
    let client = Client::spawn()?;
    configure(&client, entry.operators_address(), agent.address()).await?;
    store.set_faults(StoreFaults { delay_ms, ..StoreFaults::default() });
    let address = entry.callers_address();
    let (mut look_ups, mut booked) = (Vec::new(), Vec::new());
    let idle_calls = count_idle_calls(&store).await;
    let (began_at, calls_before) = (Instant::now(), store.calls());
    for number in 0..PAIRS {
        let look_up = authorized("GET", "/services/desk/pitches/A-17");
        look_ups.push(time_call(&client, address, look_up).await?);
        let booking = authorized("POST", "/services/desk/bookings")
            .header("idempotency-key", &format!("k{number}"))
            .body("{}");
        booked.push(time_call(&client, address, booking).await?);
    }
    let background = idle_calls * began_at.elapsed().as_secs_f64();
    let calls = (store.calls() - calls_before) as f64 - background;
    let (look_up, booking) = (median(look_ups), median(booked));
    println!(
        "store {delay_ms} ms: look-up p50 {look_up:?}, booking p50 {booking:?}, ratio {:.2}, store calls a booking {:.2}",
        booking.as_secs_f64() / look_up.as_secs_f64(),
        calls / PAIRS as f64
    );
    entry.stop().await;
    agent.stop().await;
    Ok(())
}

fn authorized(method: &str, path: &str) -> Request {
    Request::new(method, path).header("authorization", &format!("Bearer {KEY}"))
}

async fn count_idle_calls(store: &Store) -> f64 {
    let (began_at, before) = (Instant::now(), store.calls());
    tokio::time::sleep(Duration::from_secs(2)).await;
    (store.calls() - before) as f64 / began_at.elapsed().as_secs_f64()
}

async fn configure(client: &Client, operators: SocketAddr, agent: SocketAddr) -> Result<()> {
    let document = json!({
        "regions": { "riga": { "zones": ["riga-a"] } },
        "services": { "desk": { "calls": [
            { "method": "POST", "path_prefix": "/bookings", "idempotent": false, "tier": 1 },
            { "method": "GET", "path_prefix": "/", "idempotent": true, "tier": 1 } ] } },
        "upstreams": { "desk": { "host": "desk", "zone": "riga-a", "agent": agent,
            "kind": { "service": { "service": "desk", "slots": 8 } } } },
        "customers": { "seller": { "key_sha256": [KEY_SHA256], "region": "riga",
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
    let began_at = Instant::now();
    let mut response = client.send(address, request, CALL_TIMEOUT).await?;
    response.read().await?;
    ensure!(response.status < 300, "status {}", response.status);
    Ok(began_at.elapsed())
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

/// Makes the same claims one a key and grouped, against the same store.
async fn compare_layouts(delay_ms: u64, at_once: usize) -> Result<()> {
    let store = Arc::new(Store::new(Arc::new(SystemClock)));
    let server = serve(store.clone())?;
    store.set_faults(StoreFaults { delay_ms, ..StoreFaults::default() });
    let http: Arc<dyn KeyValueStore> = Arc::new(HttpStore::new(Client::spawn()?, server.address()));
    let single = run_claims(at_once, Layout::Single(http.clone())).await?;
    let single_writes = store.calls();
    let (sender, receiver) = mpsc::channel(1024);
    let owner = tokio::spawn(own_shard(http, receiver));
    let grouped = run_claims(at_once, Layout::Grouped(sender)).await?;
    owner.await??;
    let claims = (at_once * CLAIMS_EACH) as f64;
    println!(
        "store {delay_ms} ms, {at_once} at once: one a key {:.2} writes, p50 {single:?}; grouped {:.2} writes, p50 {grouped:?}",
        single_writes as f64 / claims,
        (store.calls() - single_writes) as f64 / claims
    );
    Ok(())
}

#[derive(Clone)]
enum Layout {
    Single(Arc<dyn KeyValueStore>),
    Grouped(mpsc::Sender<oneshot::Sender<()>>),
}

async fn run_claims(at_once: usize, layout: Layout) -> Result<Duration> {
    let mut tasks = JoinSet::new();
    for task in 0..at_once {
        let layout = layout.clone();
        tasks.spawn(async move {
            let mut times = Vec::new();
            for number in 0..CLAIMS_EACH {
                let began_at = Instant::now();
                make_claim(&layout, &format!("claims/{task}/{number}")).await?;
                times.push(began_at.elapsed());
            }
            Ok::<_, anyhow::Error>(times)
        });
    }
    drop(layout);
    let mut times = Vec::new();
    while let Some(done) = tasks.join_next().await {
        times.extend(done??);
    }
    Ok(median(times))
}

async fn make_claim(layout: &Layout, key: &str) -> Result<()> {
    match layout {
        Layout::Single(store) => {
            let written = store.swap(key, None, &"x".repeat(CLAIM_BYTES), None).await?;
            ensure!(matches!(written, SwapResult::Written(_)), "conflict");
        }
        Layout::Grouped(owner) => {
            let (done, written) = oneshot::channel();
            owner.send(done).await?;
            written.await?;
        }
    }
    Ok(())
}

/// Writes all claims gathered in one value: the outcome of each is kept there as well.
async fn own_shard(
    store: Arc<dyn KeyValueStore>,
    mut claims: mpsc::Receiver<oneshot::Sender<()>>,
) -> Result<()> {
    let (mut at, mut value): (Option<Revision>, String) = (None, String::new());
    while let Some(first) = claims.recv().await {
        let mut waiting = vec![first];
        tokio::time::sleep(GATHER).await;
        while let Ok(next) = claims.try_recv() {
            waiting.push(next);
        }
        value.push_str(&"x".repeat(CLAIM_BYTES * waiting.len()));
        let SwapResult::Written(revision) = store.swap("shard", at, &value, None).await? else {
            anyhow::bail!("the shard was taken");
        };
        at = Some(revision);
        for done in waiting {
            done.send(()).ok().context("claim given up")?;
        }
    }
    Ok(())
}
