//! Bookings sent to two entry processes at once, over the real runtimes and with faults of the
//! store. A booking with one idempotency key must run at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use agent::{Agent, AgentHandle, UpstreamSettings};
use clock::{Clock, SystemClock};
use entry::controllers::claims::list_unsettled;
use entry::{Entry, EntryHandle, PlatformSettings};
use identity::{HostId, UpstreamId, ZoneId};
use serde_json::{Value, json};
use standin::hosts::HostListService;
use standin::service::Service;
use standin::store::{Store, StoreFaults};
use store::HttpStore;
use web::{Client, Handler, Request, Server, ServerHandle, ServerLimits};

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const API_KEY: &str = "seller-demo-key";
const API_KEY_SHA256: &str = "7592e31a516f53e163faa414ecf96072df243b42cf12e1bbb6b57d659ddbdf75";

/// Two entry processes, a booking service with its agent, and the platform.
struct TestSite {
    client: Client,
    store: Arc<Store>,
    service: Arc<Service>,
    entries: Vec<EntryHandle>,
    agent: AgentHandle,
    service_address: SocketAddr,
    platform: PlatformSettings,
    _servers: Vec<ServerHandle>,
}

#[derive(Debug, Clone, PartialEq)]
struct CallerResponse {
    status: u16,
    body: String,
}

impl CallerResponse {
    /// Name and outcome in the body of an error response.
    fn error_name_and_outcome(&self) -> (String, String) {
        let body: Value = serde_json::from_str(&self.body).expect("JSON");
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        (text("name"), text("outcome"))
    }
}

/// Name and outcome as [`CallerResponse::error_name_and_outcome`] returns them.
fn expected_error(name: &str, outcome: &str) -> (String, String) {
    (name.to_owned(), outcome.to_owned())
}

fn spawn_server(handler: Arc<dyn Handler>) -> ServerHandle {
    let address = (LOOPBACK, 0).into();
    Server { address, workers: 1, body_limit_bytes: 1 << 20, limits: ServerLimits::default() }
        .bind(handler)
        .expect("bind")
}

async fn spawn_agent(service: SocketAddr) -> AgentHandle {
    let settings = agent::Settings {
        listen: (LOOPBACK, 0).into(),
        host: HostId::new("desk"),
        zone: ZoneId::new("riga-a"),
        upstream: UpstreamId::new("desk"),
        adapter: UpstreamSettings::HttpService { address: service },
        slots: 8,
        peers: Vec::new(),
        log_level: "off".to_owned(),
    };
    Agent { settings, clock: Arc::new(SystemClock) }.spawn().await.expect("agent")
}

async fn spawn_entry(platform: PlatformSettings) -> EntryHandle {
    let settings = entry::Settings {
        listen: (LOOPBACK, 0).into(),
        operators_listen: (LOOPBACK, 0).into(),
        host: HostId::new("entry"),
        zone: ZoneId::new("riga-a"),
        platform,
        callers: entry::CallerSettings::default(),
        workers: 1,
        peers: entry::PeerSettings::default(),
        log_level: "off".to_owned(),
    };
    Entry { settings, clock: Arc::new(SystemClock) }.spawn().await.expect("entry")
}

impl TestSite {
    async fn spawn(delay: Duration) -> TestSite {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let store = Arc::new(Store::new(clock.clone()));
        let service = Arc::new(Service::new(delay));
        let store_server = spawn_server(store.clone());
        let hosts =
            spawn_server(Arc::new(HostListService::new(clock.clone(), Duration::ZERO, &["desk"])));
        let service_server = spawn_server(service.clone());
        let service_address = service_server.address();
        let agent = spawn_agent(service_address).await;
        let mut entries = Vec::new();
        let platform =
            PlatformSettings::Http { store: store_server.address(), host_list: hosts.address() };
        for _ in 0..2 {
            entries.push(spawn_entry(platform.clone()).await);
        }
        let site = TestSite {
            client: Client::spawn().expect("client"),
            store,
            service,
            entries,
            agent,
            service_address,
            platform,
            _servers: vec![store_server, hosts, service_server],
        };
        site.apply_configuration().await;
        site
    }

