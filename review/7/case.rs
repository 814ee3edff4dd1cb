//! A gateway process is killed soon after it has begun to serve, and starts again. A broker then
//! grants slots to requests of the killed process.

#[path = "../standins-2/mod.rs"]
#[allow(dead_code)]
mod standins;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use standins::client::{self, Request};
use standins::gateway::{self, Gateway};
use standins::record::Record;
use standins::store::Store;
use standins::worker::{Work, Worker, WorkerPlan};
// The modules of the stand-ins refer to each other from the root.
use standins::{http, json, record, store};

const ENGINES: &str = "arbitre-llm";
const DESK: &str = "guichet-app";

const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Processor share of the gateways. The first one is the broker of all services.
const CPU_SHARES: [f64; 2] = [0.5, 0.19];

/// Clients' requests a second to each gateway.
const STREAMS_PER_S: f64 = 100.0;
const BOOKINGS_PER_S: f64 = 100.0;

/// Pause before a client opens a channel again that was refused.
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Channels that a client tries to open at most for a request.
const MAX_CHANNELS: u32 = 40;

/// Time from the start of the traffic until the kill.
const TIME_UNTIL_KILL: Duration = Duration::from_millis(400);

/// Time from the kill until the platform starts the process again, in the first round; it takes a
/// little longer in each of the next ones, up to `DELAYS`.
const RESTART_DELAY: Duration = Duration::from_millis(430);
const FURTHER_DELAY_PER_ROUND: Duration = Duration::from_millis(14);

/// Time for which the traffic goes on after that.
const TIME_AFTER_RESTART: Duration = Duration::from_millis(1_000);

/// Time without traffic before each round.
const PAUSE: Duration = Duration::from_millis(2_200);

const ROUNDS: u32 = 20;
const DELAYS: u32 = 10;

fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u32, target_ms: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{target_ms},\"Priority\":1,\"Service\":\"{service}\",\"Attempts\":1,\"Public\":false,\"StickySessions\":true,\"Resumable\":false,\"GapTargetMs\":400}}"
        )
    };
    format!(
        "{{\"Version\":7,\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"{ENGINES}\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":370,\"Engine\":{{\"Slots\":8,\"Stride\":6}}}},{{\"Name\":\"{DESK}\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":110}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}",
        route("ruling", "streaming", ENGINES, 15_000, 1_000),
        route("payout", "non_idempotent", DESK, 3_000, 300),
    )
}

fn stream_request() -> Request {
    Request {
        attempt: client::new_attempt(),
        method: "POST",
        path: "/ruling/2f".to_owned(),
        key: KEY.to_owned(),
        deadline: Duration::from_secs(15),
        more: "Model: m\r\nToken-Counts: 6670,380\r\n".to_owned(),
        body: vec![b'p'; 2_000],
    }
}

fn booking() -> Request {
    Request {
        attempt: client::new_attempt(),
        method: "POST",
        path: "/payout/2f".to_owned(),
        key: KEY.to_owned(),
        deadline: Duration::from_secs(3),
        more: String::new(),
        body: vec![b'b'; 600],
    }
}

fn send_once(to: std::net::SocketAddr, request: &Request) -> String {
    match client::send(to, request) {
        Ok(answer) => answer.status().to_string(),
        Err(error) => format!("failed ({error})"),
    }
}

/// Sends requests to a gateway at a steady rate until `ended`.
fn send_steadily(
    to: std::net::SocketAddr,
    per_s: f64,
    request: fn() -> Request,
    record: Arc<Record>,
    is_on: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    open: Arc<AtomicU32>,
) {
    thread::spawn(move || {
        let pause = Duration::from_secs_f64(1.0 / per_s);
        let mut next_at = Instant::now();
        while !ended.load(Ordering::SeqCst) {
            if !is_on.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(1));
                next_at = Instant::now();
                continue;
            }
            let (request, record, open) = (request(), record.clone(), open.clone());
            open.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                record.line(&format!(
                    "sent attempt={} path={} to={to}",
                    request.attempt, request.path
                ));
                let mut outcome = send_once(to, &request);
                for _ in 1..MAX_CHANNELS {
                    if !outcome.contains("refused") {
                        break;
                    }
                    thread::sleep(CONNECT_RETRY_PAUSE);
                    outcome = send_once(to, &request);
                }
                record.line(&format!("answered attempt={} outcome={outcome}", request.attempt));
                open.fetch_sub(1, Ordering::SeqCst);
            });
            next_at += pause;
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
        }
    });
}

