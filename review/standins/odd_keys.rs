//! Entries of another writer whose ids hold spaces fill a page of the store; afterwards all gateways
//! are killed and start again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::client::{send, stream_request};
use crate::gateway::Gateway;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{COMMON_PART, Setting, Verdict, configuration};

/// Entries of the other writer, more than a page of the store holds.
const ENTRIES: usize = 600;
const CLIENTS: usize = 8;
const DOWN: Duration = Duration::from_millis(500);
const RECOVERY: Duration = Duration::from_secs(12);
const PHASE: Duration = Duration::from_secs(10);
/// Share that has to be served after the recovery.
const MIN_SERVED_SHARE: f64 = 0.25;

/// Sends requests for some time, and returns how many were sent and served.
fn load(gateways: &[Gateway], name: &str, setting: &Setting) -> (u64, u64) {
    let stopping = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let client = |client: usize| {
        let front = gateways[client % gateways.len()].front;
        let (stopping, record) = (stopping.clone(), setting.record.clone());
        let (sent, served) = (sent.clone(), served.clone());
        let name = name.to_owned();
        thread::spawn(move || {
            for number in 0.. {
                if stopping.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{name}{client:03x}{number:012x}");
                let request = stream_request(&id, &[COMMON_PART], "628,140");
                record.add(format!("client: sends {id}"));
                let answer = send(front, &request, Duration::from_secs(13)).unwrap_or_default();
                record.add(format!("client: {id} answered {}", answer.status));
                sent.fetch_add(1, Ordering::Relaxed);
                if answer.status == 200 && answer.complete {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                sleep(answer.retry_after.unwrap_or(Duration::from_millis(100)));
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    sleep(PHASE);
    stopping.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed))
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(record);
    store.put("op/config", &configuration(100_000_000, 100_000_000));
    let kind = Kind { events: 5, pause: Duration::from_millis(20), ..Kind::default() };
    let _workers: Vec<Worker> = (0..3)
        .map(|number| Worker::start(&format!("i-{number}"), "v1", &kind, &store, record))
        .collect();
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
    // Without the disruption there are as many entries, whose ids hold no spaces.
    let space = if setting.trouble { " " } else { "-" };
    for number in 0..ENTRIES {
        let key = format!("servers/batch{space}job{space}{number:04}");
        store.put(&key, r#"{"Job":"nightly export"}"#);
    }
    record.tell(format!("{ENTRIES} entries of another writer, such as batch{space}job{space}0000"));
    sleep(Duration::from_secs(3));
    let (sent, served) = load(&gateways, "a", setting);
    record.tell(format!("before the kill: {served} of {sent} requests served"));
    if (served as f64) < sent as f64 * MIN_SERVED_SHARE {
        return Err("too little was served before the kill".to_owned());
    }
    for gateway in &mut gateways {
        gateway.kill();
    }
    sleep(DOWN);
    for gateway in &mut gateways {
        gateway.start()?;
    }
    sleep(RECOVERY);
    for gateway in &gateways {
        record.tell(format!("ready {:?} after the kill: {}", RECOVERY, gateway.is_ready()));
    }
    let (sent, served) = load(&gateways, "b", setting);
    record.tell(format!(
        "later than {RECOVERY:?} after the kill: {served} of {sent} requests served"
    ));
    let broken = (served as f64) < sent as f64 * MIN_SERVED_SHARE;
    Ok(broken.then(|| format!("RECOVER: {served} of {sent} requests served after the recovery")))
}
