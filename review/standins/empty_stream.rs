//! Workers whose streams have neither a length nor chunks, and of which one crashes now and then.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::client::{send, stream_request};
use crate::gateway::Gateway;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{COMMON_PART, Setting, Verdict, configuration};

const WORKERS: usize = 8;
const CLIENTS: usize = 32;
const EVENTS: u64 = 10;
const PREFILL: Duration = Duration::from_millis(400);
const CRASHES: usize = 6;
const BETWEEN_CRASHES: Duration = Duration::from_millis(3_500);
/// Pause between the starts of two clients, so that their streams do not end together.
const BETWEEN_CLIENTS: Duration = Duration::from_millis(29);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(record);
    store.put("op/config", &configuration(100_000_000, 100_000_000));
    let kind = Kind {
        events: EVENTS,
        pause: Duration::from_millis(40),
        prefill: PREFILL,
        unframed: true,
        ..Kind::default()
    };
    let workers: Vec<Worker> = (0..WORKERS)
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
    sleep(Duration::from_secs(4));

    let stopping = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let broken_off = Arc::new(AtomicU64::new(0));
    let short: Arc<Mutex<Vec<String>>> = Arc::default();
    let client = |client: usize| {
        let front = gateways[client % gateways.len()].front;
        let (stopping, record, short) = (stopping.clone(), record.clone(), short.clone());
        let (served, broken_off) = (served.clone(), broken_off.clone());
        thread::spawn(move || {
            sleep(BETWEEN_CLIENTS * client as u32);
            for number in 0.. {
                if stopping.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{client:04x}{number:012x}");
                let request = stream_request(&id, &[COMMON_PART], "628,70");
                record.add(format!("client: sends {id}"));
                let answer = send(front, &request, Duration::from_secs(13)).unwrap_or_default();
                let text = String::from_utf8_lossy(&answer.body);
                let events = text.lines().filter(|line| line.starts_with("data: ")).count() as u64;
                let (status, complete) = (answer.status, answer.complete);
                record.add(format!(
                    "client: {id} answered {status} events={events} complete={complete}"
                ));
                match (status, complete) {
                    (200, true) if events < EVENTS => {
                        short.lock().unwrap().push(format!("{id} with {events} of {EVENTS} events"))
                    }
                    (200, true) => drop(served.fetch_add(1, Ordering::Relaxed)),
                    _ => drop(broken_off.fetch_add(1, Ordering::Relaxed)),
                }
                sleep(answer.retry_after.unwrap_or(Duration::from_millis(50)));
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    sleep(Duration::from_secs(4));
    for number in 0..CRASHES {
        if setting.trouble {
            workers[number % WORKERS].crash_and_restart("v1");
        }
        sleep(BETWEEN_CRASHES);
    }
    stopping.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let short = short.lock().unwrap();
    let (served, broken_off) = (served.load(Ordering::Relaxed), broken_off.load(Ordering::Relaxed));
    record.tell(format!("{served} streams complete, {broken_off} broken off or refused"));
    for stream in short.iter() {
        record.tell(format!("ended as complete: {stream}"));
    }
    if served == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok((!short.is_empty()).then(|| {
        format!(
            "MIXED: {} streams ended as complete successes before their last event",
            short.len()
        )
    }))
}
