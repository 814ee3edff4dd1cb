//! Stand-ins of engines with a memory of fixed size, and ordinary callers that read their streams.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::http::{Message, read_head};
use super::record::Record;
use super::store::Store;
use super::worker;

/// Slots of each worker.
pub const SLOTS: u32 = 4;

/// Memory of each worker, as on the users' installations.
const KV_CACHE_TOKENS: u64 = 819_539;

/// Each answer has this many events, and takes about half a second.
const EVENTS: u32 = 10;
const FIRST_EVENT_AFTER: Duration = Duration::from_millis(50);
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Key of the ordinary callers.
pub const ORDINARY_KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Answers to ordinary requests.
#[derive(Debug, Default)]
pub struct Tally {
    pub sent: AtomicUsize,
    pub complete: AtomicUsize,
    pub refused: AtomicUsize,
    pub other: AtomicUsize,
}

impl Tally {
    /// Numbers of requests that were sent and of complete answers.
    pub fn counts(&self) -> (usize, usize) {
        (self.sent.load(Ordering::Relaxed), self.complete.load(Ordering::Relaxed))
    }
}

/// Starts an engine of the service `models`.
pub fn spawn(store: &Store, instance: &'static str, record: &Record) -> io::Result<SocketAddr> {
    let (running, record) = (Arc::new(AtomicUsize::new(0)), record.clone());
    worker::spawn(store, instance, "models", SLOTS, move |request, stream| {
        answer(instance, &running, &record, request, stream)
    })
}

/// Answers as a worker does: a request that is larger than its memory is declined as if it were full.
fn answer(
    instance: &str,
    running: &AtomicUsize,
    record: &Record,
    request: &Message,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let id = request.header("attempt-id").unwrap_or_default();
    let counts = request.header("token-counts").unwrap_or_default();
    let tokens: u64 = counts.split(',').filter_map(|count| count.parse::<u64>().ok()).sum();
    let is_full = running.load(Ordering::Relaxed) >= SLOTS as usize;
    if tokens > KV_CACHE_TOKENS || is_full {
        record.line(&format!("worker {instance} declines id={id} tokens={counts}"));
        let declined = format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(declined.as_bytes())?;
        return Ok(true);
    }
    running.fetch_add(1, Ordering::Relaxed);
    record.line(&format!("worker {instance} runs id={id} tokens={counts}"));
    let written = write_stream(id, stream);
    running.fetch_sub(1, Ordering::Relaxed);
    record.line(&format!("worker {instance} has ended id={id}: {written:?}"));
    written.map(|()| true)
}

fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

fn write_stream(id: &str, stream: &mut TcpStream) -> io::Result<()> {
    let head = stream_head(id);
    thread::sleep(FIRST_EVENT_AFTER);
    stream.write_all(head.as_bytes())?;
    for event in 1..=EVENTS {
        let text = format!("id: {event}\ndata: token token\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        thread::sleep(EVENT_INTERVAL);
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Sends ordinary requests at their rate, each on a channel of its own, and waits for all answers.
pub fn send_ordinary(
    record: &Record,
    gateway: SocketAddr,
    name: &str,
    per_s: u32,
    time: Duration,
) -> Arc<Tally> {
    let tally: Arc<Tally> = Arc::default();
    let began_at = Instant::now();
    let mut callers = Vec::new();
    for number in 0..(time.as_secs_f64() * f64::from(per_s)) as u32 {
        thread::sleep((Duration::from_secs(1) / per_s * number).saturating_sub(began_at.elapsed()));
        let id = format!("{name}00000000000{number:04x}");
        let (tally, record) = (tally.clone(), record.clone());
        callers.push(thread::spawn(move || {
            tally.sent.fetch_add(1, Ordering::Relaxed);
            let answer = send(gateway, &id, "1000,70", ORDINARY_KEY);
            record.line(&format!("ordinary caller id={id} gets {answer:?}"));
            let count = match answer {
                Ok((200, EVENTS)) => &tally.complete,
                Ok((503 | 429, _)) => &tally.refused,
                _ => &tally.other,
            };
            count.fetch_add(1, Ordering::Relaxed);
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    tally
}

/// Sends a request; returns the status and the number of events of the answer.
pub fn send(gateway: SocketAddr, id: &str, tokens: &str, key: &str) -> io::Result<(u16, u32)> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let request = request_text("/answer/2f", id, tokens, key);
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut events = 0;
    if head.status() == 200 {
        let mut line = String::new();
        while reader.read_line(&mut line)? > 0 && line != "0\r\n" {
            events += u32::from(line.starts_with("id:"));
            line.clear();
        }
    }
    Ok((head.status(), events))
}

/// A request of a client, with its body.
pub fn request_text(target: &str, id: &str, tokens: &str, key: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Counts: {tokens}\r\nPrompt-Prefix: 5c1e07a2:60,{id}:940\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer {key}\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}
