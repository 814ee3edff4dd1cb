//! Key-value service: compare-and-swap, leases and watches, with faults on request.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use clock::Clock;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use web::{Handler, Request, Response};

/// Longest history that a watch can go back to.
const HISTORY_LIMIT: usize = 4096;

/// Largest value.
const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// Faults that the service shows.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Calls fail without effect.
    pub outage: bool,
    /// Each call takes this much longer.
    pub delay_ms: u64,
    /// So many of the next writes take effect but get no reply.
    pub lost_replies: u32,
    /// Calls a second that are let through; 0 is no limit.
    pub calls_per_s: u32,
}

/// The service.
pub struct Store {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    grown: watch::Sender<u64>,
}

struct State {
    revision: u64,
    values: BTreeMap<String, Held>,
    history: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    faults: Faults,
    calls: u64,
    second: Option<(Instant, u32)>,
}

struct Held {
    revision: u64,
    value: String,
    lease: Option<u64>,
}

struct Lease {
    duration: Duration,
    lapses_at: Instant,
}

#[derive(Debug, Clone, Serialize)]
struct Event {
    key: String,
    revision: u64,
    value: Option<String>,
}

enum Gate {
    Open { delay: Duration },
    Outage,
    Throttled,
}

impl Store {
    /// An empty service.
    pub fn new(clock: Arc<dyn Clock>) -> Store {
        let state = State {
            revision: 0,
            values: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            faults: Faults::default(),
            calls: 0,
            second: None,
        };
        Store { clock, state: Mutex::new(state), grown: watch::channel(0).0 }
    }

    /// Sets the faults shown from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Calls received so far, without those that set faults.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn gate(&self) -> Gate {
        let now = self.clock.now();
        let mut state = self.state();
        state.calls += 1;
        state.lapse_leases(now);
        if state.faults.outage {
            return Gate::Outage;
        }
        if !state.count_call(now) {
            return Gate::Throttled;
        }
        Gate::Open { delay: Duration::from_millis(state.faults.delay_ms) }
    }

    async fn route(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv") => self.read(request),
            ("PUT", "/kv") => self.write(request, Some(request.body.to_vec())).await,
            ("DELETE", "/kv") => self.write(request, None).await,
            ("POST", "/leases") => self.grant(request),
            ("PUT", "/leases") => self.renew(request),
            ("GET", "/watch") => self.watch(request).await,
            _ => Response::json(400, &json!({ "message": "no such call" })),
        }
    }

    fn read(&self, request: &Request) -> Response {
        let state = self.state();
        if let Some(prefix) = request.query_value("prefix") {
            let found: Vec<_> = state
                .values
                .range(prefix.to_owned()..)
                .take_while(|(key, _)| key.starts_with(prefix))
                .map(|(key, held)| held.to_json(key))
                .collect();
            return Response::json(200, &found);
        }
        let key = request.query_value("key").unwrap_or_default();
        match state.values.get(key) {
            Some(held) => Response::json(200, &held.to_json(key)),
            None => Response::json(404, &json!({})),
        }
    }

    async fn write(&self, request: &Request, value: Option<Vec<u8>>) -> Response {
        let key = request.query_value("key").unwrap_or_default().to_owned();
        let expected = number(request, "expected").unwrap_or(0);
        let lease = number(request, "lease");
        let value = match value.map(String::from_utf8).transpose() {
            Ok(value) => value,
            Err(_) => return Response::json(400, &json!({ "message": "not text" })),
        };
        if value.as_ref().is_some_and(|value| value.len() > VALUE_LIMIT_BYTES) {
            return Response::json(400, &json!({ "message": "value too large" }));
        }
        let (response, lose_reply) = {
            let mut state = self.state();
            let response = state.swap(&key, expected, value, lease);
            let lose_reply = state.faults.lost_replies > 0;
            state.faults.lost_replies = state.faults.lost_replies.saturating_sub(1);
            (response, lose_reply)
        };
        self.grown.send_modify(|count| *count += 1);
        if lose_reply {
            std::future::pending::<()>().await;
        }
        response
    }

    fn grant(&self, request: &Request) -> Response {
        let duration = Duration::from_millis(number(request, "duration_ms").unwrap_or(1000));
        let lapses_at = self.clock.now() + duration;
        let mut state = self.state();
        let lease = state.next_lease;
        state.next_lease += 1;
        state.leases.insert(lease, Lease { duration, lapses_at });
        Response::json(200, &json!({ "lease": lease }))
    }

    fn renew(&self, request: &Request) -> Response {
        let now = self.clock.now();
        let lease = number(request, "lease").unwrap_or(0);
        match self.state().leases.get_mut(&lease) {
            Some(held) => {
                held.lapses_at = now + held.duration;
                Response::json(200, &json!({}))
            }
            None => Response::json(404, &json!({})),
        }
    }

    async fn watch(&self, request: &Request) -> Response {
        let prefix = request.query_value("prefix").unwrap_or_default().to_owned();
        let after = number(request, "after").unwrap_or(0);
        let wait = Duration::from_millis(number(request, "wait_ms").unwrap_or(0));
        let mut grown = self.grown.subscribe();
        let ends = tokio::time::sleep(wait);
        tokio::pin!(ends);
        loop {
            let (revision, changes) = self.state().changes(&prefix, after);
            if !changes.is_empty() {
                return Response::json(200, &json!({ "revision": revision, "changes": changes }));
            }
            tokio::select! {
                _ = grown.changed() => {}
                () = &mut ends => {
                    let none: [Event; 0] = [];
                    return Response::json(200, &json!({ "revision": revision, "changes": none }));
                }
            }
        }
    }
}

