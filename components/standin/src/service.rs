//! A plain service: bookings, counted by idempotency key, and look-ups.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::json;
use web::{Handler, Request, Response};

use crate::lock;

/// Faults that a service shows.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// Each call takes this much longer, after its effect.
    pub delay_ms: u64,
    /// So many of the next bookings take effect but get no reply.
    pub lost_replies: u32,
}

/// The service. It runs a booking as often as it is told to.
#[derive(Debug, Default)]
pub struct Service {
    delay: Duration,
    runs: Mutex<BTreeMap<String, u32>>,
    faults: Mutex<ServiceFaults>,
}

impl Service {
    /// A service that takes `delay` for each call.
    pub fn new(delay: Duration) -> Service {
        Service { delay, ..Service::default() }
    }

    /// How often each idempotency key ran.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.runs).clone()
    }

    async fn book(&self, key: &str) -> Response {
        *lock(&self.runs).entry(key.to_owned()).or_default() += 1;
        let lose_reply = self.take_lost_reply();
        self.take_time().await;
        if lose_reply {
            std::future::pending::<()>().await;
        }
        Response::json(201, &json!({ "booked": true, "key": key }))
    }

    async fn look_up(&self, path: &str) -> Response {
        self.take_time().await;
        Response::json(200, &json!({ "path": path, "pitch": "A-17" }))
    }

    async fn take_time(&self) {
        let fault = Duration::from_millis(lock(&self.faults).delay_ms);
        tokio::time::sleep(self.delay + fault).await;
    }

    fn take_lost_reply(&self) -> bool {
        let mut faults = lock(&self.faults);
        let lost = faults.lost_replies > 0;
        faults.lost_replies = faults.lost_replies.saturating_sub(1);
        lost
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
                self.book(request.headers.get("idempotency-key").unwrap_or_default()).await
            }
            (_, path) => self.look_up(path).await,
        }
    }
}
