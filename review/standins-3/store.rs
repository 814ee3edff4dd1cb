//! Stand-in of the platform's key-value store.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::http::{self, Message};
use super::json::{Json, quote};

#[derive(Debug, Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone, Default)]
struct Contents {
    /// Number of times that the store has come back from an older copy.
    era: u64,
    /// Whether the store turns all calls away.
    is_away: bool,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in their order: revision, key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// Copy of a store's contents.
#[derive(Debug)]
pub struct StoreCopy(Contents);

/// A store that serves until the process ends.
#[derive(Debug, Clone)]
pub struct Store {
    contents: Arc<Mutex<Contents>>,
    pub address: SocketAddr,
}

impl Store {
    pub fn spawn() -> io::Result<Store> {
        let contents: Arc<Mutex<Contents>> = Arc::default();
        contents.lock().unwrap().revision = 1;
        let served = contents.clone();
        let address = http::serve(move |request, stream| answer(&served, request, stream))?;
        Ok(Store { contents, address })
    }

    /// Writes a key as the operator or a worker does. Returns when the store has acknowledged it.
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.contents.lock().unwrap();
        contents.write(key, Some((encode_base64(value.as_bytes()), 0)));
    }

    pub fn remove(&self, key: &str) {
        self.contents.lock().unwrap().write(key, None);
    }

    /// Copies the store.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.contents.lock().unwrap().clone())
    }

    /// Turns all calls away from now on.
    pub fn leave(&self) {
        self.contents.lock().unwrap().is_away = true;
    }

    /// Comes back from an older copy. What was written since is lost, and leases are as well.
    pub fn restore(&self, copy: StoreCopy) {
        let mut contents = self.contents.lock().unwrap();
        let era = contents.era + 1;
        *contents = Contents { era, leases: BTreeMap::new(), ..copy.0 };
        let leased = contents.items.iter().filter(|(_, item)| item.lease != 0);
        for key in leased.map(|(key, _)| key.clone()).collect::<Vec<String>>() {
            contents.items.remove(&key);
        }
    }

    /// Number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let contents = self.contents.lock().unwrap();
        contents.items.keys().filter(|key| key.starts_with(prefix)).count()
    }
}

impl Contents {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|(value, lease)| Item { value, revision, created, lease });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        self.history.push((revision, key.to_owned(), item));
    }

    fn expire_leases(&mut self, now: Instant) {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.write(&key, None);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"Key\":{},\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{created},\"Lease\":{lease}}}",
        quote(key)
    )
}

fn query(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let parameters = query.split('&').filter_map(|parameter| parameter.split_once('='));
    let found = parameters.filter(|(other, _)| *other == name).map(|(_, value)| decode_url(value));
    found.last().unwrap_or_default()
}

