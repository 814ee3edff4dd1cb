//! Two processes on loopback: a small change travels small, and a wrong delta does no harm.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::SystemClock;
use configuration::layout::{Delta, Parts};
use configuration::{ActiveConfiguration, Document, Snapshot, apply_patch};
use identity::{ConfigVersion, ZoneId};
use peers::{PeerSync, PeerSyncHandle};
use prost::Message;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use wire::v1::peer_client::PeerClient;
use wire::v1::{FetchConfigurationReply, FetchConfigurationRequest};

/// After this a test counts as stuck.
const LIMIT: Duration = Duration::from_secs(30);

fn document_of(customers: usize) -> Document {
    let customer = |number: usize| {
        let value = json!({ "key_sha256": [format!("{number:064x}")], "region": "riga",
            "requests_per_s": 10 });
        (format!("customer-{number:05}"), value)
    };
    let customers: serde_json::Map<String, Value> = (0..customers).map(customer).collect();
    let patch = json!({ "regions": { "riga": { "zones": [] } }, "customers": customers });
    apply_patch(&Document::default(), &patch).expect("a document")
}

fn rate(requests_per_s: u32) -> Value {
    json!({ "customers": { "customer-00001": { "requests_per_s": requests_per_s } } })
}

/// The snapshot after a change of one customer; `patch` is what peers are told that it was.
fn change(before: &Snapshot, requests_per_s: u32, patch: Value) -> Snapshot {
    let document = apply_patch(&before.document, &rate(requests_per_s)).expect("a patch");
    let version = ConfigVersion(before.version.0 + 1);
    let document_sha256 = Parts::split(&document).expect("parts").digest();
    let delta = Delta { version, patch: Some(patch), document_sha256, replaced: Vec::new() };
    let deltas = before.deltas.iter().cloned().chain([Arc::new(delta)]).collect();
    Snapshot::new(version, document).with_deltas(deltas)
}

async fn start(
    active_configuration: Arc<ActiveConfiguration>,
    listed: Vec<SocketAddr>,
) -> (SocketAddr, PeerSyncHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let peers = PeerSync {
        own_address: Some(address),
        listed,
        zone: ZoneId::new("riga-a"),
        store: None,
        active_configuration,
        clock: Arc::new(SystemClock),
    }
    .spawn()
    .expect("started");
    let server = tonic::transport::Server::builder()
        .add_service(peers.service())
        .serve_with_incoming(TcpListenerStream::new(listener));
    tokio::spawn(server);
    (address, peers)
}

async fn fetch(address: SocketAddr, held_version: u64, whole: bool) -> FetchConfigurationReply {
    let mut client = PeerClient::connect(format!("http://{address}")).await.expect("connected");
    let request = FetchConfigurationRequest { held_version, holder: String::new(), whole };
    client.fetch_configuration(request).await.expect("answered").into_inner()
}

async fn wait_for(active_configuration: &ActiveConfiguration, version: u64) -> Arc<Snapshot> {
    let reached = async {
        while active_configuration.version() != ConfigVersion(version) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LIMIT, reached).await.expect("the version arrives");
    active_configuration.load().expect("in force")
}

#[tokio::test]
async fn a_peer_a_little_behind_gets_the_deltas_and_one_far_behind_is_told_so() {
    let first = Snapshot::new(ConfigVersion(7), document_of(500));
    let second = change(&first, 11, rate(11));
    let active_configuration = Arc::new(ActiveConfiguration::new());
    active_configuration.install_if_newer(second);
    let (address, _peers) = start(active_configuration, vec![]).await;
    let behind = fetch(address, 7, false).await;
    println!("question and delta={} bytes", behind.encoded_len());
    assert_eq!((behind.version, behind.deltas.len(), behind.document.len()), (8, 1, 0));
    assert!(behind.encoded_len() < 400, "{}", behind.encoded_len());
    let far = fetch(address, 5, false).await;
    assert_eq!((far.version, far.deltas.len(), far.document.len()), (8, 0, 0));
    assert!(fetch(address, 5, true).await.document.len() > 50_000);
    assert!(fetch(address, 8, true).await.document.is_empty());
}

#[tokio::test]
async fn a_delta_that_makes_another_document_is_not_taken_but_the_document_is() {
    let (near, far) = (Arc::new(ActiveConfiguration::new()), Arc::new(ActiveConfiguration::new()));
    let (address, peers) = start(near.clone(), vec![]).await;
    near.install_if_newer(Snapshot::new(ConfigVersion(7), document_of(50)));
    let (_, _follower) = start(far.clone(), vec![address]).await;
    let held = wait_for(&far, 7).await;
    near.install_if_newer(change(&held, 12, rate(99)));
    peers.announce_version(ConfigVersion(8)).await;
    let taken = wait_for(&far, 8).await;
    let rates = taken.document.customers.values().map(|customer| customer.requests_per_s);
    assert_eq!(rates.max(), Some(12));
}
