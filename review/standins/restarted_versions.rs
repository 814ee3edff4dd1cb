//! Workers that start again under their ids at a new software version, which ends once more right
//! after its start.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::client::{Answer, send, stream_request};
use crate::gateway::Gateway;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{COMMON_PART, Setting, Verdict, configuration};

const WORKERS: usize = 9;
/// Workers that are updated; the others stay at the old version.
const UPDATED: usize = 7;
const CLIENTS: usize = 88;
const KIND_SLOTS: u32 = 10;
const EVENTS: u64 = 50;
const PAUSE: Duration = Duration::from_millis(40);
const DOWN: Duration = Duration::from_millis(500);
const RUNS_BEFORE_CRASH: Duration = Duration::from_millis(500);
const BETWEEN_UPDATES: Duration = Duration::from_secs(4);
/// Pause between the starts of two clients, so that their streams do not end together.
const BETWEEN_CLIENTS: Duration = Duration::from_millis(23);
const MAX_MIXED_STREAMS: usize = 2;

/// Versions that a stream's events name, in their order.
fn versions(answer: &Answer) -> Vec<String> {
    let text = String::from_utf8_lossy(&answer.body);
    let mut versions: Vec<String> = Vec::new();
    for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let version = line.split(' ').next().unwrap_or_default();
        if versions.last().is_none_or(|last| last != version) {
            versions.push(version.to_owned());
        }
    }
    versions
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(record);
    store.put("op/config", &configuration(100_000_000, 100_000_000));
    let kind = Kind { slots: KIND_SLOTS, events: EVENTS, pause: PAUSE, ..Kind::default() };
    let start = |number: usize| {
        // Without the disruption both versions serve side by side from the start.
        let version = if !setting.trouble && number < UPDATED { "v2" } else { "v1" };
        Worker::start(&format!("i-{number}"), version, &kind, &store, record)
    };
    let workers: Vec<Worker> = (0..WORKERS).map(start).collect();
    let mut gateways: Vec<Gateway> = (1..=2)
        .map(|number| Gateway::new(&format!("front-{number}"), &setting.folder, &store, record))
        .collect();
    for gateway in &mut gateways {
        gateway.start()?;
    }
    for gateway in &gateways {
        gateway.wait_until_ready(Duration::from_secs(10))?;
    }
    sleep(Duration::from_secs(3));

    let stopping = Arc::new(AtomicBool::new(false));
    let (served, broken_off) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mixed: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = gateways[client % gateways.len()].front;
            let (stopping, mixed, record) = (stopping.clone(), mixed.clone(), record.clone());
            let (served, broken_off) = (served.clone(), broken_off.clone());
            thread::spawn(move || {
                sleep(BETWEEN_CLIENTS * client as u32);
                for number in 0.. {
                    if stopping.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{client:04x}{number:012x}");
                    let request = stream_request(&id, &[COMMON_PART], "628,294");
                    record.add(format!("client: sends {id}"));
                    let Ok(answer) = send(front, &request, Duration::from_secs(13)) else {
                        sleep(Duration::from_millis(200));
                        continue;
                    };
                    let versions = versions(&answer);
                    record.add(format!(
                        "client: {id} answered {} complete={} versions={versions:?}",
                        answer.status, answer.complete
                    ));
                    if answer.status != 200 {
                        sleep(answer.retry_after.unwrap_or(Duration::from_millis(100)));
                        continue;
                    }
                    let count = if answer.complete { &served } else { &broken_off };
                    count.fetch_add(1, Ordering::Relaxed);
                    if versions.iter().collect::<BTreeSet<_>>().len() > 1 {
                        mixed.lock().unwrap().push(format!("{id} {versions:?}"));
                    }
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(5));
    for worker in workers.iter().take(UPDATED) {
        if setting.trouble {
            worker.crash();
            sleep(DOWN);
            worker.restart("v2");
            sleep(RUNS_BEFORE_CRASH);
            worker.crash();
            sleep(DOWN);
            worker.restart("v2");
        }
        sleep(BETWEEN_UPDATES);
    }
    stopping.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mixed = mixed.lock().unwrap();
    let (served, broken_off) = (served.load(Ordering::Relaxed), broken_off.load(Ordering::Relaxed));
    record.tell(format!("{served} streams complete, {broken_off} broken off"));
    for stream in mixed.iter() {
        record.tell(format!("stream with events of two versions: {stream}"));
    }
    if served == 0 {
        return Err("no stream was served".to_owned());
    }
    let broken = mixed.len() > MAX_MIXED_STREAMS;
    Ok(broken.then(|| {
        format!(
            "ORDER: {} streams hold events of two software versions in one answer, {MAX_MIXED_STREAMS} are allowed",
            mixed.len()
        )
    }))
}