fn is_of_service(path: &str, service: &str) -> bool {
    if service == ENGINES { path.starts_with("/ruling/") } else { path.starts_with("/payout/") }
}

fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let store = Store::start();
    store.put("op/config", &configuration());
    let mut workers = Vec::new();
    for number in 0..3 {
        let zone = ["casa-maarif", "rabat-agdal", "casa-ainsebaa"][number % 3];
        let (engine, desk) = (format!("i-engine-{number}"), format!("i-desk-{number}"));
        let plan = WorkerPlan {
            id: &engine,
            service: ENGINES,
            zone,
            slots: 8,
            work: Work::Stream(45, Duration::from_millis(20)),
            limit: None,
        };
        workers.push(Worker::start(plan, &store, &record));
        let plan = WorkerPlan {
            id: &desk,
            service: DESK,
            zone,
            slots: 6,
            work: Work::Plain(Duration::from_millis(60)),
            limit: None,
        };
        workers.push(Worker::start(plan, &store, &record));
    }
    let plan = |number: u8| {
        let machine = usize::from(number);
        Gateway::plan(number + 1, machine, CPU_SHARES[machine], store.open_for(machine), temporary)
    };
    let mut gateways: Vec<Gateway> = (0..2).map(plan).collect();
    for gateway in &mut gateways {
        gateway.start();
    }
    if !gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(15))) {
        record.say("the gateways are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let is_on = Arc::new(AtomicBool::new(false));
    let ended = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicU32::new(0));
    for gateway in &gateways {
        let send = |per_s, request| {
            send_steadily(
                gateway.front,
                per_s,
                request,
                record.clone(),
                is_on.clone(),
                ended.clone(),
                open.clone(),
            );
        };
        send(STREAMS_PER_S, stream_request as fn() -> Request);
        send(BOOKINGS_PER_S, booking as fn() -> Request);
    }
    for round in 1..=ROUNDS {
        if has_trouble && round > 1 {
            // The process has served nothing yet when the traffic begins, as in the first round.
            record.line(&format!("killed {}, and started", gateways[1].name));
            gateways[1].kill();
            gateways[1].start();
        }
        thread::sleep(PAUSE);
        is_on.store(true, Ordering::SeqCst);
        record.line(&format!("round {round}: the traffic begins"));
        thread::sleep(TIME_UNTIL_KILL);
        if has_trouble {
            let gateway = &mut gateways[1];
            record.line(&format!("killed {}", gateway.name));
            gateway.kill();
            thread::sleep(RESTART_DELAY + FURTHER_DELAY_PER_ROUND * (round % DELAYS));
            gateway.start();
            record.line(&format!("started {}", gateway.name));
        }
        thread::sleep(TIME_AFTER_RESTART);
        is_on.store(false, Ordering::SeqCst);
        record.line("the traffic has ended");
    }
    ended.store(true, Ordering::SeqCst);
    let until = Instant::now() + Duration::from_secs(6);
    while open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
    }
    let (mut runs, mut foreign) = (0, 0);
    for worker in &workers {
        for run in worker.runs.lock().unwrap().iter() {
            runs += 1;
            if !is_of_service(&run.path, &worker.service) {
                foreign += 1;
                record.say(&format!(
                    "ROUTE: attempt {} with path {} was run by {} of {}",
                    run.attempt, run.path, worker.id, worker.service
                ));
            }
        }
    }
    record.say(&format!("{runs} runs, {foreign} by a service to which no route leads"));
    i32::from(foreign > 0)
}

fn main() {
    gateway::watch_time_limit();
    let mut arguments = std::env::args().skip(1);
    let folder = arguments.next().expect("folder of the record");
    let temporary = arguments.next().expect("temporary folder");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    exit(run(Path::new(&folder), Path::new(&temporary), has_trouble));
}