    async fn apply_configuration(&self) {
        let document = json!({
            "regions": { "riga": { "zones": ["riga-a"] } },
            "services": { "desk": { "calls": [
                { "method": "POST", "path_prefix": "/bookings", "idempotent": false, "tier": 1 },
                { "method": "GET", "path_prefix": "/", "idempotent": true, "tier": 1 } ] } },
            "upstreams": { "desk": { "host": "desk", "zone": "riga-a",
                "agent": self.agent.address(),
                "kind": { "service": { "service": "desk", "slots": 8 } } } },
            "customers": { "seller": { "key_sha256": [API_KEY_SHA256], "region": "riga",
                "services": ["desk"], "requests_per_s": 10_000 } },
        });
        self.submit_patch(0, &document).await;
        for entry in 0..self.entries.len() {
            self.wait_until_ready(entry).await;
        }
    }

    async fn submit_patch(&self, against_version: u64, patch: &Value) {
        let submission = json!({ "against_version": against_version, "author": "test",
            "patch_id": against_version.to_string(), "patch": patch });
        let response = self.send_to_operators("POST", "/configuration/patches", &submission).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }

    async fn wait_until_ready(&self, entry: usize) {
        let address = self.entries[entry].operators_address();
        while self.send(address, Request::new("GET", "/readyz")).await.status != 200 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn send(&self, address: SocketAddr, request: Request) -> CallerResponse {
        let mut response =
            self.client.send(address, request, CALL_TIMEOUT).await.expect("response");
        let body = response.read_body().await.expect("body");
        CallerResponse {
            status: response.status,
            body: String::from_utf8_lossy(&body).into_owned(),
        }
    }

    async fn send_to_operators(&self, method: &str, path: &str, body: &Value) -> CallerResponse {
        let request = Request::new(method, path).body(body.to_string());
        self.send(self.entries[0].operators_address(), request).await
    }

    async fn book(&self, entry: usize, key: &str, body: &str) -> CallerResponse {
        let request = Request::new("POST", "/services/desk/bookings")
            .header("authorization", &format!("Bearer {API_KEY}"))
            .header("idempotency-key", key)
            .body(body.to_owned());
        self.send(self.entries[entry].callers_address(), request).await
    }

    fn run_count(&self, key: &str) -> u32 {
        self.service.runs().get(key).copied().unwrap_or_default()
    }
}

/// Guards against a second run when two entries claim the same key at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_bookings_through_two_entries_run_once_and_get_the_same_response() {
    let site = TestSite::spawn(Duration::from_millis(50)).await;
    for round in 0..10 {
        let key = format!("pitch-{round}");
        let (one, two) = tokio::join!(site.book(0, &key, "{}"), site.book(1, &key, "{}"));
        assert_eq!((one.status, &one), (201, &two));
        assert_eq!(site.run_count(&key), 1);
    }
}

/// Guards against taking a claim write without a reply for a failed one, and claiming again.
#[tokio::test(flavor = "multi_thread")]
async fn booking_runs_once_when_replies_to_claim_writes_are_lost() {
    let site = TestSite::spawn(Duration::from_millis(50)).await;
    site.store.set_faults(StoreFaults { lost_replies: 2, ..StoreFaults::default() });
    let (one, two) = tokio::join!(site.book(0, "lost", "{}"), site.book(1, "lost", "{}"));
    assert_eq!((one.status, &one), (201, &two));
    assert_eq!(site.run_count("lost"), 1);
}

/// Guards against a booking that runs without a claim, or is reported with a wrong outcome, while
/// no claim can be written.
#[tokio::test(flavor = "multi_thread")]
async fn booking_is_refused_as_not_run_during_a_store_outage() {
    let site = TestSite::spawn(Duration::ZERO).await;
    site.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    let refused = site.book(0, "down", "{}").await;
    assert_eq!(
        (refused.status, refused.error_name_and_outcome()),
        (503, expected_error("store_unavailable", "not_run"))
    );
    assert!(refused.body.contains("retry_after_ms"));
    assert_eq!(site.run_count("down"), 0);
    site.store.set_faults(StoreFaults::default());
    assert_eq!(site.book(1, "down", "{}").await.status, 201);
    assert_eq!(site.run_count("down"), 1);
}

