//! The platform's stand-ins, entry processes and agents, all in the test's own process.

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
use web::{Client, Handler, Request, Server, ServerHandle};

/// A customer's key and its SHA-256.
const SELLER_KEY: &str = "seller-demo-key";
const SELLER_KEY_SHA256: &str = "7592e31a516f53e163faa414ecf96072df243b42cf12e1bbb6b57d659ddbdf75";

/// After this a test counts as stuck.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);
pub(crate) const POLL: Duration = Duration::from_millis(20);
pub(crate) const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

pub(crate) struct Platform {
    pub(crate) store: Arc<Store>,
    pub(crate) client: Client,
    store_server: ServerHandle,
    hosts_server: ServerHandle,
    desk_server: ServerHandle,
}

fn serve(handler: Arc<dyn Handler>) -> ServerHandle {
    let server = Server { address: (LOOPBACK, 0).into(), workers: 1, body_limit_bytes: 8 << 20 };
    server.bind(handler).expect("set-up")
}

impl Platform {
    pub(crate) fn start() -> Platform {
        let store = Arc::new(Store::new(Arc::new(SystemClock)));
        let hosts = HostListService::new(Arc::new(SystemClock), Duration::ZERO, &["fast"]);
        Platform {
            store_server: serve(store.clone()),
            store,
            hosts_server: serve(Arc::new(hosts)),
            desk_server: serve(Arc::new(Service::new(Duration::ZERO))),
            client: Client::spawn().expect("set-up"),
        }
    }

    pub(crate) fn set_outage(&self, outage: bool) {
        self.store.set_faults(StoreFaults { outage, ..StoreFaults::default() });
    }

    pub(crate) async fn entry(&self, host: &str, listed: Vec<SocketAddr>) -> EntryHandle {
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
            workers: 1,
            log_level: "off".to_owned(),
        };
        Entry { settings, clock: Arc::new(SystemClock) }.spawn().await.expect("set-up")
    }

    pub(crate) async fn agent(&self, listed: Vec<SocketAddr>) -> AgentHandle {
        let address = self.desk_server.address();
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
        Agent { settings, clock: Arc::new(SystemClock) }.spawn().await.expect("set-up")
    }

    #[allow(dead_code, reason = "not every test file reads pages")]
    pub(crate) async fn read(&self, entry: &EntryHandle, path: &str) -> String {
        let request = Request::new("GET", path);
        let answer = self.client.send(entry.operators_address(), request, LIMIT).await;
        let body = answer.expect("answered").read_body().await.expect("answered");
        String::from_utf8_lossy(&body).into_owned()
    }

    pub(crate) async fn call(
        &self,
        entry: &EntryHandle,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Value {
        let request = Request::new(method, path).body(body.to_string());
        let answer = self.client.send(entry.operators_address(), request, LIMIT).await;
        let body = answer.expect("set-up").read_body().await.expect("set-up");
        serde_json::from_slice(&body).expect("set-up")
    }

    pub(crate) async fn patch(
        &self,
        entry: &EntryHandle,
        against: u64,
        agent: SocketAddr,
    ) -> Value {
        let patch = json!({
            "regions": { "riga": { "zones": ["riga-a"] } },
            "services": { "desk": { "calls": [
                { "method": "GET", "path_prefix": "/", "idempotent": true, "tier": 1 } ] } },
            "customers": { "seller": { "key_sha256": [SELLER_KEY_SHA256], "region": "riga",
                "services": ["desk"], "requests_per_s": 100 } },
            "upstreams": { "fast": { "host": "fast", "zone": "riga-a", "agent": agent,
                "kind": { "service": { "service": "desk", "slots": against + 1 } } } } });
        let submission = json!({ "against_version": against, "author": "anna",
            "patch_id": format!("anna-{against}"), "patch": patch });
        self.call(entry, "POST", "/configuration/patches", &submission).await
    }

    /// A look-up by the seller; the status and the request id.
    #[allow(dead_code, reason = "not every test file makes calls")]
    pub(crate) async fn look_up(&self, entry: &EntryHandle) -> (u16, String) {
        let request = Request::new("GET", "/services/desk/pitches/A-17")
            .header("authorization", &format!("Bearer {SELLER_KEY}"));
        let mut answer =
            self.client.send(entry.callers_address(), request, LIMIT).await.expect("set-up");
        answer.read_body().await.expect("set-up");
        let id = answer.headers.get("x-request-id").unwrap_or_default().to_owned();
        (answer.status, id)
    }

    #[allow(dead_code, reason = "not every test file waits")]
    pub(crate) async fn wait_for_entry(&self, entry: &EntryHandle, version: u64) {
        let reached = async {
            while self.call(entry, "GET", "/configuration", &Value::Null).await["version"]
                != version
            {
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(LIMIT, reached).await.expect("the entry did not reach the version");
    }
}
