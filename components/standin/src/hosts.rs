//! Host list: what it is told becomes readable after a lag.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use clock::Clock;
use web::{Handler, Request, Response};

type List = BTreeMap<String, String>;

/// The list.
pub struct Hosts {
    clock: Arc<dyn Clock>,
    lag: Duration,
    versions: Mutex<Vec<(Instant, List)>>,
}

impl Hosts {
    /// A list that shows changes after `lag`; `live` can be read at once.
    pub fn new(clock: Arc<dyn Clock>, lag: Duration, live: &[&str]) -> Hosts {
        let list = live.iter().map(|host| ((*host).to_owned(), "live".to_owned())).collect();
        let now = clock.now();
        Hosts { clock, lag, versions: Mutex::new(vec![(now, list)]) }
    }

    fn read(&self) -> List {
        let now = self.clock.now();
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let shown = versions.iter().rev().find(|(at, _)| *at <= now);
        shown.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Replaces the list; readers see it after the lag.
    fn replace(&self, list: List) {
        let at = self.clock.now() + self.lag;
        self.versions.lock().unwrap_or_else(PoisonError::into_inner).push((at, list));
    }
}

#[async_trait]
impl Handler for Hosts {
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
        Response::json(200, &self.read())
    }
}
