//! Stand-ins of the platform, entries and agents, all run in the process of the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agent::{Agent, AgentHandle, UpstreamSettings};
use clock::SystemClock;
use entry::{Entry, EntryHandle, PeerSettings, PlatformSettings};
use identity::{HostId, UpstreamId, ZoneId};
use serde_json::{Value, json};
use standin::hosts::HostListService;
use standin::service::Service;
use standin::store::{Store, StoreFaults};
use web::{Client, Handler, Request, Server, ServerHandle, ServerLimits};

/// Bearer key of the customer `seller`.
const SELLER_KEY: &str = "seller-demo-key";

/// SHA-256 of the bearer key.
const SELLER_KEY_SHA256: &str = "7592e31a516f53e163faa414ecf96072df243b42cf12e1bbb6b57d659ddbdf75";

/// Timeout of each call and wait; it exceeds what any of them takes unless the test is stuck.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);
pub(crate) const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

/// The store, the host list and one service, each on a loopback port.
pub(crate) struct Platform {
    pub(crate) store: Arc<Store>,
    pub(crate) client: Client,
    store_server: ServerHandle,
    hosts_server: ServerHandle,
    service_server: ServerHandle,
}

fn spawn_server(handler: Arc<dyn Handler>) -> ServerHandle {
    let server = Server {
        address: (LOOPBACK, 0).into(),
        workers: 1,
        body_limit_bytes: 8 << 20,
        limits: ServerLimits::default(),
    };
    server.bind(handler).expect("binding the server")
}

impl Platform {
    pub(crate) fn start() -> Platform {
        let store = Arc::new(Store::new(Arc::new(SystemClock)));
        let hosts = HostListService::new(Arc::new(SystemClock), Duration::ZERO, &["fast"]);
        Platform {
            store_server: spawn_server(store.clone()),
            store,
            hosts_server: spawn_server(Arc::new(hosts)),
            service_server: spawn_server(Arc::new(Service::new(Duration::ZERO))),
            client: Client::spawn().expect("starting the client"),
        }
    }

    pub(crate) fn set_outage(&self, outage: bool) {
        self.store.set_faults(StoreFaults { outage, ..StoreFaults::default() });
    }

    pub(crate) async fn spawn_entry(&self, host: &str, listed: Vec<SocketAddr>) -> EntryHandle {
        let settings = entry::Settings {
            listen: (LOOPBACK, 0).into(),
            operators_listen: (LOOPBACK, 0).into(),
            host: HostId::new(host),
            zone: ZoneId::new("riga-a"),
            platform: PlatformSettings::Http {
                store: self.store_server.address(),
                host_list: self.hosts_server.address(),
            },
            peers: PeerSettings { listen: Some((LOOPBACK, 0).into()), listed },
            callers: entry::CallerSettings::default(),
            workers: 1,
            log_level: "off".to_owned(),
        };
        Entry { settings, clock: Arc::new(SystemClock) }.spawn().await.expect("starting the entry")
    }

    pub(crate) async fn spawn_agent(&self, listed: Vec<SocketAddr>) -> AgentHandle {
        let address = self.service_server.address();
        let settings = agent::Settings {
            listen: (LOOPBACK, 0).into(),
            host: HostId::new("fast"),
            zone: ZoneId::new("riga-a"),
            upstream: UpstreamId::new("fast"),
            adapter: UpstreamSettings::HttpService { address },
            slots: 1,
            peers: listed,
            log_level: "off".to_owned(),
        };
        Agent { settings, clock: Arc::new(SystemClock) }.spawn().await.expect("starting the agent")
    }

    /// Reads a page of the operators' address as text.
    #[allow(dead_code, reason = "not used by every test file")]
    pub(crate) async fn read_operators_page(&self, entry: &EntryHandle, path: &str) -> String {
        let request = Request::new("GET", path);
        let response = self.client.send(entry.operators_address(), request, TIMEOUT).await;
        let body = response.expect("response").read_body().await.expect("response");
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Calls the operators' address and returns the body of the response as JSON.
    pub(crate) async fn call_operators(
        &self,
        entry: &EntryHandle,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Value {
        let request = Request::new(method, path).body(body.to_string());
        let response = self.client.send(entry.operators_address(), request, TIMEOUT).await;
        let body = response.expect("response").read_body().await.expect("response");
        serde_json::from_slice(&body).expect("JSON body")
    }

    /// Submits a patch against a version. It sets the slots of the service to that version plus 1.
    pub(crate) async fn submit_patch(
        &self,
        entry: &EntryHandle,
        against_version: u64,
        agent: SocketAddr,
    ) -> Value {
        let patch = json!({
            "regions": { "riga": { "zones": ["riga-a"] } },
            "services": { "desk": { "calls": [
                { "method": "GET", "path_prefix": "/", "idempotent": true, "tier": 1 } ] } },
            "customers": { "seller": { "key_sha256": [SELLER_KEY_SHA256], "region": "riga",
                "services": ["desk"], "requests_per_s": 100 } },
            "upstreams": { "fast": { "host": "fast", "zone": "riga-a", "agent": agent,
                "kind": { "service": { "service": "desk", "slots": against_version + 1 } } } } });
        let submission = json!({ "against_version": against_version, "author": "anna",
            "patch_id": format!("anna-{against_version}"), "patch": patch });
        self.call_operators(entry, "POST", "/configuration/patches", &submission).await
    }

    /// Looks up a pitch as the customer `seller`; returns the status and the request id.
    #[allow(dead_code, reason = "not used by every test file")]
    pub(crate) async fn look_up(&self, entry: &EntryHandle) -> (u16, String) {
        let request = Request::new("GET", "/services/desk/pitches/A-17")
            .header("authorization", &format!("Bearer {SELLER_KEY}"));
        let mut response =
            self.client.send(entry.callers_address(), request, TIMEOUT).await.expect("response");
        response.read_body().await.expect("response");
        let id = response.headers.get("x-request-id").unwrap_or_default().to_owned();
        (response.status, id)
    }

    /// Waits until an entry has a configuration version.
    #[allow(dead_code, reason = "not used by every test file")]
    pub(crate) async fn wait_for_version(&self, entry: &EntryHandle, version: u64) {
        let version_reached = async {
            while self.call_operators(entry, "GET", "/configuration", &Value::Null).await["version"]
                != version
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, version_reached)
            .await
            .expect("the entry did not reach the version in time");
    }
}
