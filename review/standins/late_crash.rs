//! A prompt part under which each worker crashes as it begins to write an answer, after the first
//! event.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::client::{send, stream_request};
use crate::gateway::Gateway;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{COMMON_PART, Setting, Verdict, configuration};

const CRASHING_PART: &str = "deadbeef";
const WORKERS: usize = 8;
const CLIENTS: usize = 12;
/// Requests with the part, and the pause between two.
const CRASHING_REQUESTS: usize = 24;
const BETWEEN_REQUESTS: Duration = Duration::from_millis(1_500);

const CONTACT: Duration = Duration::from_secs(3);
/// Crashes from which the part counts as found, and requests that may come later.
const CRASHES_TO_FIND: usize = 5;
const MAX_LATER_REQUESTS: usize = 3;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(record);
    store.put("op/config", &configuration(100_000_000, 100_000_000));
    let kind = Kind {
        crashing_part: setting.trouble.then(|| CRASHING_PART.to_owned()),
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
    let (served, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = gateways[client % gateways.len()].front;
            let (stopping, record) = (stopping.clone(), record.clone());
            let (served, lost) = (served.clone(), lost.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if stopping.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("a{client:03x}{number:012x}");
                    let request = stream_request(&id, &[COMMON_PART], "628,140");
                    record.add(format!("client: sends {id}"));
                    let answer = send(front, &request, Duration::from_secs(13)).unwrap_or_default();
                    let (status, complete) = (answer.status, answer.complete);
                    record.add(format!("client: {id} answered {status} complete={complete}"));
                    let is_served = status == 200 && complete;
                    let count = if is_served { &served } else { &lost };
                    count.fetch_add(1, Ordering::Relaxed);
                    sleep(answer.retry_after.unwrap_or(Duration::from_millis(100)));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(3));
    for number in 0..CRASHING_REQUESTS {
        let id = format!("c{number:015x}");
        let request = stream_request(&id, &[COMMON_PART, CRASHING_PART], "628,140");
        let front = gateways[number % gateways.len()].front;
        record.add(format!("client: sends {id} with the part"));
        let answer = send(front, &request, Duration::from_secs(13)).unwrap_or_default();
        let (status, complete) = (answer.status, answer.complete);
        record.add(format!("client: {id} with the part answered {status} complete={complete}"));
        sleep(BETWEEN_REQUESTS);
    }
    stopping.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let (served, lost) = (served.load(Ordering::Relaxed), lost.load(Ordering::Relaxed));
    record.tell(format!("{served} sound requests served, {lost} lost or refused"));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    let mut crashes: Vec<Duration> = workers
        .iter()
        .flat_map(Worker::runs)
        .filter(|run| run.crashing)
        .map(|run| run.at)
        .collect();
    crashes.sort_unstable();
    record
        .tell(format!("{} requests with the part reached workers and crashed them", crashes.len()));
    let Some(fifth) = crashes.get(CRASHES_TO_FIND - 1) else { return Ok(None) };
    // Requests that were sent within the time allowed may arrive a little later.
    let found_at = *fifth + CONTACT + Duration::from_millis(500);
    let later = crashes.iter().filter(|at| **at > found_at).count();
    let broken = later > MAX_LATER_REQUESTS;
    Ok(broken.then(|| {
        format!(
            "BUDGET: {later} requests with the part reached workers later than 3 s after the fifth crash, {MAX_LATER_REQUESTS} are allowed"
        )
    }))
}
