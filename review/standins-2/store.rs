//! Stand-in of the platform's store: range reads, watches, leases and transactions.

use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Input, read_message, write_response};
use crate::json::{Json, encode_base64};

/// Interval at which ended leases are removed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Most items on a page, and most bytes of them.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

/// What becomes of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFate {
    /// It is done and answered.
    Answered,
    /// It is not answered, and done this much later if its condition still holds.
    LostAndLate(Duration),
}

/// Decides from the machine that calls and the keys that a transaction puts.
pub type WriteRule = Box<dyn Fn(usize, &[String]) -> WriteFate + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    write_rule: Mutex<Option<WriteRule>>,
    /// Machines that are cut off from the store: their calls are left unanswered.
    cut_off: Mutex<HashSet<usize>>,
}

/// Decodes the percent signs of a query.
fn decode_percent(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut parts = text.split('%');
    decoded.extend_from_slice(parts.next().unwrap_or("").as_bytes());
    for part in parts {
        let code = part.get(..2).and_then(|code| u8::from_str_radix(code, 16).ok());
        match code {
            Some(byte) => {
                decoded.push(byte);
                decoded.extend_from_slice(&part.as_bytes()[2..]);
            }
            None => {
                decoded.push(b'%');
                decoded.extend_from_slice(part.as_bytes());
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.events.push((self.revision, item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Removed\":true}}");
            self.events.push((revision, event));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn end_expired_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn transact(&mut self, body: &Json) -> (&'static str, String) {
        self.end_expired_leases();
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let expected = body.get("ExpectedRevision").list();
        if expected
            .iter()
            .any(|row| revision_of(row.get("Key").text()) != row.get("Revision").number())
        {
            let present = expected.iter().filter_map(|row| {
                let key = row.get("Key").text();
                self.items.get(key).map(|item| item_json(key, item))
            });
            let items: Vec<String> = present.collect();
            return ("412 Precondition Failed", format!("{{\"Items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("Puts").list();
        let is_known = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if puts.iter().any(|put| !is_known(put.get("Lease").number())) {
            return ("404 Not Found", "{}".to_owned());
        }
        for put in puts {
            let value = put.get("Value").text().to_owned();
            self.put(put.get("Key").text(), value, put.get("Lease").number());
        }
        for key in body.get("Removals").list() {
            self.remove(key.text());
        }
        ("200 OK", format!("{{\"Revision\":{}}}", self.revision))
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        let matching = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        for (key, item) in matching.filter(|(key, _)| key.as_str() > after) {
            let json = item_json(key, item);
            if items.len() == PAGE_ITEMS || (bytes > 0 && bytes + json.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += json.len();
            items.push(json);
        }
        let at = self.revision;
        format!("{{\"Items\":[{}],\"MorePages\":{more},\"At\":{at}}}", items.join(","))
    }

    fn events_after(&self, prefix: &str, after: u64) -> Vec<&str> {
        let key_start = format!("{{\"Key\":\"{prefix}");
        let later = self.events.iter().filter(|(revision, _)| *revision > after);
        later
            .map(|(_, event)| event.as_str())
            .filter(|event| event.starts_with(&key_start))
            .collect()
    }
}

impl Store {
    pub fn start() -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::new(State { revision: 100, last_lease: 70_000, ..State::default() }),
            changed: Condvar::new(),
            write_rule: Mutex::new(None),
            cut_off: Mutex::default(),
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK_INTERVAL);
                expiring.state.lock().unwrap().end_expired_leases();
                expiring.changed.notify_all();
            }
        });
        store
    }

    pub fn set_write_rule(&self, rule: WriteRule) {
        *self.write_rule.lock().unwrap() = Some(rule);
    }

    /// Opens an address for one machine, by which its calls are told apart.
    pub fn open_for(self: &Arc<Store>, machine: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(machine, stream));
            }
        });
        address
    }

    /// Cuts a machine off from the store, or ends the cut.
    pub fn set_cut_off(&self, machine: usize, is_cut_off: bool) {
        let mut cut_off = self.cut_off.lock().unwrap();
        if is_cut_off {
            cut_off.insert(machine)
        } else {
            cut_off.remove(&machine)
        };
    }

    fn is_cut_off(&self, machine: usize) -> bool {
        self.cut_off.lock().unwrap().contains(&machine)
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().put(key, encode_base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// Keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(self: Arc<Store>, machine: usize, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut input = Input::new(reading);
        while let Ok(request) = read_message(&mut input) {
            let target = request.second_word().to_owned();
            let answered = if self.is_cut_off(machine) {
                None
            } else {
                self.answer(machine, &target, &request.body)
            };
            let Some((status, body)) = answered else {
                // A channel on which an answer is lost brings nothing further.
                while read_message(&mut input).is_ok() {}
                return;
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            if write_response(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        self: &Arc<Store>,
        machine: usize,
        target: &str,
        body: &[u8],
    ) -> Option<(&'static str, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let found = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
            decode_percent(found.unwrap_or(""))
        };
        let body = Json::parse(std::str::from_utf8(body).unwrap_or(""));
        match path {
            "/v1/kv-range" => {
                let state = self.state.lock().unwrap();
                Some(("200 OK", state.range(&field("PathPrefix"), &field("After"))))
            }
            "/v1/kv-watch" => {
                let after = field("After").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("WaitMs").parse().unwrap_or(0));
                Some(self.watch(&field("PathPrefix"), after, wait))
            }
            "/v1/kv-txn" => self.transact(machine, body),
            "/v1/kv-lease" => {
                let ttl = Duration::from_millis(body.get("TtlMs").number());
                let mut state = self.state.lock().unwrap();
                state.last_lease += 1;
                let id = state.last_lease;
                state.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
                Some(("200 OK", format!("{{\"Lease\":{id},\"TtlMs\":{}}}", ttl.as_millis())))
            }
            _ => {
                let id = path.strip_prefix("/v1/kv-keep/").and_then(|id| id.parse().ok())?;
                let mut state = self.state.lock().unwrap();
                state.end_expired_leases();
                Some(match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.ttl;
                        ("200 OK", format!("{{\"TtlMs\":{}}}", lease.ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                })
            }
        }
    }

    fn transact(self: &Arc<Store>, machine: usize, body: Json) -> Option<(&'static str, String)> {
        let puts = body.get("Puts").list().iter();
        let keys: Vec<String> = puts.map(|put| put.get("Key").text().to_owned()).collect();
        let fate = {
            let rule = self.write_rule.lock().unwrap();
            rule.as_ref().map_or(WriteFate::Answered, |rule| rule(machine, &keys))
        };
        if let WriteFate::LostAndLate(delay) = fate {
            let store = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                store.state.lock().unwrap().transact(&body);
                store.changed.notify_all();
            });
            return None;
        }
        let answer = self.state.lock().unwrap().transact(&body);
        self.changed.notify_all();
        Some(answer)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        if after > state.revision {
            return ("410 Gone", "{}".to_owned());
        }
        loop {
            let events = state.events_after(prefix, after).join(",");
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return ("200 OK", format!("{{\"events\":[{events}],\"At\":{}}}", state.revision));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
