//! Stand-in for the platform's key-value store: compare-and-swap, leases and watches, with
//! injected faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use clock::Clock;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use web::{Handler, Request, Response};

/// Changes that are retained for watches.
const RETAINED_CHANGES: usize = 4096;

const MAX_VALUE_BYTES: usize = 1 << 20;

/// Faults that are injected into the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFaults {
    /// All calls fail without effect.
    pub outage: bool,
    /// Additional delay of each call.
    pub delay_ms: u64,
    /// Number of next writes that take effect but get no reply.
    pub lost_replies: u32,
    /// Calls admitted per second; 0 is no limit.
    pub calls_per_s: u32,
}

/// A key-value store behind HTTP.
pub struct Store {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    write_signal: watch::Sender<u64>,
}

struct State {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    faults: StoreFaults,
    calls: u64,
    /// Start of the current rate limit window of one second, and the calls in it.
    rate_window: Option<(Instant, u32)>,
}

struct StoredValue {
    revision: u64,
    value: String,
    lease: Option<u64>,
}

struct Lease {
    duration: Duration,
    expires_at: Instant,
}

#[derive(Debug, Clone, Serialize)]
struct Change {
    key: String,
    revision: u64,
    value: Option<String>,
}

enum CallAdmission {
    Admitted { delay: Duration },
    Outage,
    Throttled,
}

impl Store {
    /// Creates an empty store.
    pub fn new(clock: Arc<dyn Clock>) -> Store {
        let state = State {
            revision: 0,
            values: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            faults: StoreFaults::default(),
            calls: 0,
            rate_window: None,
        };
        Store { clock, state: Mutex::new(state), write_signal: watch::channel(0).0 }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state().faults = faults;
    }

    /// Returns the number of calls received, except those of the test interface (`/faults`,
    /// `/calls`).
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call, expires leases and applies the injected outage, rate limit and delay.
    fn admit_call(&self) -> CallAdmission {
        let now = self.clock.now();
        let mut state = self.state();
        state.calls += 1;
        state.expire_leases(now);
        if state.faults.outage {
            return CallAdmission::Outage;
        }
        if !state.try_acquire_call(now) {
            return CallAdmission::Throttled;
        }
        CallAdmission::Admitted { delay: Duration::from_millis(state.faults.delay_ms) }
    }

    async fn route(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv") => self.handle_read(request),
            ("PUT", "/kv") => self.handle_write(request, Some(request.body.to_vec())).await,
            ("DELETE", "/kv") => self.handle_write(request, None).await,
            ("POST", "/leases") => self.handle_grant_lease(request),
            ("PUT", "/leases") => self.handle_renew_lease(request),
            ("GET", "/watch") => self.handle_watch(request).await,
            _ => Response::json(400, &json!({ "message": "unknown method or path" })),
        }
    }

    fn handle_read(&self, request: &Request) -> Response {
        let state = self.state();
        if let Some(prefix) = request.query_value("prefix") {
            let matches: Vec<_> = state
                .values
                .range(prefix.to_owned()..)
                .take_while(|(key, _)| key.starts_with(prefix))
                .map(|(key, stored)| stored.to_json(key))
                .collect();
            return Response::json(200, &matches);
        }
        let key = request.query_value("key").unwrap_or_default();
        match state.values.get(key) {
            Some(stored) => Response::json(200, &stored.to_json(key)),
            None => Response::json(404, &json!({})),
        }
    }

    async fn handle_write(&self, request: &Request, value: Option<Vec<u8>>) -> Response {
        let key = request.query_value("key").unwrap_or_default().to_owned();
        let expected = query_number(request, "expected").unwrap_or(0);
        let lease = query_number(request, "lease");
        let value = match value.map(String::from_utf8).transpose() {
            Ok(value) => value,
            Err(_) => {
                return Response::json(400, &json!({ "message": "value is not valid UTF-8" }));
            }
        };
        if value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return Response::json(400, &json!({ "message": "value too large" }));
        }
        let (response, lose_reply) = {
            let mut state = self.state();
            let response = state.compare_and_swap(&key, expected, value, lease);
            let lose_reply = state.faults.lost_replies > 0;
            state.faults.lost_replies = state.faults.lost_replies.saturating_sub(1);
            (response, lose_reply)
        };
        self.write_signal.send_modify(|count| *count += 1);
        if lose_reply {
            std::future::pending::<()>().await;
        }
        response
    }

    fn handle_grant_lease(&self, request: &Request) -> Response {
        let duration = Duration::from_millis(query_number(request, "duration_ms").unwrap_or(1000));
        let expires_at = self.clock.now() + duration;
        let mut state = self.state();
        let lease = state.next_lease;
        state.next_lease += 1;
        state.leases.insert(lease, Lease { duration, expires_at });
        Response::json(200, &json!({ "lease": lease }))
    }

    fn handle_renew_lease(&self, request: &Request) -> Response {
        let now = self.clock.now();
        let lease = query_number(request, "lease").unwrap_or(0);
        match self.state().leases.get_mut(&lease) {
            Some(lease) => {
                lease.expires_at = now + lease.duration;
                Response::json(200, &json!({}))
            }
            None => Response::json(404, &json!({})),
        }
    }

    async fn handle_watch(&self, request: &Request) -> Response {
        let prefix = request.query_value("prefix").unwrap_or_default().to_owned();
        let after = query_number(request, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or(0));
        let mut write_signal = self.write_signal.subscribe();
        let timeout = tokio::time::sleep(wait);
        tokio::pin!(timeout);
        loop {
            let (revision, changes) = self.state().changes_after(&prefix, after);
            if !changes.is_empty() {
                return Response::json(200, &json!({ "revision": revision, "changes": changes }));
            }
            tokio::select! {
                _ = write_signal.changed() => {}
                () = &mut timeout => {
                    let no_changes: [Change; 0] = [];
                    return Response::json(200, &json!({ "revision": revision, "changes": no_changes }));
                }
            }
        }
    }
}

