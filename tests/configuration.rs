//! The configuration between real processes' shells: store down, processes lost and started.

mod support;

use std::net::SocketAddr;

use serde_json::{Value, json};
use support::{LIMIT, LOOPBACK, POLL, Platform};
use wire::v1::ReportRequest;
use wire::v1::agent_client::AgentClient;

async fn wait_for_agent(address: SocketAddr, version: u64) {
    let reached = async {
        let mut client = AgentClient::connect(format!("http://{address}")).await.expect("answered");
        loop {
            let request = ReportRequest { asked_by: String::new() };
            let reply = client.report(request).await.expect("answered").into_inner();
            if reply.configuration_version == version {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(LIMIT, reached).await.expect("the agent did not reach the version");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_spreads_and_survives_though_the_store_goes_down_after_the_accept() {
    let platform = Platform::start();
    let reader = platform.entry("entry-1", vec![]).await;
    let listed = vec![reader.peers_address().unwrap()];
    let acceptor = platform.entry("entry-2", listed.clone()).await;
    let agent = platform.agent(listed).await;

    platform.patch(&acceptor, 0, agent.address()).await;
    wait_for_agent(agent.address(), 1).await;
    let accepted = platform.patch(&acceptor, 1, agent.address()).await;
    platform.set_outage(true);
    assert_eq!(accepted["version"], 2);
    platform.wait_for_entry(&reader, 2).await;
    wait_for_agent(agent.address(), 2).await;

    // Every entry process is replaced while the store stays down; one agent is left.
    acceptor.stop().await;
    reader.stop().await;
    let late = platform.entry("entry-3", vec![agent.address()]).await;
    platform.wait_for_entry(&late, 2).await;
    let shown = platform.call(&late, "GET", "/configuration", &Value::Null).await;
    assert_eq!(shown["source"], "in_force");
    assert_eq!(shown["document"]["upstreams"]["fast"]["kind"]["service"]["slots"], 2);

    // The store comes back; the late process patches on from what the store holds.
    platform.set_outage(false);
    assert_eq!(platform.patch(&late, 2, agent.address()).await["version"], 3);
    wait_for_agent(agent.address(), 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_patch_is_in_the_audit_trail_also_when_the_store_was_down() {
    let platform = Platform::start();
    let entry = platform.entry("entry-1", vec![]).await;
    let agent: SocketAddr = (LOOPBACK, 1).into();
    platform.patch(&entry, 0, agent).await;
    let refused = platform.patch(&entry, 7, agent).await;
    assert_eq!(refused["name"], "version_conflict");
    assert!(refused["message"].as_str().unwrap().contains("version 1 is in force"));
    platform.set_outage(true);
    assert_eq!(platform.patch(&entry, 1, agent).await["name"], "store_unavailable");
    platform.set_outage(false);
    let all = async {
        loop {
            let audit = platform.call(&entry, "GET", "/audit", &Value::Null).await;
            if audit.as_array().is_some_and(|records| records.len() == 3) {
                return audit;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    let audit = tokio::time::timeout(LIMIT, all).await.expect("three records");
    let codes: Vec<&Value> = (0..3).map(|row| &audit[row]["outcome"]["refused"]["code"]).collect();
    assert_eq!(codes, [&json!("store_unavailable"), &json!("version_conflict"), &Value::Null]);
    assert_eq!(audit[2]["outcome"]["accepted"], 1);
    assert_eq!((&audit[1]["author"], &audit[1]["against_version"]), (&json!("anna"), &json!(7)));
}
