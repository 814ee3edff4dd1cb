//! A worker that keeps idle channels for ever states the largest number as its idle timeout.

use std::io::BufReader;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::client::{booking_request, send_on};
use crate::gateway::Gateway;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{Setting, Verdict, configuration};

const WORKERS: usize = 3;
const CLIENTS: usize = 6;
const USUAL_TIMEOUT_S: u64 = 5;
/// Stated by one of the workers.
const LARGEST_TIMEOUT_S: u64 = i64::MAX as u64;
const LOAD: Duration = Duration::from_secs(10);
const MAX_LOST: usize = 3;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(record);
    store.put("op/config", &configuration(100_000_000, 100_000_000));
    let start = |number: usize| {
        let is_odd = setting.trouble && number == 0;
        let kind = Kind {
            service: "desk".to_owned(),
            slots: 6,
            idle_timeout_s: Some(if is_odd { LARGEST_TIMEOUT_S } else { USUAL_TIMEOUT_S }),
            ..Kind::default()
        };
        Worker::start(&format!("i-{number}"), "v1", &kind, &store, record)
    };
    let workers: Vec<Worker> = (0..WORKERS).map(start).collect();
    let mut gateway = Gateway::new("front-1", &setting.folder, &store, record);
    gateway.start()?;
    gateway.wait_until_ready(Duration::from_secs(10))?;
    sleep(Duration::from_secs(4));

    let stopping = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let client = |client: usize| {
        let front = gateway.front;
        let (stopping, record) = (stopping.clone(), record.clone());
        let (served, lost) = (served.clone(), lost.clone());
        thread::spawn(move || -> std::io::Result<()> {
            let mut number = 0;
            while !stopping.load(Ordering::Relaxed) {
                let channel = TcpStream::connect(front)?;
                channel.set_read_timeout(Some(Duration::from_secs(4)))?;
                let mut channel = BufReader::new(channel);
                for on_channel in 0.. {
                    if stopping.load(Ordering::Relaxed) {
                        return Ok(());
                    }
                    number += 1;
                    let id = format!("{client:04x}{number:012x}");
                    record.add(format!("client: sends {id}, request {on_channel} of its channel"));
                    match send_on(&mut channel, &booking_request(&id)) {
                        Ok(answer) => {
                            record.add(format!("client: {id} answered {}", answer.status()));
                            served.fetch_add(u64::from(answer.status() == 200), Ordering::Relaxed);
                        }
                        Err(error) => {
                            record.add(format!("client: {id} not answered: {error}"));
                            // The first request of a channel is not one of a kept channel.
                            if on_channel > 0 {
                                lost.lock().unwrap().push(id);
                            }
                            break;
                        }
                    }
                    sleep(Duration::from_millis(20));
                }
            }
            Ok(())
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    sleep(LOAD);
    stopping.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs: Vec<String> =
        workers.iter().flat_map(Worker::runs).map(|run| run.attempt_id).collect();
    let lost = lost.lock().unwrap();
    let run_and_lost = lost.iter().filter(|id| runs.contains(id)).count();
    let served = served.load(Ordering::Relaxed);
    record.tell(format!(
        "{served} bookings served; {run_and_lost} run and not answered, on kept channels"
    ));
    if served == 0 {
        return Err("no booking was served".to_owned());
    }
    Ok((run_and_lost > MAX_LOST).then(|| {
        format!("LOST: {run_and_lost} bookings on kept channels were run and their channels closed without an answer, {MAX_LOST} are allowed")
    }))
}
