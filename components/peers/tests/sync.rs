//! Configuration exchange between two processes over loopback: a small change is sent as a small
//! delta, and a wrong delta is rejected.

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

/// Time after which a test fails because the version has not arrived.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(30);

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

fn rate_patch(requests_per_s: u32) -> Value {
    json!({ "customers": { "customer-00001": { "requests_per_s": requests_per_s } } })
}

/// Returns the snapshot after a change of one customer's rate. `patch` is the patch in the delta
/// that peers receive, which may differ from the actual change.
fn change_rate(before: &Snapshot, requests_per_s: u32, patch: Value) -> Snapshot {
    let document = apply_patch(&before.document, &rate_patch(requests_per_s)).expect("a patch");
    let version = ConfigVersion(before.version.0 + 1);
    let document_sha256 = Parts::split(&document).expect("parts").digest();
    let delta = Delta { version, patch: Some(patch), document_sha256, replaced: Vec::new() };
    let deltas = before.deltas.iter().cloned().chain([Arc::new(delta)]).collect();
    Snapshot::new(version, document).with_deltas(deltas)
}

async fn spawn_peer(
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
    client.fetch_configuration(request).await.expect("a reply").into_inner()
}

async fn wait_for(active_configuration: &ActiveConfiguration, version: u64) -> Arc<Snapshot> {
    let reached = async {
        while active_configuration.version() != ConfigVersion(version) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(ARRIVAL_TIMEOUT, reached).await.expect("the version arrives in time");
    active_configuration.load().expect("active configuration")
}

/// Guards against sending the whole document for a small change: a peer gets only the deltas if
/// they reach back to its version. If they do not, the reply has neither deltas nor document, and
/// the peer has to request the document. A peer that is up to date gets no document even if it
/// requests one.
#[tokio::test]
async fn peer_gets_deltas_if_they_reach_back_to_its_version_and_the_document_on_request() {
    let first = Snapshot::new(ConfigVersion(7), document_of(500));
    let second = change_rate(&first, 11, rate_patch(11));
    let active_configuration = Arc::new(ActiveConfiguration::new());
    active_configuration.install_if_newer(second);
    let (address, _peers) = spawn_peer(active_configuration, vec![]).await;
    let behind = fetch(address, 7, false).await;
    println!("reply with delta={} bytes", behind.encoded_len());
    assert_eq!((behind.version, behind.deltas.len(), behind.document.len()), (8, 1, 0));
    assert!(behind.encoded_len() < 400, "{}", behind.encoded_len());
    let far_behind = fetch(address, 5, false).await;
    assert_eq!((far_behind.version, far_behind.deltas.len(), far_behind.document.len()), (8, 0, 0));
    assert!(fetch(address, 5, true).await.document.len() > 50_000);
    assert!(fetch(address, 8, true).await.document.is_empty());
}

/// Guards against installing a wrong document: the patch in the delta leads to a document whose
/// digest differs from the announced one. The peer must discard it and fetch the whole document.
#[tokio::test]
async fn peer_fetches_the_document_if_a_delta_does_not_match_its_digest() {
    let (source_configuration, follower_configuration) =
        (Arc::new(ActiveConfiguration::new()), Arc::new(ActiveConfiguration::new()));
    let (address, peers) = spawn_peer(source_configuration.clone(), vec![]).await;
    source_configuration.install_if_newer(Snapshot::new(ConfigVersion(7), document_of(50)));
    let (_, _follower) = spawn_peer(follower_configuration.clone(), vec![address]).await;
    let held = wait_for(&follower_configuration, 7).await;
    source_configuration.install_if_newer(change_rate(&held, 12, rate_patch(99)));
    peers.announce_version(ConfigVersion(8)).await;
    let installed = wait_for(&follower_configuration, 8).await;
    let rates = installed.document.customers.values().map(|customer| customer.requests_per_s);
    assert_eq!(rates.max(), Some(12));
}