impl State {
    fn count_call(&mut self, now: Instant) -> bool {
        let limit = self.faults.calls_per_s;
        if limit == 0 {
            return true;
        }
        let (start, count) = self.second.unwrap_or((now, 0));
        let fresh = now.duration_since(start) >= Duration::from_secs(1);
        let (start, count) = if fresh { (now, 0) } else { (start, count) };
        self.second = Some((start, count + 1));
        count < limit
    }

    fn lapse_leases(&mut self, now: Instant) {
        let lapsed: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.lapses_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .values
                .iter()
                .filter(|(_, held)| held.lease == Some(id))
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.values.remove(&key);
                self.record(key, None);
            }
        }
    }

    fn swap(
        &mut self,
        key: &str,
        expected: u64,
        value: Option<String>,
        lease: Option<u64>,
    ) -> Response {
        let found = self.values.get(key).map(|held| held.revision);
        if found.unwrap_or(0) != expected {
            return Response::json(409, &json!({ "revision": found }));
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Response::json(400, &json!({ "message": "no such lease" }));
        }
        let revision = self.record(key.to_owned(), value.clone());
        match value {
            Some(value) => {
                self.values.insert(key.to_owned(), Held { revision, value, lease });
            }
            None => {
                self.values.remove(key);
            }
        }
        Response::json(200, &json!({ "revision": revision }))
    }

    fn record(&mut self, key: String, value: Option<String>) -> u64 {
        self.revision += 1;
        self.history.push(Event { key, revision: self.revision, value });
        if self.history.len() > HISTORY_LIMIT {
            self.history.remove(0);
        }
        self.revision
    }

    fn changes(&self, prefix: &str, after: u64) -> (u64, Vec<Event>) {
        let changes = self
            .history
            .iter()
            .filter(|event| event.revision > after && event.key.starts_with(prefix))
            .cloned()
            .collect();
        (self.revision, changes)
    }
}

impl Held {
    fn to_json(&self, key: &str) -> serde_json::Value {
        json!({ "key": key, "revision": self.revision, "value": self.value })
    }
}

fn number(request: &Request, name: &str) -> Option<u64> {
    request.query_value(name).and_then(|text| text.parse().ok())
}

#[async_trait]
impl Handler for Store {
    async fn handle(&self, request: Request) -> Response {
        if request.path == "/faults" {
            return match serde_json::from_slice(&request.body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    Response::json(200, &json!({}))
                }
                Err(error) => Response::json(400, &json!({ "message": error.to_string() })),
            };
        }
        if request.path == "/calls" {
            return Response::json(200, &json!({ "calls": self.calls() }));
        }
        match self.gate() {
            Gate::Outage => Response::json(503, &json!({ "message": "outage" })),
            Gate::Throttled => Response::json(429, &json!({ "message": "rate" })),
            Gate::Open { delay } => {
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                self.route(&request).await
            }
        }
    }
}
