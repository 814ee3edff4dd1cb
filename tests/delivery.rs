//! Delivery of complete responses to the right caller, over the real runtimes.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cluster::relay::Relay;
use cluster::{
    Call, Cluster, is_complete_stream, read_raw, read_text, spawn_agent, spawn_agent_on,
    spawn_engine, spawn_server,
};
use futures_util::future::join_all;
use serde_json::Value;
use web::{Handler, Request, Response};

/// Engine that ends its response before the end event, with a regular end of the HTTP body.
struct TruncatingEngine;

#[async_trait]
impl Handler for TruncatingEngine {
    async fn handle(&self, request: Request) -> Response {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let is_stream = body.contains("\"stream\":true");
        let content_type = if is_stream { "text/event-stream" } else { "application/json" };
        let (chunks, response) = Response::streamed(200, content_type, 4);
        tokio::spawn(async move {
            let _ = chunks.send("data: {\"half\":1}\n\n".into()).await;
        });
        response
    }
}

/// Code and outcome of an error response or error event.
fn error_code_and_outcome(text: &str) -> (u64, String) {
    let value: Value = serde_json::from_str(text).unwrap();
    let error = value.get("error").unwrap_or(&value);
    (error["code"].as_u64().unwrap(), error["outcome"].as_str().unwrap().to_owned())
}

/// Guards against passing a truncated stream on as a complete one: the engine ends the HTTP body
/// regularly, so that only the missing end event shows the truncation.
#[tokio::test(flavor = "multi_thread")]
async fn stream_truncated_by_the_engine_ends_with_an_error_event() {
    let upstream = spawn_server(Arc::new(TruncatingEngine));
    let agent = spawn_agent("a", upstream.address(), 4).await;
    let cluster = Cluster::spawn(1, &[("a", agent.address())]).await;
    let entry = cluster.entries[0].callers_address();
    let mut response = cluster.send_call(entry, &Call::streamed("", 8)).await;
    let text = read_text(&mut response).await;
    let last = text.split_terminator("\n\n").last().unwrap();
    assert_eq!(
        error_code_and_outcome(last.strip_prefix("data: ").unwrap()),
        (3001, "ran".to_owned())
    );
}

/// Spawns an upstream that closes its connection in the middle of a response.
async fn spawn_disconnecting_upstream() -> std::net::SocketAddr {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind(cluster::loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 4096];
            let count = stream.read(&mut request).await.unwrap_or(0);
            if request[..count].starts_with(b"GET") {
                let _ = stream.write_all(b"HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n").await;
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
                transfer-encoding: chunked\r\n\r\n5\r\n{\"hal\r\n";
            let _ = stream.write_all(head.as_bytes()).await;
        }
    });
    address
}

/// Guards against returning a part of a body as a complete response when the upstream closes its
/// connection in the middle of it.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_results_in_an_error_response() {
    let agent = spawn_agent("a", spawn_disconnecting_upstream().await, 4).await;
    let cluster = Cluster::spawn(1, &[("a", agent.address())]).await;
    let entry = cluster.entries[0].callers_address();
    let call = Call { stream: false, ..Call::streamed("", 8) };
    let mut response = cluster.send_call(entry, &call).await;
    assert_eq!(response.status, 502);
    assert_eq!(error_code_and_outcome(&read_text(&mut response).await), (3001, "ran".to_owned()));
}

/// Guards against incomplete responses and second runs when the open connections to an agent stop
/// forwarding without being closed, while several responses are being sent.
#[tokio::test(flavor = "multi_thread")]
async fn responses_complete_after_their_agent_connection_falls_silent() {
    const TOKENS: u32 = 120;
    const REQUESTS: usize = 3;
    let engine = spawn_engine(100);
    let agent = spawn_agent("a", engine.server.address(), 4).await;
    let relay = Relay::spawn(agent.address()).await;
    let cluster = Cluster::spawn(1, &[("a", relay.address)]).await;
    let entry = cluster.entries[0].callers_address();
    let call = Call::streamed("", TOKENS);
    let calls = (0..REQUESTS).map(|_| cluster.send_call(entry, &call));
    let mut responses = join_all(calls).await;
    responses[0].body.recv().await.unwrap().unwrap();
    relay.silence_connections();
    let mut others = responses.split_off(1);
    for response in &mut others {
        assert!(is_complete_stream(&read_text(response).await, TOKENS));
    }
    assert!(read_text(&mut responses[0]).await.ends_with("data: [DONE]\n\n"));
    let starts = engine.engine.starts();
    assert_eq!((starts.len(), starts.values().max()), (REQUESTS, Some(&1)));
}

/// Guards against taking the reply of a new agent process, which has no record of the request, as
/// proof that the request did not run at the previous process.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_replaced_agent_process_is_not_reported_as_not_run() {
    let engine = spawn_engine(20);
    let first = spawn_agent("a", engine.server.address(), 4).await;
    let relay = Relay::spawn(first.address()).await;
    let cluster = Cluster::spawn(1, &[("a", relay.address)]).await;
    let entry = cluster.entries[0].callers_address();
    let call = Call { stream: false, ..Call::streamed("", 400) };
    let response = cluster.send_call(entry, &call);
    let replace_agent = async {
        while engine.engine.starts().is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // The next connection reaches a new agent process.
        let second = spawn_agent_on(cluster::loopback(), "a", engine.server.address(), 4).await;
        relay.set_target(second.address());
        relay.silence_connections();
        second
    };
    let (mut response, _second) = tokio::join!(response, replace_agent);
    let (code, outcome) = error_code_and_outcome(&read_text(&mut response).await);
    assert_eq!(code, 3002);
    assert_ne!(outcome, "not_run");
    assert_eq!(engine.engine.starts().values().sum::<u32>(), 1);
}

