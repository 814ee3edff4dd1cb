//! The answer of one write to the store is lost, and the write is done seconds later; afterwards a
//! machine is added.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::client::{send, stream_request};
use crate::gateway::Gateway;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{COMMON_PART, Setting, Verdict, configuration};

/// The customer's allotment, in tokens.
const PER_S: u64 = 473_260;
const BURST: u64 = 473_260;
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
const QUOTA_OVERSHOOT: f64 = 0.1;
const QUOTA_SLACK: f64 = 140_000.0;

const TOKENS: &str = "6610,385";
const CLIENTS_PER_GATEWAY: usize = 16;
const DONE_AFTER: Duration = Duration::from_secs(3);
const LOAD: Duration = Duration::from_secs(24);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(record);
    store.put("op/config", &configuration(PER_S, BURST));
    let kind = Kind { slots: 40, events: 3, pause: Duration::from_millis(5), ..Kind::default() };
    let workers: Vec<Worker> = (0..3)
        .map(|number| Worker::start(&format!("i-{number}"), "v1", &kind, &store, record))
        .collect();
    let mut first = Gateway::new("front-1", &setting.folder, &store, record);
    let mut second = Gateway::new("front-2", &setting.folder, &store, record);
    if setting.trouble {
        store.lose_writes("dragonflyfront/entries/", 1, DONE_AFTER);
    }
    first.start()?;
    first.wait_until_ready(Duration::from_secs(10))?;
    sleep(Duration::from_secs(12));
    record.tell(format!("registered: {:?}", store.keys("dragonflyfront/entries/")));
    second.start()?;
    second.wait_until_ready(Duration::from_secs(10))?;
    sleep(Duration::from_secs(8));
    record.tell(format!("registered: {:?}", store.keys("dragonflyfront/entries/")));

    let stopping = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for client in 0..2 * CLIENTS_PER_GATEWAY {
        let front = [first.front, second.front][client % 2];
        let (stopping, refused, record) = (stopping.clone(), refused.clone(), record.clone());
        clients.push(thread::spawn(move || {
            for number in 0.. {
                if stopping.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{client:04x}{number:012x}");
                let request = stream_request(&id, &[COMMON_PART], TOKENS);
                record.add(format!("client: sends {id} to {front}"));
                let answer = send(front, &request, Duration::from_secs(13)).unwrap_or_default();
                record.add(format!("client: {id} answered {}", answer.status));
                if answer.status != 200 {
                    refused.fetch_add(1, Ordering::Relaxed);
                    sleep(answer.retry_after.unwrap_or(Duration::from_millis(100)));
                }
            }
        }));
    }
    sleep(LOAD);
    stopping.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let mut runs: Vec<(Duration, u64)> =
        workers.iter().flat_map(Worker::runs).map(|run| (run.at, run.tokens)).collect();
    runs.sort_unstable();
    let window_tokens = |from: usize| -> u64 {
        let start = runs[from].0;
        runs[from..].iter().take_while(|run| run.0 <= start + QUOTA_WINDOW).map(|run| run.1).sum()
    };
    let Some(most) = (0..runs.len()).map(window_tokens).max() else {
        return Err("no request was served".to_owned());
    };
    let allowed = (PER_S as f64 * QUOTA_WINDOW.as_secs_f64() + BURST as f64)
        * (1.0 + QUOTA_OVERSHOOT)
        + QUOTA_SLACK;
    record.tell(format!(
        "{} requests run, {} refused; most tokens in 8 s: {most}, allowed {allowed:.0}",
        runs.len(),
        refused.load(Ordering::Relaxed)
    ));
    let broken = most as f64 > allowed;
    Ok(broken.then(|| format!("QUOTA: {most} tokens in 8 s, {allowed:.0} are allowed")))
}