impl State {
    /// Counts a call against the injected rate limit; returns whether it is within the limit.
    fn try_acquire_call(&mut self, now: Instant) -> bool {
        let limit = self.faults.calls_per_s;
        if limit == 0 {
            return true;
        }
        let (start, count) = self.rate_window.unwrap_or((now, 0));
        let window_ended = now.duration_since(start) >= Duration::from_secs(1);
        let (start, count) = if window_ended { (now, 0) } else { (start, count) };
        self.rate_window = Some((start, count + 1));
        count < limit
    }

    fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .values
                .iter()
                .filter(|(_, stored)| stored.lease == Some(id))
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.values.remove(&key);
                self.record_change(key, None);
            }
        }
    }

    fn compare_and_swap(
        &mut self,
        key: &str,
        expected: u64,
        value: Option<String>,
        lease: Option<u64>,
    ) -> Response {
        let current = self.values.get(key).map(|stored| stored.revision);
        if current.unwrap_or(0) != expected {
            return Response::json(409, &json!({ "revision": current }));
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Response::json(400, &json!({ "message": "no such lease" }));
        }
        let revision = self.record_change(key.to_owned(), value.clone());
        match value {
            Some(value) => {
                self.values.insert(key.to_owned(), StoredValue { revision, value, lease });
            }
            None => {
                self.values.remove(key);
            }
        }
        Response::json(200, &json!({ "revision": revision }))
    }

    fn record_change(&mut self, key: String, value: Option<String>) -> u64 {
        self.revision += 1;
        self.history.push(Change { key, revision: self.revision, value });
        if self.history.len() > RETAINED_CHANGES {
            self.history.remove(0);
        }
        self.revision
    }

    fn changes_after(&self, prefix: &str, after: u64) -> (u64, Vec<Change>) {
        let changes = self
            .history
            .iter()
            .filter(|change| change.revision > after && change.key.starts_with(prefix))
            .cloned()
            .collect();
        (self.revision, changes)
    }
}

impl StoredValue {
    fn to_json(&self, key: &str) -> serde_json::Value {
        json!({ "key": key, "revision": self.revision, "value": self.value })
    }
}

fn query_number(request: &Request, name: &str) -> Option<u64> {
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
        match self.admit_call() {
            CallAdmission::Outage => Response::json(503, &json!({ "message": "injected outage" })),
            CallAdmission::Throttled => {
                Response::json(429, &json!({ "message": "injected call rate limit exceeded" }))
            }
            CallAdmission::Admitted { delay } => {
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                self.route(&request).await
            }
        }
    }
}
