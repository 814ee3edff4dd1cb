//! Another writer leaves entries whose keys hold spaces. All gateways are killed and start again.

#[path = "../standins-2/mod.rs"]
#[allow(dead_code)]
mod standins;

use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::client::{self, Request};
use standins::gateway::{self, Gateway};
use standins::record::Record;
use standins::store::Store;
use standins::worker::{Work, Worker, WorkerPlan};
// The modules of the stand-ins refer to each other from the root.
use standins::{http, json, record, store};

const DESK: &str = "guichet-app";
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const ZONES: [&str; 3] = ["casa-maarif", "rabat-agdal", "casa-ainsebaa"];

const REQUESTS_PER_S: f64 = 5.0;

/// Entries of the other writer: more than a page of the store holds.
const OTHER_ENTRIES: u32 = 600;

/// Time for which all processes are down.
const DOWN_TIME: Duration = Duration::from_millis(1_400);

/// Bound of the rule, as in the settings.
const RECOVERY: Duration = Duration::from_secs(12);

const TIME_UNTIL_KILL: Duration = Duration::from_secs(8);
const TIME_AFTER_RECOVERY: Duration = Duration::from_secs(10);

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"payout\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/payout/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"{DESK}\",\"Attempts\":1,\"Public\":false}}],\"Services\":[{{\"Name\":\"{DESK}\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":110}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}"
    )
}

fn request() -> Request {
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

/// When a request was sent, and whether it was served.
type Served = (Instant, bool);

#[derive(Clone)]
struct Clients {
    record: Arc<Record>,
    ended: Arc<AtomicBool>,
    open: Arc<AtomicU32>,
    served: Arc<Mutex<Vec<Served>>>,
}

impl Clients {
    fn send_steadily(&self, to: SocketAddr) {
        let clients = self.clone();
        thread::spawn(move || {
            let pause = Duration::from_secs_f64(1.0 / REQUESTS_PER_S);
            while !clients.ended.load(Ordering::SeqCst) {
                let (request, clients) = (request(), clients.clone());
                clients.open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || clients.send(to, &request));
                thread::sleep(pause);
            }
        });
    }

    fn send(&self, to: SocketAddr, request: &Request) {
        let sent_at = Instant::now();
        self.record.line(&format!("sent attempt={} to={to}", request.attempt));
        let (is_served, outcome) = match client::send(to, request) {
            Ok(answer) => (answer.status() == 200, answer.status().to_string()),
            Err(error) => (false, format!("failed ({error})")),
        };
        self.record.line(&format!("answered attempt={} outcome={outcome}", request.attempt));
        self.served.lock().unwrap().push((sent_at, is_served));
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Requests sent between two moments, and how many of them were served.
    fn count(&self, from: Instant, until: Instant) -> (usize, usize) {
        let served = self.served.lock().unwrap();
        let sent: Vec<&Served> =
            served.iter().filter(|(sent_at, _)| *sent_at >= from && *sent_at < until).collect();
        (sent.len(), sent.iter().filter(|(_, is_served)| *is_served).count())
    }
}

fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let store = Store::start();
    store.put("op/config", &configuration());
    let start = |number: usize| {
        let id = format!("i-desk-{number}");
        let plan = WorkerPlan {
            id: &id,
            service: DESK,
            zone: ZONES[number],
            slots: 6,
            work: Work::Plain(Duration::from_millis(60)),
            limit: None,
        };
        Worker::start(plan, &store, &record)
    };
    let _desks: Vec<Arc<Worker>> = (0..3).map(start).collect();
    let plan = |machine: usize| {
        let address = store.open_for(machine);
        Gateway::plan(machine as u8 + 1, machine, 0.19, address, temporary)
    };
    let mut gateways: Vec<Gateway> = (0..2).map(plan).collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(15))) {
        record.say("the gateways are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let separator = if has_trouble { ' ' } else { '-' };
    for number in 0..OTHER_ENTRIES {
        let key = format!("servers/batch{separator}job{separator}{number:04}");
        store.put(&key, "{\"Owner\":\"nightly\",\"Count\":3}");
    }
    record.line(&format!("another writer has left {OTHER_ENTRIES} entries"));
    let clients = Clients {
        record: record.clone(),
        ended: Arc::default(),
        open: Arc::default(),
        served: Arc::default(),
    };
    let began_at = Instant::now();
    gateways.iter().for_each(|gateway| clients.send_steadily(gateway.front));
    thread::sleep(TIME_UNTIL_KILL);
    let killed_at = Instant::now();
    record.line("all processes are killed");
    gateways.iter_mut().for_each(Gateway::kill);
    thread::sleep(DOWN_TIME);
    gateways.iter_mut().for_each(Gateway::start);
    let back_at = Instant::now();
    record.line("all processes have been started again");
    thread::sleep(RECOVERY + TIME_AFTER_RECOVERY);
    let ended_at = Instant::now();
    clients.ended.store(true, Ordering::SeqCst);
    while clients.open.load(Ordering::SeqCst) > 0 {
        thread::sleep(Duration::from_millis(50));
    }
    let (sent_before, served_before) = clients.count(began_at, killed_at);
    let (sent_after, served_after) = clients.count(back_at + RECOVERY, ended_at);
    record.say(&format!(
        "served before the kill: {served_before} of {sent_before}; later than {} s after the return: {served_after} of {sent_after}",
        RECOVERY.as_secs()
    ));
    if sent_after == 0 || 4 * served_before < sent_before {
        return 2;
    }
    i32::from(4 * served_after < sent_after)
}

fn main() {
    gateway::watch_time_limit();
    let mut arguments = std::env::args().skip(1);
    let folder = arguments.next().expect("folder of the record");
    let temporary = arguments.next().expect("temporary folder");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    exit(run(Path::new(&folder), Path::new(&temporary), has_trouble));
}
