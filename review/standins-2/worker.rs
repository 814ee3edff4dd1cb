//! Stand-in of a worker: a plain application, or an engine that answers with streams.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Input, Message, read_message, write_response};
use crate::record::Record;
use crate::store::Store;

/// Interval at which a worker writes its entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Requests that a worker queues beyond its slots.
const QUEUE_LENGTH: u32 = 24;

/// Start of the workers, as they state it.
const BORN_MS: u64 = 1_790_000_000_000;

/// What a faulty worker sends again and again: the head of an interim answer, which is no answer.
const ENDLESS_BYTES: &[u8] = b"HTTP/1.1 100 \r\n\r\n";
const ENDLESS_BYTES_AT_ONCE: usize = 64 << 10;

/// Bytes a second of one such answer, so that several of them fit into a link of 1,000 Mbit/s.
const ENDLESS_BYTES_PER_S: f64 = 30e6;

/// How a worker answers.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// A body after this time.
    Plain(Duration),
    /// A stream of this many events, each after this time.
    Stream(u32, Duration),
}

/// Bytes that a faulty worker sends in place of an answer.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Interim answers, until the caller closes the channel.
    Endless,
    /// A change of the protocol that the request has not asked for.
    SwitchingProtocols,
}

/// A request that a worker began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
    pub path: String,
    pub tenant: String,
    pub tokens: u64,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: String,
    slots: u32,
    work: Work,
    load: Mutex<Load>,
    slot_free: Condvar,
    sequence: AtomicU64,
    limit: Option<f64>,
    /// Share of its requests that a faulty worker answers with bytes that are no answer.
    faulty_share: Mutex<f64>,
    faulty_debt: Mutex<f64>,
    fault: Mutex<Fault>,
    /// Idle timeout that its answers state, in seconds.
    keep_alive_s: Mutex<Option<u64>>,
    pub runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

/// What a worker is.
pub struct WorkerPlan<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub slots: u32,
    pub work: Work,
    /// Requests a second that it names as its limit.
    pub limit: Option<f64>,
}

#[derive(Debug, Default)]
struct Load {
    running: u32,
    queued: u32,
}

/// A slot of a worker, freed when dropped.
struct Slot<'a>(&'a Worker);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.load.lock().unwrap().running -= 1;
        self.0.slot_free.notify_one();
    }
}