/// Guards against a wrong outcome in the error for a passed deadline: `ran` if the request was
/// running, `not_run` if it was still queued at the agent.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_error_states_whether_the_request_ran() {
    let engine = spawn_engine(20);
    let agent = spawn_agent("a", engine.server.address(), 1).await;
    let cluster = Cluster::spawn(1, &[("a", agent.address())]).await;
    let entry = cluster.entries[0].callers_address();
    let call = |deadline_ms| Call { stream: false, deadline_ms, ..Call::streamed("", 400) };
    let (running, waiting) = (call(900), call(600));
    let send_waiting = async {
        while engine.engine.starts().is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        cluster.send_call(entry, &waiting).await
    };
    let (mut running_response, mut waiting_response) =
        tokio::join!(cluster.send_call(entry, &running), send_waiting);
    assert_eq!(
        error_code_and_outcome(&read_text(&mut running_response).await),
        (2004, "ran".to_owned())
    );
    assert_eq!(
        error_code_and_outcome(&read_text(&mut waiting_response).await),
        (2004, "not_run".to_owned())
    );
    assert_eq!(engine.engine.starts().len(), 1);
}

/// Engine that responds at once with 1 MiB for each requested token.
struct LargeResponseEngine;

#[async_trait]
impl Handler for LargeResponseEngine {
    async fn handle(&self, request: Request) -> Response {
        let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mib = call["max_tokens"].as_u64().unwrap_or(0);
        let (chunks, response) = Response::streamed(200, "text/event-stream", 4);
        tokio::spawn(async move {
            for _ in 0..mib * CHUNKS_PER_MIB {
                let _ = chunks.send(vec![b'x'; (1 << 20) / CHUNKS_PER_MIB as usize].into()).await;
            }
            let _ = chunks.send("data: [DONE]\n\n".into()).await;
        });
        response
    }
}

const CHUNKS_PER_MIB: u64 = 32;

/// Guards against slow callers that block the others: responses that their callers do not read must
/// not hold up the response of another caller from the same agent.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_do_not_read_do_not_block_other_callers() {
    const SLOW_MIB: u32 = 7;
    const SMALL_BUFFER_BYTES: u32 = 4096;
    let upstream = spawn_server(Arc::new(LargeResponseEngine));
    let agent = spawn_agent("a", upstream.address(), 32).await;
    let cluster = Cluster::spawn(1, &[("a", agent.address())]).await;
    let entry = cluster.entries[0].callers_address();
    let call = Call::streamed("", SLOW_MIB);
    let mut slow = join_all((0..8).map(|_| call.send_raw(entry, SMALL_BUFFER_BYTES))).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let quick = Call { deadline_ms: 5_000, ..Call::streamed("", 1) };
    let mut quick = cluster.send_call(entry, &quick).await;
    assert_eq!(read_text(&mut quick).await.len(), (1 << 20) + "data: [DONE]\n\n".len());
    let text = read_raw(&mut slow[0]).await;
    assert!(text.contains("data: [DONE]"), "{}", &text[text.len() - 200..]);
}

/// Guards against a stream that hangs, repeats tokens or is started again when the connection
/// between agent and engine stops forwarding without being closed.
#[tokio::test(flavor = "multi_thread")]
async fn response_resumes_after_the_engine_connection_falls_silent() {
    const TOKENS: u32 = 120;
    let engine = spawn_engine(100);
    let relay = Relay::spawn(engine.server.address()).await;
    let agent = spawn_agent("a", relay.address, 4).await;
    let cluster = Cluster::spawn(1, &[("a", agent.address())]).await;
    let entry = cluster.entries[0].callers_address();
    let call = Call::streamed("", TOKENS);
    let mut response = cluster.send_call(entry, &call).await;
    let first = response.body.recv().await.unwrap().unwrap();
    relay.silence_connections();
    let text = String::from_utf8_lossy(&first).into_owned() + &read_text(&mut response).await;
    assert!(is_complete_stream(&text, TOKENS), "{text}");
    assert_eq!(engine.engine.starts().values().copied().collect::<Vec<_>>(), [1]);
}

/// Guards against a graceful shutdown of the agent that waits for a connection on which nothing was
/// ever sent.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_does_not_delay_agent_shutdown() {
    const STOP_TIMEOUT: Duration = Duration::from_secs(20);
    let engine = spawn_engine(100);
    let agent = spawn_agent("a", engine.server.address(), 4).await;
    let idle = tokio::net::TcpStream::connect(agent.address()).await.unwrap();
    let stopped = tokio::time::timeout(STOP_TIMEOUT, agent.stop()).await;
    drop(idle);
    assert!(stopped.is_ok(), "the agent did not stop in time while an idle connection was open");
}
