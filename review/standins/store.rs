//! Stand-in of the platform's key-value store.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, base64};
use crate::record::Record;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Interval at which leases are checked, and waiting watches look for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Largest number of items in a page.
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    duration: Duration,
    ends_at: Instant,
}

/// Writes of keys with a prefix whose answers are lost, and which are done later.
#[derive(Debug)]
struct LostWrites {
    prefix: String,
    count: usize,
    done_after: Duration,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    lost_writes: Option<LostWrites>,
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{created},"Lease":{lease}}}"#
    )
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.events.push((revision, item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            let event = format!(r#"{{"Key":"{key}","Revision":{revision},"Removed":true}}"#);
            self.events.push((revision, event));
        }
    }

    /// Removes leases that have ended, with the keys that were last written under them.
    fn end_leases(&mut self, record: &Record) {
        let now = Instant::now();
        let ended = |(id, lease): (&u64, &Lease)| (lease.ends_at <= now).then_some(*id);
        let ended: Vec<u64> = self.leases.iter().filter_map(ended).collect();
        for id in ended {
            self.leases.remove(&id);
            let is_under = |(key, item): (&String, &Item)| (item.lease == id).then(|| key.clone());
            let keys: Vec<String> = self.items.iter().filter_map(is_under).collect();
            record.add(format!("store: lease {id} has ended, removes {keys:?}"));
            for key in keys {
                self.revision += 1;
                let revision = self.revision;
                self.remove(&key, revision);
            }
        }
    }

    fn apply_transaction(&mut self, body: &Json) -> (u16, String) {
        for row in body.get("ExpectedRevision").list() {
            let known = self.items.get(row.get("Key").text()).map_or(0, |item| item.revision);
            if known != row.get("Revision").number() {
                return (412, r#"{"Items":[]}"#.to_owned());
            }
        }
        let lease_of = |put: &Json| put.get("Lease").number();
        let puts = body.get("Puts").list();
        if puts.iter().any(|put| lease_of(put) != 0 && !self.leases.contains_key(&lease_of(put))) {
            return (404, "{}".to_owned());
        }
        self.revision += 1;
        let revision = self.revision;
        for put in puts {
            self.put(put.get("Key").text(), put.get("Value").text(), lease_of(put), revision);
        }
        for key in body.get("Removals").list() {
            self.remove(key.text(), revision);
        }
        (200, format!(r#"{{"Revision":{revision}}}"#))
    }

    fn read_range(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("PathPrefix").unwrap_or_default();
        let after = request.query("After").unwrap_or_default();
        let matching = self.items.iter().filter(|(key, _)| key.starts_with(&prefix));
        let mut rest = matching.filter(|(key, _)| **key > after);
        let page: Vec<String> =
            rest.by_ref().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
        let (more, items, at) = (rest.next().is_some(), page.join(","), self.revision);
        (200, format!(r#"{{"Items":[{items}],"MorePages":{more},"At":{at}}}"#))
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<String> {
        let start = format!(r#"{{"Key":"{prefix}"#);
        let newer = self.events.iter().filter(|(revision, _)| *revision > after);
        newer.filter(|(_, event)| event.starts_with(&start)).map(|(_, e)| e.clone()).collect()
    }
}

/// Handle of a running store.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    record: Record,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(record: &Record) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let state = State { revision: 100, next_lease: 77_000, ..State::default() };
        let store = Store { state: Arc::new(Mutex::new(state)), record: record.clone(), address };
        let clock = store.clone();
        thread::spawn(move || {
            loop {
                sleep(POLL_INTERVAL);
                clock.state.lock().unwrap().end_leases(&clock.record);
            }
        });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, &base64(value.as_bytes()), 0, revision);
        self.record.add(format!("store: {key} written at revision {revision}"));
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Loses the answers of the next `count` writes of keys with a prefix. They are done `done_after`
    /// later, if their conditions and leases still hold.
    pub fn lose_writes(&self, prefix: &str, count: usize, done_after: Duration) {
        let lost = LostWrites { prefix: prefix.to_owned(), count, done_after };
        self.state.lock().unwrap().lost_writes = Some(lost);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read_message(&mut reader, true) {
            sleep(ANSWER_TIME);
            let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
            if let Some(done_after) = self.lost_write(&request, &body) {
                let keys = written_keys(&body);
                self.record.tell(format!(
                    "store: answer of the write of {keys} is lost, it is done {} ms later",
                    done_after.as_millis()
                ));
                sleep(done_after);
                let (status, answer) = self.state.lock().unwrap().apply_transaction(&body);
                self.record.tell(format!("store: late write of {keys} done: {status} {answer}"));
                // The channel returns nothing further.
                let mut ignored = [0; 1024];
                while std::io::Read::read(&mut writer, &mut ignored).is_ok_and(|length| length > 0)
                {
                }
                return;
            }
            let (status, answer) = self.answer(&request, &body);
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if writer.write_all(format!("{head}{answer}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn lost_write(&self, request: &Message, body: &Json) -> Option<Duration> {
        if request.path() != "/v1/kv-txn" {
            return None;
        }
        let mut state = self.state.lock().unwrap();
        let lost = state.lost_writes.as_mut().filter(|lost| lost.count > 0)?;
        let puts = body.get("Puts").list();
        if !puts.iter().any(|put| put.get("Key").text().starts_with(&lost.prefix)) {
            return None;
        }
        lost.count -= 1;
        Some(lost.done_after)
    }

    fn answer(&self, request: &Message, body: &Json) -> (u16, String) {
        let path = request.path();
        if path == "/v1/kv-watch" {
            return self.watch(request);
        }
        let mut state = self.state.lock().unwrap();
        if path == "/v1/kv-txn" {
            let answer = state.apply_transaction(body);
            self.record.add(format!("store: write of {}: {}", written_keys(body), answer.0));
            answer
        } else if path == "/v1/kv-range" {
            state.read_range(request)
        } else if path == "/v1/kv-key" {
            let key = request.query("Key").unwrap_or_default();
            let item = state.items.get(&key);
            item.map_or((404, "{}".to_owned()), |item| (200, item_json(&key, item)))
        } else if path == "/v1/kv-lease" {
            let duration = Duration::from_millis(body.get("TtlMs").number());
            state.next_lease += 1;
            let id = state.next_lease;
            state.leases.insert(id, Lease { duration, ends_at: Instant::now() + duration });
            let ttl_ms = duration.as_millis();
            self.record.add(format!("store: lease {id} of {ttl_ms} ms granted"));
            (200, format!(r#"{{"Lease":{id},"TtlMs":{ttl_ms}}}"#))
        } else if let Some(id) = path.strip_prefix("/v1/kv-keep/") {
            let lease = id.parse().ok().and_then(|id: u64| state.leases.get_mut(&id));
            match lease {
                Some(lease) => {
                    lease.ends_at = Instant::now() + lease.duration;
                    let ttl_ms = lease.duration.as_millis();
                    (200, format!(r#"{{"TtlMs":{ttl_ms}}}"#))
                }
                None => (404, "{}".to_owned()),
            }
        } else {
            (400, "{}".to_owned())
        }
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let number = |name: &str| request.query(name).and_then(|value| value.parse::<u64>().ok());
        let (after, wait_ms) = (number("After").unwrap_or(0), number("WaitMs").unwrap_or(0));
        let prefix = request.query("PathPrefix").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let state = self.state.lock().unwrap();
            let (changes, at) = (state.changes(&prefix, after), state.revision);
            drop(state);
            if !changes.is_empty() || Instant::now() >= until {
                return (200, format!(r#"{{"events":[{}],"At":{at}}}"#, changes.join(",")));
            }
            sleep(POLL_INTERVAL);
        }
    }
}

fn written_keys(body: &Json) -> String {
    let keys: Vec<&str> = body.get("Puts").list().iter().map(|put| put.get("Key").text()).collect();
    keys.join(",")
}
