//! Distribution of the configuration between real runtimes during store outages and restarts of
//! processes.

mod support;

use std::net::SocketAddr;

use serde_json::{Value, json};
use support::{LOOPBACK, POLL_INTERVAL, Platform, TIMEOUT};
use wire::v1::ReportRequest;
use wire::v1::agent_client::AgentClient;

async fn wait_for_agent_version(address: SocketAddr, version: u64) {
    let version_reached = async {
        let mut client = AgentClient::connect(format!("http://{address}"))
            .await
            .expect("connection to the agent");
        loop {
            let request = ReportRequest { asked_by: String::new() };
            let reply = client.report(request).await.expect("agent report").into_inner();
            if reply.configuration_version == version {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, version_reached)
        .await
        .expect("the agent did not reach the version in time");
}

/// Guards against losing an accepted version when the store goes down before the other processes
/// have read it, and when every entry process is replaced during the outage.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_version_spreads_and_outlives_entry_processes_during_store_outage() {
    let platform = Platform::start();
    let receiver = platform.spawn_entry("entry-1", vec![]).await;
    let peers = vec![receiver.peers_address().unwrap()];
    let accepting = platform.spawn_entry("entry-2", peers.clone()).await;
    let agent = platform.spawn_agent(peers).await;

    platform.submit_patch(&accepting, 0, agent.address()).await;
    wait_for_agent_version(agent.address(), 1).await;
    let accepted = platform.submit_patch(&accepting, 1, agent.address()).await;
    platform.set_outage(true);
    assert_eq!(accepted["version"], 2);
    platform.wait_for_version(&receiver, 2).await;
    wait_for_agent_version(agent.address(), 2).await;

    // Every entry process is replaced during the outage; only an agent still has the version.
    accepting.stop().await;
    receiver.stop().await;
    let replacement = platform.spawn_entry("entry-3", vec![agent.address()]).await;
    platform.wait_for_version(&replacement, 2).await;
    let current =
        platform.call_operators(&replacement, "GET", "/configuration", &Value::Null).await;
    assert_eq!(current["source"], "in_force");
    assert_eq!(current["document"]["upstreams"]["fast"]["kind"]["service"]["slots"], 2);

    // After the outage, the new process accepts a patch against the version in the store.
    platform.set_outage(false);
    assert_eq!(platform.submit_patch(&replacement, 2, agent.address()).await["version"], 3);
    wait_for_agent_version(agent.address(), 3).await;
}

/// Guards against an audit trail without the patches that were refused, be it for a version
/// conflict or because the store was down and the record could not be written at once.
#[tokio::test(flavor = "multi_thread")]
async fn refused_patches_are_in_the_audit_trail_even_after_store_outage() {
    let platform = Platform::start();
    let entry = platform.spawn_entry("entry-1", vec![]).await;
    let agent_address: SocketAddr = (LOOPBACK, 1).into();
    platform.submit_patch(&entry, 0, agent_address).await;
    let refused = platform.submit_patch(&entry, 7, agent_address).await;
    assert_eq!(refused["name"], "version_conflict");
    assert!(refused["message"].as_str().unwrap().contains("version 1 is in force"));
    platform.set_outage(true);
    assert_eq!(platform.submit_patch(&entry, 1, agent_address).await["name"], "store_unavailable");
    platform.set_outage(false);
    let audit_complete = async {
        loop {
            let audit = platform.call_operators(&entry, "GET", "/audit", &Value::Null).await;
            if audit.as_array().is_some_and(|records| records.len() == 3) {
                return audit;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let audit = tokio::time::timeout(TIMEOUT, audit_complete)
        .await
        .expect("the audit trail did not reach three records in time");
    let codes: Vec<&Value> = (0..3).map(|row| &audit[row]["outcome"]["refused"]["code"]).collect();
    assert_eq!(codes, [&json!("store_unavailable"), &json!("version_conflict"), &Value::Null]);
    assert_eq!(audit[2]["outcome"]["accepted"], 1);
    assert_eq!((&audit[1]["author"], &audit[1]["against_version"]), (&json!("anna"), &json!(7)));
}
