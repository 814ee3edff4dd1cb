//! The store loses its answer to the registration of one gateway and carries the write out late.
//! Another gateway is restarted after that.

#[path = "../standins-2/mod.rs"]
#[allow(dead_code)]
mod standins;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use standins::client::{self, Request};
use standins::gateway::Gateway;
use standins::record::Record;
use standins::store::{Store, WriteFate};
use standins::worker::{Run, Work, Worker, WorkerPlan};
// The modules of the stand-ins refer to each other from the root.
use standins::{http, json, record, store};

const ENGINES: &str = "arbitre-llm";
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const TENANT: &str = "hule930";

/// Allotment of the tenant, in tokens a second, and its burst.
const TOKENS_PER_S: f64 = 143_068.0;
const BURST: f64 = 143_068.0;

/// Bounds of the rule, as in the settings.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
const QUOTA_OVERSHOOT: f64 = 0.1;
const QUOTA_SLACK: f64 = 140_000.0;

/// Tokens of a request, and requests a second to each gateway: four times the allotment in all.
const TOKENS_PER_REQUEST: u64 = 7_054;
const REQUESTS_PER_S: f64 = 40.0;

/// Time by which the store carries out the write whose answer is lost.
const LATE_BY: Duration = Duration::from_millis(3_000);

/// Grace period of the deployment.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Time from the start of the gateways until one is restarted, and from there until the traffic
/// begins: no disruption is left by then.
const TIME_UNTIL_RESTART: Duration = Duration::from_secs(14);
const TIME_AFTER_RESTART: Duration = Duration::from_secs(12);

const TRAFFIC_TIME: Duration = Duration::from_secs(30);

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"tag\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/tag/\",\"Kind\":\"streaming\",\"TimeoutMs\":15000,\"TargetLatencyMs\":1000,\"Priority\":2,\"Service\":\"{ENGINES}\",\"Attempts\":1,\"Public\":false,\"StickySessions\":true,\"Resumable\":false,\"GapTargetMs\":400}}],\"Services\":[{{\"Name\":\"{ENGINES}\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":370,\"Engine\":{{\"Slots\":8,\"Stride\":6}}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"{TENANT}\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,\"RequestsPerS\":{TOKENS_PER_S},\"Burst\":{BURST}}}]}}"
    )
}

fn request() -> Request {
    Request {
        attempt: client::new_attempt(),
        method: "POST",
        path: "/tag/2f".to_owned(),
        key: KEY.to_owned(),
        deadline: Duration::from_secs(15),
        more: format!("Model: m\r\nToken-Counts: {},384\r\n", TOKENS_PER_REQUEST - 384),
        body: vec![b'p'; 600],
    }
}

fn send_steadily(
    to: SocketAddr,
    record: Arc<Record>,
    ended: Arc<AtomicBool>,
    open: Arc<AtomicU32>,
) {
    thread::spawn(move || {
        let pause = Duration::from_secs_f64(1.0 / REQUESTS_PER_S);
        let mut next_at = Instant::now();
        while !ended.load(Ordering::SeqCst) {
            let (request, record, open) = (request(), record.clone(), open.clone());
            open.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                record.line(&format!("sent attempt={} to={to}", request.attempt));
                let outcome = match client::send(to, &request) {
                    Ok(answer) => answer.status().to_string(),
                    Err(error) => format!("failed ({error})"),
                };
                record.line(&format!("answered attempt={} outcome={outcome}", request.attempt));
                open.fetch_sub(1, Ordering::SeqCst);
            });
            next_at += pause;
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
        }
    });
}

/// Most tokens that ran in a window.
fn most_in_window(runs: &[Run]) -> u64 {
    let (mut window, mut sum, mut most) = (VecDeque::new(), 0, 0);
    for run in runs {
        window.push_back(run);
        sum += run.tokens;
        while window.front().is_some_and(|first| run.at - first.at > QUOTA_WINDOW) {
            sum -= window.pop_front().map_or(0, |first| first.tokens);
        }
        most = most.max(sum);
    }
    most
}

fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let store = Store::start();
    store.put("op/config", &configuration());
    let start = |number: usize| {
        let id = format!("i-engine-{number}");
        let plan = WorkerPlan {
            id: &id,
            service: ENGINES,
            zone: ["casa-maarif", "rabat-agdal", "casa-ainsebaa"][number % 3],
            slots: 8,
            work: Work::Stream(4, Duration::from_millis(10)),
            limit: None,
        };
        Worker::start(plan, &store, &record)
    };
    let workers: Vec<Arc<Worker>> = (0..3).map(start).collect();
    if has_trouble {
        let (is_first, log) = (AtomicBool::new(true), record.clone());
        store.set_write_rule(Box::new(move |machine, keys| {
            let registers = keys.iter().any(|key| key.contains("/entries/"));
            if machine == 0 && registers && is_first.swap(false, Ordering::SeqCst) {
                log.line(&format!("the store loses its answer to the write of {keys:?}"));
                return WriteFate::LostAndLate(LATE_BY);
            }
            WriteFate::Answered
        }));
    }
    let plan = |machine: usize| {
        let address = store.open_for(machine);
        Gateway::plan(machine as u8 + 1, machine, 0.19, address, temporary)
    };
    let mut gateways: Vec<Gateway> = (0..2).map(plan).collect();
    for gateway in &mut gateways {
        gateway.start();
    }
    let are_ready = |gateways: &[Gateway]| {
        gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(15)))
    };
    if !are_ready(&gateways) {
        record.say("the gateways are not ready");
        return 2;
    }
    thread::sleep(TIME_UNTIL_RESTART);
    record
        .line(&format!("entries before the restart: {:?}", store.keys("dragonflyfront/entries/")));
    record.line("SIGTERM to the second gateway");
    gateways[1].stop(GRACE_PERIOD);
    gateways[1].start();
    record.line("it has been started again");
    thread::sleep(TIME_AFTER_RESTART);
    if !are_ready(&gateways) {
        record.say("the gateways are not ready after the restart");
        return 2;
    }
    record
        .line(&format!("entries before the traffic: {:?}", store.keys("dragonflyfront/entries/")));
    let (ended, open) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    for gateway in &gateways {
        send_steadily(gateway.front, record.clone(), ended.clone(), open.clone());
    }
    thread::sleep(TRAFFIC_TIME);
    ended.store(true, Ordering::SeqCst);
    while open.load(Ordering::SeqCst) > 0 {
        thread::sleep(Duration::from_millis(20));
    }
    let mut runs: Vec<Run> = Vec::new();
    for worker in &workers {
        runs.extend(worker.runs.lock().unwrap().iter().filter(|run| run.tenant == TENANT).cloned());
    }
    runs.sort_by_key(|run| run.at);
    let most = most_in_window(&runs);
    let window_s = QUOTA_WINDOW.as_secs_f64();
    let bound = (TOKENS_PER_S * window_s + BURST) * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK;
    record.say(&format!(
        "{} requests ran; at most {most} tokens of the tenant in {window_s} s, allowed {bound:.0}",
        runs.len()
    ));
    if runs.is_empty() {
        return 2;
    }
    i32::from(most as f64 > bound)
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let folder = arguments.next().expect("folder of the record");
    let temporary = arguments.next().expect("temporary folder");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    exit(run(Path::new(&folder), Path::new(&temporary), has_trouble));
}