impl Worker {
    /// Starts a worker that writes its entry to the store.
    pub fn start(plan: WorkerPlan, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a worker");
        let worker = Arc::new(Worker {
            id: plan.id.to_owned(),
            service: plan.service.to_owned(),
            address: listener.local_addr().expect("address of a worker"),
            zone: plan.zone.to_owned(),
            slots: plan.slots,
            work: plan.work,
            load: Mutex::default(),
            slot_free: Condvar::new(),
            sequence: AtomicU64::new(0),
            limit: plan.limit,
            faulty_share: Mutex::new(0.0),
            faulty_debt: Mutex::new(0.0),
            fault: Mutex::new(Fault::Endless),
            keep_alive_s: Mutex::default(),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        let (beating, store) = (worker.clone(), store.clone());
        beating.beat(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT_INTERVAL);
                beating.beat(&store);
            }
        });
        worker
    }

    /// Makes the worker answer this share of its requests with bytes that are no answer.
    pub fn set_fault(&self, fault: Fault, share: f64) {
        *self.fault.lock().unwrap() = fault;
        *self.faulty_share.lock().unwrap() = share;
    }

    /// States this idle timeout in all answers.
    pub fn state_keep_alive(&self, seconds: u64) {
        *self.keep_alive_s.lock().unwrap() = Some(seconds);
    }

    /// The fault with which this request is answered, if it is one of those, which are spread evenly.
    fn due_fault(&self) -> Option<Fault> {
        let mut debt = self.faulty_debt.lock().unwrap();
        *debt += *self.faulty_share.lock().unwrap();
        let is_due = *debt >= 1.0;
        if is_due {
            *debt -= 1.0;
        }
        is_due.then(|| *self.fault.lock().unwrap())
    }

    fn beat(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let (address, service, zone, slots) = (self.address, &self.service, &self.zone, self.slots);
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{BORN_MS}}}"
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let (mut input, mut output) = (Input::new(reading), stream);
        while let Ok(request) = read_message(&mut input) {
            if self.answer(&request, &mut output).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, output: &mut TcpStream) -> io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let limit = self.limit.map(|limit| limit.to_string());
        let mut headers = vec![("Attempt-Id", attempt.as_str())];
        if let Some(limit) = &limit {
            headers.push(("Server-Limit", limit));
        }
        let keep_alive_s = *self.keep_alive_s.lock().unwrap();
        let keep_alive = keep_alive_s.map(|seconds| format!("timeout={seconds}"));
        if let Some(keep_alive) = &keep_alive {
            headers.push(("Keep-Alive", keep_alive));
        }
        let expected = request.header("expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            headers.push(("Instance-Id", &self.id));
            return write_response(output, "421 Misdirected Request", &headers, b"");
        }
        let Some(_slot) = self.take_slot() else {
            headers.push(("Not-Executed", "1"));
            return write_response(output, "503 Service Unavailable", &headers, b"");
        };
        self.record_run(request, &attempt);
        if let Some(fault) = self.due_fault() {
            self.record
                .line(&format!("spoilt fault={fault:?} worker={} attempt={attempt}", self.id));
            return match fault {
                Fault::Endless => self.send_without_end(&attempt, output),
                Fault::SwitchingProtocols => {
                    let head = "HTTP/1.1 101 Switching Protocols";
                    output.write_all(format!("{head}\r\nAttempt-Id: {attempt}\r\n\r\n").as_bytes())
                }
            };
        }
        headers.push(("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"));
        match self.work {
            Work::Plain(time) => {
                thread::sleep(time);
                let body = vec![b'x'; 800];
                write_response(output, "200 OK", &headers, &body)
            }
            Work::Stream(events, pause) => {
                let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
                for (name, value) in &headers {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str("\r\n");
                output.write_all(head.as_bytes())?;
                for number in 1..=events {
                    thread::sleep(pause);
                    let event = format!("id: {number}\ndata: piece {number}\n\n");
                    output.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                output.write_all(b"0\r\n\r\n")
            }
        }
    }

    /// Sends bytes that are no answer until the caller closes the channel.
    fn send_without_end(&self, attempt: &str, output: &mut TcpStream) -> io::Result<()> {
        let bytes = ENDLESS_BYTES.repeat(ENDLESS_BYTES_AT_ONCE / ENDLESS_BYTES.len());
        let (began_at, mut sent) = (Instant::now(), 0);
        loop {
            if let Err(error) = output.write_all(&bytes) {
                let (megabytes, after_ms) = (sent / 1_000_000, began_at.elapsed().as_millis());
                self.record.line(&format!(
                    "closed by the caller attempt={attempt} megabytes={megabytes} after_ms={after_ms}"
                ));
                return Err(error);
            }
            sent += bytes.len();
            let due = Duration::from_secs_f64(sent as f64 / ENDLESS_BYTES_PER_S);
            thread::sleep(due.saturating_sub(began_at.elapsed()));
        }
    }

    /// Waits for a slot; `None` if the queue is full.
    fn take_slot(&self) -> Option<Slot<'_>> {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.slots {
            if load.queued >= QUEUE_LENGTH {
                return None;
            }
            load.queued += 1;
            while load.running >= self.slots {
                load = self.slot_free.wait(load).unwrap();
            }
            load.queued -= 1;
        }
        load.running += 1;
        Some(Slot(self))
    }

    fn record_run(&self, request: &Message, attempt: &str) {
        let counts = request.header("token-counts").unwrap_or("");
        let run = Run {
            at: Instant::now(),
            attempt: attempt.to_owned(),
            path: request.second_word().to_owned(),
            tenant: request.header("tenant").unwrap_or("").to_owned(),
            tokens: counts.split(',').filter_map(|count| count.trim().parse::<u64>().ok()).sum(),
        };
        self.record.line(&format!(
            "run worker={} service={} attempt={} path={} tenant={} tokens={}",
            self.id, self.service, run.attempt, run.path, run.tenant, run.tokens
        ));
        self.runs.lock().unwrap().push(run);
    }
}
