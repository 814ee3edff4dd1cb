//! Stand-in for the platform's host list: changes become visible after a lag.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use clock::Clock;
use web::{Handler, Request, Response};

/// State of each host by name.
type HostStates = BTreeMap<String, String>;

/// A host list; `GET` reads it and `PUT` replaces it, whatever the path.
pub struct HostListService {
    clock: Arc<dyn Clock>,
    lag: Duration,
    versions: Mutex<Vec<(Instant, HostStates)>>,
}

impl HostListService {
    /// Creates a list of live hosts, which are visible immediately; changes become visible after
    /// `lag`.
    pub fn new(clock: Arc<dyn Clock>, lag: Duration, live: &[&str]) -> HostListService {
        let list = live.iter().map(|host| ((*host).to_owned(), "live".to_owned())).collect();
        let now = clock.now();
        HostListService { clock, lag, versions: Mutex::new(vec![(now, list)]) }
    }

    fn read_visible(&self) -> HostStates {
        let now = self.clock.now();
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let visible = versions.iter().rev().find(|(at, _)| *at <= now);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Replaces the list; the new one becomes visible after the lag.
    fn replace(&self, list: HostStates) {
        let at = self.clock.now() + self.lag;
        self.versions.lock().unwrap_or_else(PoisonError::into_inner).push((at, list));
    }
}

#[async_trait]
impl Handler for HostListService {
    async fn handle(&self, request: Request) -> Response {
        if request.method == "PUT" {
            return match serde_json::from_slice(&request.body) {
                Ok(list) => {
                    self.replace(list);
                    Response::json(200, &serde_json::json!({}))
                }
                Err(error) => Response::buffered(400, "text/plain", error.to_string()),
            };
        }
        Response::json(200, &self.read_visible())
    }
}