/// Guards against a second run after an outage of the store that starts while the booking runs, so
/// that its claim is still open when the caller repeats it.
#[tokio::test(flavor = "multi_thread")]
async fn booking_whose_outcome_could_not_be_written_is_not_run_again() {
    let site = TestSite::spawn(Duration::from_millis(300)).await;
    let outage = async {
        while site.run_count("late") == 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        site.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    };
    let (first, ()) = tokio::join!(site.book(0, "late", "{}"), outage);
    assert_eq!(first.status, 201);
    site.store.set_faults(StoreFaults::default());
    assert_eq!(site.book(1, "late", "{}").await, first);
    assert_eq!(site.run_count("late"), 1);
}

/// Guards against returning the response of a different call that used the same key.
#[tokio::test(flavor = "multi_thread")]
async fn idempotency_key_with_another_body_is_refused() {
    let site = TestSite::spawn(Duration::ZERO).await;
    assert_eq!(site.book(0, "reused", "{}").await.status, 201);
    let refused = site.book(1, "reused", "{\"other\":1}").await;
    assert_eq!(
        (refused.status, refused.error_name_and_outcome()),
        (409, expected_error("idempotency_key_reused", "not_run"))
    );
    assert_eq!(site.run_count("reused"), 1);
}

/// Guards against a second run after the agent restarts: the new process has no record of the
/// booking, which does not mean that the booking did not run.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_agent_is_not_mistaken_for_one_that_never_received_the_booking() {
    let mut site = TestSite::spawn(Duration::from_secs(30)).await;
    let deadline = Request::new("POST", "/services/desk/bookings")
        .header("authorization", &format!("Bearer {API_KEY}"))
        .header("idempotency-key", "restart")
        .header("x-deadline-ms", "400")
        .body("{}");
    let first = site.send(site.entries[0].callers_address(), deadline).await;
    assert_eq!(first.error_name_and_outcome(), expected_error("deadline_passed", "unknown"));
    // A new agent process serves the same upstream, and a new entry has never been connected to
    // the old one.
    let agent = spawn_agent(site.service_address).await;
    site.submit_patch(1, &json!({ "upstreams": { "desk": { "agent": agent.address() } } })).await;
    site.entries.push(spawn_entry(site.platform.clone()).await);
    site.wait_until_ready(2).await;
    let second = site.book(2, "restart", "{}").await;
    assert_eq!(second.error_name_and_outcome(), expected_error("upstream_lost", "unknown"));
    settle_as_operator(&site).await;
    let third = site.book(1, "restart", "{}").await;
    assert_eq!(third.error_name_and_outcome(), expected_error("already_ran", "ran"));
    assert_eq!(site.run_count("restart"), 1);
}

/// Lists the open claim as of a minute later, when it counts as unsettled, and settles it as `ran`.
async fn settle_as_operator(site: &TestSite) {
    let PlatformSettings::Http { store, .. } = site.platform;
    let store = HttpStore::new(site.client.clone(), store);
    let minute_later = SystemTime::now() + Duration::from_secs(61);
    let unsettled = list_unsettled(&store, minute_later).await.expect("list");
    assert_eq!(unsettled.len(), 1);
    let settlement_at = |revision: u64| {
        json!({ "customer": "seller", "idempotency_key": "restart", "revision": revision,
            "outcome": "ran", "author": "ilze", "reason": "found in the list of bookings" })
    };
    let revision = unsettled[0].revision.0;
    let stale =
        site.send_to_operators("POST", "/claims/settlements", &settlement_at(revision - 1)).await;
    assert_eq!(
        (stale.status, stale.error_name_and_outcome()),
        (409, expected_error("version_conflict", "not_run"))
    );
    let settled =
        site.send_to_operators("POST", "/claims/settlements", &settlement_at(revision)).await;
    assert_eq!(settled.status, 200, "{}", settled.body);
    assert!(settled.body.contains("\"author\":\"ilze\""));
    assert_eq!(list_unsettled(&store, minute_later).await.expect("list"), []);
}
