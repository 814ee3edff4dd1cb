//! Stand-in for a plain service: bookings, counted by idempotency key, and look-ups.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::json;
use web::{Handler, Request, Response};

use crate::lock;

/// Faults that are injected into a service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// Additional delay of each response, after the call has taken effect.
    pub delay_ms: u64,
    /// Number of next bookings that take effect but get no reply.
    pub lost_replies: u32,
}

/// A plain service without deduplication: it runs a booking each time that it is called.
#[derive(Debug, Default)]
pub struct Service {
    delay: Duration,
    runs: Mutex<BTreeMap<String, u32>>,
    faults: Mutex<ServiceFaults>,
}

impl Service {
    /// Creates a service that takes `delay` for each call.
    pub fn new(delay: Duration) -> Service {
        Service { delay, ..Service::default() }
    }

    /// Returns the number of times that bookings ran, by idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.runs).clone()
    }

    async fn handle_booking(&self, key: &str) -> Response {
        *lock(&self.runs).entry(key.to_owned()).or_default() += 1;
        let lose_reply = self.consume_lost_reply();
        self.simulate_delay().await;
        if lose_reply {
            std::future::pending::<()>().await;
        }
        Response::json(201, &json!({ "booked": true, "key": key }))
    }

    async fn handle_look_up(&self, path: &str) -> Response {
        self.simulate_delay().await;
        Response::json(200, &json!({ "path": path, "pitch": "A-17" }))
    }

    async fn simulate_delay(&self) {
        let fault_delay = Duration::from_millis(lock(&self.faults).delay_ms);
        tokio::time::sleep(self.delay + fault_delay).await;
    }

    /// Returns whether the reply to a booking is to be lost; counts it against the injected number.
    fn consume_lost_reply(&self) -> bool {
        let mut faults = lock(&self.faults);
        let lose_reply = faults.lost_replies > 0;
        faults.lost_replies = faults.lost_replies.saturating_sub(1);
        lose_reply
    }

    fn set_faults(&self, request: &Request) -> Response {
        match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                *lock(&self.faults) = faults;
                Response::json(200, &json!({}))
            }
            Err(error) => Response::json(400, &json!({ "message": error.to_string() })),
        }
    }
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, request: Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/runs") => Response::json(200, &self.runs()),
            ("POST", "/faults") => self.set_faults(&request),
            ("POST", _) => {
                self.handle_booking(request.headers.get("idempotency-key").unwrap_or_default())
                    .await
            }
            (_, path) => self.handle_look_up(path).await,
        }
    }
}
