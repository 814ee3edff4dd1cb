//! A plain service: bookings, counted by idempotency key, and look-ups.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use serde_json::json;
use web::{Handler, Request, Response};

/// The service.
#[derive(Debug, Default)]
pub struct Service {
    delay: Duration,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Service {
    /// A service that takes `delay` for each call.
    pub fn new(delay: Duration) -> Service {
        Service { delay, runs: Mutex::default() }
    }

    /// How often each idempotency key ran.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn count(&self, key: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(key.to_owned()).or_default() += 1;
    }
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, request: Request) -> Response {
        if request.path == "/runs" {
            return Response::json(200, &self.runs());
        }
        let key = request.headers.get("idempotency-key").unwrap_or_default();
        if request.method == "POST" {
            self.count(key);
        }
        tokio::time::sleep(self.delay).await;
        match request.method.as_str() {
            "POST" => Response::json(201, &json!({ "booked": true, "key": key })),
            _ => Response::json(200, &json!({ "path": request.path, "pitch": "A-17" })),
        }
    }
}
