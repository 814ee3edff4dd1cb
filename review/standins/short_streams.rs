//! Short streams at workers of two software versions, before a gateway that is killed now and then.
//! Clients take up the streams that break off at the other gateway.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Answer, send, stream_request};
use crate::gateway::Gateway;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{COMMON_PART, Setting, Verdict, configuration};

const CLIENTS: usize = 40;
/// Clients of the gateway that is not killed; they only begin new streams.
const OTHER_CLIENTS: usize = 8;
const EVENTS: u64 = 3;
const PAUSE: Duration = Duration::from_millis(25);
const KILLS: usize = 8;
const BETWEEN_KILLS: Duration = Duration::from_secs(4);
const DOWN: Duration = Duration::from_millis(500);
/// Time for which a client goes on to ask for the rest of a stream.
const TAKE_UP_TIME: Duration = Duration::from_secs(3);
/// Number of taken-up streams from which the rule counts.
const MIN_TAKE_UPS: usize = 12;

/// Asks for the rest of a stream until it is answered or the time is over.
fn take_up(front: SocketAddr, id: &str, last_event: &str, record: &Record) -> bool {
    let until = Instant::now() + TAKE_UP_TIME;
    for number in 0.. {
        let attempt = format!("{id}-{number}");
        let headers = format!("Last-Event-Id: {last_event}\r\nResumes: {id}\r\nDeadline-Ms");
        let request = stream_request(&attempt, &[COMMON_PART], "628,28");
        let request = request.replace("Deadline-Ms", &headers);
        let answer = send(front, &request, Duration::from_secs(13)).unwrap_or_default();
        record.add(format!(
            "client: {attempt} takes up after event {last_event}, answered {} complete={}",
            answer.status, answer.complete
        ));
        if answer.status == 200 && answer.complete {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep(answer.retry_after.unwrap_or(Duration::from_millis(200)));
    }
    false
}

fn last_event(answer: &Answer) -> Option<String> {
    let mut text = String::new();
    answer.body.as_slice().read_to_string(&mut text).ok()?;
    text.lines().filter_map(|line| line.strip_prefix("id: ")).next_back().map(str::to_owned)
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(record);
    store.put("op/config", &configuration(100_000_000, 100_000_000));
    let kind = Kind { slots: 20, events: EVENTS, pause: PAUSE, ..Kind::default() };
    let start = |(number, version): (usize, &&str)| {
        Worker::start(&format!("i-{number}"), version, &kind, &store, record)
    };
    let _workers: Vec<Worker> = ["v1", "v1", "v2", "v2"].iter().enumerate().map(start).collect();
    let mut killed = Gateway::new("front-1", &setting.folder, &store, record);
    let mut other = Gateway::new("front-2", &setting.folder, &store, record);
    for gateway in [&mut killed, &mut other] {
        gateway.start()?;
    }
    for gateway in [&killed, &other] {
        gateway.wait_until_ready(Duration::from_secs(10))?;
    }
    sleep(Duration::from_secs(5));

    let stopping = Arc::new(AtomicBool::new(false));
    let (sent, begun) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let take_ups: Arc<Mutex<Vec<bool>>> = Arc::default();
    let client = |client: usize| {
        let is_other = client >= CLIENTS;
        let (own_front, other_front) = (killed.front, other.front);
        let (stopping, record) = (stopping.clone(), record.clone());
        let (sent, begun, take_ups) = (sent.clone(), begun.clone(), take_ups.clone());
        thread::spawn(move || {
            for number in 0.. {
                if stopping.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{client:04x}{number:012x}");
                let request = stream_request(&id, &[COMMON_PART], "628,28");
                let front = if is_other { other_front } else { own_front };
                let answer = send(front, &request, Duration::from_secs(13)).unwrap_or_default();
                let last_event = last_event(&answer);
                record.add(format!(
                    "client: {id} answered {} complete={}, last event {last_event:?}",
                    answer.status, answer.complete
                ));
                if is_other {
                    sent.fetch_add(1, Ordering::Relaxed);
                    begun.fetch_add(u64::from(last_event.is_some()), Ordering::Relaxed);
                }
                match last_event.filter(|_| !answer.complete) {
                    Some(last_event) => {
                        let goes_on = take_up(other_front, &id, &last_event, &record);
                        take_ups.lock().unwrap().push(goes_on);
                    }
                    None if answer.complete => sleep(answer.retry_after.unwrap_or_default()),
                    None => sleep(Duration::from_millis(100)),
                }
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS + OTHER_CLIENTS).map(client).collect();
    sleep(Duration::from_secs(4));
    for _ in 0..KILLS {
        if setting.trouble {
            killed.kill();
            sleep(DOWN);
            killed.start()?;
        }
        sleep(BETWEEN_KILLS);
    }
    stopping.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let take_ups = take_ups.lock().unwrap();
    let went_on = take_ups.iter().filter(|goes_on| **goes_on).count();
    let (sent, begun) = (sent.load(Ordering::Relaxed), begun.load(Ordering::Relaxed));
    record.tell(format!(
        "{went_on} of {} taken-up streams went on; {begun} of {sent} new streams began",
        take_ups.len()
    ));
    if begun == 0 {
        return Err("no stream began".to_owned());
    }
    let begun_share = begun as f64 / sent as f64;
    let is_broken = take_ups.len() >= MIN_TAKE_UPS
        && (went_on as f64) < take_ups.len() as f64 * begun_share / 2.0;
    Ok(is_broken.then(|| {
        format!(
            "LOST: {went_on} of {} taken-up streams went on, {begun} of {sent} new ones began",
            take_ups.len()
        )
    }))
}