fn decode_url(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        let code = (*first == b'%' && tail.len() >= 2)
            .then(|| std::str::from_utf8(&tail[..2]).ok())
            .flatten()
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        if code.is_some() {
            rest = &tail[2..];
        }
        bytes.push(code.unwrap_or(*first));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn answer(
    contents: &Arc<Mutex<Contents>>,
    request: &Message,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let (era, is_away) = {
        let contents = contents.lock().unwrap();
        (contents.era, contents.is_away)
    };
    let target = request.target();
    let path = target.split('?').next().unwrap_or_default();
    let (status, body) = match (request.method(), path) {
        _ if is_away => (503, "{}".to_owned()),
        ("GET", "/v1/kv-key") => read_key(contents, &query(target, "Key")),
        ("GET", "/v1/kv-range") => {
            read_range(contents, &query(target, "PathPrefix"), &query(target, "After"))
        }
        ("GET", "/v1/kv-watch") => watch(contents, target),
        ("POST", "/v1/kv-txn") => commit(contents, &String::from_utf8_lossy(&request.body)),
        ("POST", "/v1/kv-lease") => grant(contents, &String::from_utf8_lossy(&request.body)),
        ("POST", path) if path.starts_with("/v1/kv-keep/") => renew(contents, path),
        ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => end(contents, path),
        _ => (404, "{}".to_owned()),
    };
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all((head + &body).as_bytes())?;
    Ok(true)
}

type Answer = (u16, String);

fn read_key(contents: &Arc<Mutex<Contents>>, key: &str) -> Answer {
    let contents = contents.lock().unwrap();
    match contents.items.get(key) {
        Some(item) => (200, item_json(key, item)),
        None => (404, "{}".to_owned()),
    }
}

fn read_range(contents: &Arc<Mutex<Contents>>, prefix: &str, after: &str) -> Answer {
    let mut contents = contents.lock().unwrap();
    contents.expire_leases(Instant::now());
    let selected =
        contents.items.iter().filter(|(key, _)| key.starts_with(prefix) && &***key > after);
    let items: Vec<String> = selected.map(|(key, item)| item_json(key, item)).collect();
    let (items, at) = (items.join(","), contents.revision);
    (200, format!("{{\"Items\":[{items}],\"MorePages\":false,\"At\":{at}}}"))
}

fn watch(contents: &Arc<Mutex<Contents>>, target: &str) -> Answer {
    let prefix = query(target, "PathPrefix");
    let after: u64 = query(target, "After").parse().unwrap_or(0);
    let wait = Duration::from_millis(query(target, "WaitMs").parse().unwrap_or(0));
    let until = Instant::now() + wait;
    loop {
        let mut locked = contents.lock().unwrap();
        if after > locked.revision {
            return (410, "{}".to_owned());
        }
        locked.expire_leases(Instant::now());
        let changes =
            locked.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
        let events: Vec<String> = changes
            .map(|(at, key, item)| match item {
                Some(item) => item_json(key, item),
                None => format!("{{\"Key\":{},\"Revision\":{at},\"Removed\":true}}", quote(key)),
            })
            .collect();
        if !events.is_empty() || Instant::now() >= until {
            let at = locked.revision;
            return (200, format!("{{\"events\":[{}],\"At\":{at}}}", events.join(",")));
        }
        drop(locked);
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn commit(contents: &Arc<Mutex<Contents>>, body: &str) -> Answer {
    let Some(transaction) = Json::parse(body) else { return (400, "{}".to_owned()) };
    let rows = |name: &str| transaction.get(name).map_or(&[][..], Json::list).to_vec();
    let text = |row: &Json, name: &str| row.get(name).and_then(Json::text).map(str::to_owned);
    let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0) as u64;
    let mut contents = contents.lock().unwrap();
    contents.expire_leases(Instant::now());
    let expected = rows("ExpectedRevision");
    let holds = |row: &Json| {
        let key = text(row, "Key").unwrap_or_default();
        contents.items.get(&key).map_or(0, |item| item.revision) == number(row, "Revision")
    };
    if !expected.iter().all(holds) {
        return (412, "{\"Items\":[]}".to_owned());
    }
    let puts = rows("Puts");
    let has_lease = |row: &&Json| {
        let lease = number(row, "Lease");
        lease == 0 || contents.leases.contains_key(&lease)
    };
    if puts.iter().filter(has_lease).count() != puts.len() {
        return (404, "{}".to_owned());
    }
    for row in &puts {
        let (key, value) = (text(row, "Key"), text(row, "Value"));
        contents.write(
            &key.unwrap_or_default(),
            Some((value.unwrap_or_default(), number(row, "Lease"))),
        );
    }
    for row in rows("Removals") {
        contents.write(row.text().unwrap_or_default(), None);
    }
    (200, format!("{{\"Revision\":{}}}", contents.revision))
}

fn grant(contents: &Arc<Mutex<Contents>>, body: &str) -> Answer {
    let ttl_ms = Json::parse(body).and_then(|body| body.get("TtlMs")?.number()).unwrap_or(1_000);
    let ttl = Duration::from_millis(ttl_ms as u64);
    let mut contents = contents.lock().unwrap();
    let lease = contents.leases.keys().last().unwrap_or(&100) + 1;
    contents.leases.insert(lease, (Instant::now() + ttl, ttl));
    (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl_ms}}}"))
}

fn lease_of(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn renew(contents: &Arc<Mutex<Contents>>, path: &str) -> Answer {
    let mut contents = contents.lock().unwrap();
    contents.expire_leases(Instant::now());
    match contents.leases.get_mut(&lease_of(path)) {
        Some((until, ttl)) => {
            *until = Instant::now() + *ttl;
            (200, format!("{{\"TtlMs\":{}}}", ttl.as_millis()))
        }
        None => (404, "{}".to_owned()),
    }
}

fn end(contents: &Arc<Mutex<Contents>>, path: &str) -> Answer {
    contents.lock().unwrap().end_lease(lease_of(path));
    (200, "{}".to_owned())
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit <= group.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
