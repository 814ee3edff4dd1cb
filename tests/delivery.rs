//! Whole answers to the right caller, over the real shells.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cluster::relay::Relay;
use cluster::{Call, Cluster, agent, agent_at, engine, is_whole, read, read_raw, serve};
use futures_util::future::join_all;
use serde_json::Value;
use web::{Handler, Request, Response};

/// An engine that ends its answer early, in due form.
struct EndsEarly;

#[async_trait]
impl Handler for EndsEarly {
    async fn handle(&self, request: Request) -> Response {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let is_stream = body.contains("\"stream\":true");
        let kind = if is_stream { "text/event-stream" } else { "application/json" };
        let (pieces, response) = Response::streamed(200, kind, 4);
        tokio::spawn(async move {
            let _ = pieces.send("data: {\"half\":1}\n\n".into()).await;
        });
        response
    }
}

fn error_of(text: &str) -> (u64, String) {
    let value: Value = serde_json::from_str(text).unwrap();
    let error = value.get("error").unwrap_or(&value);
    (error["code"].as_u64().unwrap(), error["outcome"].as_str().unwrap().to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_the_engine_ends_early_ends_with_an_error_event() {
    let upstream = serve(Arc::new(EndsEarly));
    let agent = agent("a", upstream.address(), 4).await;
    let cluster = Cluster::spawn(1, &[("a", agent.address())]).await;
    let entry = cluster.entries[0].callers_address();
    let mut response = cluster.ask(entry, &Call::streamed("", 8)).await;
    let text = read(&mut response).await;
    let last = text.split_terminator("\n\n").last().unwrap();
    assert_eq!(error_of(last.strip_prefix("data: ").unwrap()), (3001, "ran".to_owned()));
}

/// An upstream that closes its connection in the middle of an answer.
async fn spawn_breaking_upstream() -> std::net::SocketAddr {
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

#[tokio::test(flavor = "multi_thread")]
async fn half_a_body_is_never_given_as_a_whole_answer() {
    let agent = agent("a", spawn_breaking_upstream().await, 4).await;
    let cluster = Cluster::spawn(1, &[("a", agent.address())]).await;
    let entry = cluster.entries[0].callers_address();
    let call = Call { stream: false, ..Call::streamed("", 8) };
    let mut response = cluster.ask(entry, &call).await;
    assert_eq!(response.status, 502);
    assert_eq!(error_of(&read(&mut response).await), (3001, "ran".to_owned()));
}

#[tokio::test(flavor = "multi_thread")]
async fn every_answer_on_a_connection_that_falls_silent_arrives_whole() {
    const TOKENS: u32 = 120;
    const REQUESTS: usize = 3;
    let engine = engine(100);
    let agent = agent("a", engine.server.address(), 4).await;
    let relay = Relay::spawn(agent.address()).await;
    let cluster = Cluster::spawn(1, &[("a", relay.address)]).await;
    let entry = cluster.entries[0].callers_address();
    let call = Call::streamed("", TOKENS);
    let asked = (0..REQUESTS).map(|_| cluster.ask(entry, &call));
    let mut responses = join_all(asked).await;
    responses[0].body.recv().await.unwrap().unwrap();
    relay.silence();
    let mut others = responses.split_off(1);
    for response in &mut others {
        assert!(is_whole(&read(response).await, TOKENS));
    }
    assert!(read(&mut responses[0]).await.ends_with("data: [DONE]\n\n"));
    let starts = engine.engine.starts();
    assert_eq!((starts.len(), starts.values().max()), (REQUESTS, Some(&1)));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_ran_on_a_process_that_is_gone_is_never_called_not_run() {
    let engine = engine(20);
    let first = agent("a", engine.server.address(), 4).await;
    let relay = Relay::spawn(first.address()).await;
    let cluster = Cluster::spawn(1, &[("a", relay.address)]).await;
    let entry = cluster.entries[0].callers_address();
    let call = Call { stream: false, ..Call::streamed("", 400) };
    let asked = cluster.ask(entry, &call);
    let replace = async {
        while engine.engine.starts().is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // The next connection goes to a process that has just started.
        let second = agent_at(cluster::loopback(), "a", engine.server.address(), 4).await;
        relay.lead_to(second.address());
        relay.silence();
        second
    };
    let (mut response, _second) = tokio::join!(asked, replace);
    let (code, outcome) = error_of(&read(&mut response).await);
    assert_eq!(code, 3002);
    assert_ne!(outcome, "not_run");
    assert_eq!(engine.engine.starts().values().sum::<u32>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_passed_deadline_is_answered_with_what_became_of_the_request() {
    let engine = engine(20);
    let agent = agent("a", engine.server.address(), 1).await;
    let cluster = Cluster::spawn(1, &[("a", agent.address())]).await;
    let entry = cluster.entries[0].callers_address();
    let call = |deadline_ms| Call { stream: false, deadline_ms, ..Call::streamed("", 400) };
    let (running, waiting) = (call(900), call(600));
    let later = async {
        while engine.engine.starts().is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        cluster.ask(entry, &waiting).await
    };
    let (mut ran, mut waited) = tokio::join!(cluster.ask(entry, &running), later);
    assert_eq!(error_of(&read(&mut ran).await), (2004, "ran".to_owned()));
    assert_eq!(error_of(&read(&mut waited).await), (2004, "not_run".to_owned()));
    assert_eq!(engine.engine.starts().len(), 1);
}

/// An engine that answers at once and at length: a MiB for each token that is asked for.
struct Longwinded;

#[async_trait]
impl Handler for Longwinded {
    async fn handle(&self, request: Request) -> Response {
        let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mib = call["max_tokens"].as_u64().unwrap_or(0);
        let (pieces, response) = Response::streamed(200, "text/event-stream", 4);
        tokio::spawn(async move {
            for _ in 0..mib * PIECES_PER_MIB {
                let _ = pieces.send(vec![b'x'; (1 << 20) / PIECES_PER_MIB as usize].into()).await;
            }
            let _ = pieces.send("data: [DONE]\n\n".into()).await;
        });
        response
    }
}

const PIECES_PER_MIB: u64 = 32;

#[tokio::test(flavor = "multi_thread")]
async fn callers_who_take_nothing_do_not_stop_the_others() {
    const SLOW_MIB: u32 = 7;
    const SMALL_BUFFER_BYTES: u32 = 4096;
    let upstream = serve(Arc::new(Longwinded));
    let agent = agent("a", upstream.address(), 32).await;
    let cluster = Cluster::spawn(1, &[("a", agent.address())]).await;
    let entry = cluster.entries[0].callers_address();
    let call = Call::streamed("", SLOW_MIB);
    let mut slow = join_all((0..8).map(|_| call.send_raw(entry, SMALL_BUFFER_BYTES))).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let quick = Call { deadline_ms: 5_000, ..Call::streamed("", 1) };
    let mut quick = cluster.ask(entry, &quick).await;
    assert_eq!(read(&mut quick).await.len(), (1 << 20) + "data: [DONE]\n\n".len());
    let text = read_raw(&mut slow[0]).await;
    assert!(text.contains("data: [DONE]"), "{}", &text[text.len() - 200..]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_read_on_where_the_connection_to_the_engine_falls_silent() {
    const TOKENS: u32 = 120;
    let engine = engine(100);
    let relay = Relay::spawn(engine.server.address()).await;
    let agent = agent("a", relay.address, 4).await;
    let cluster = Cluster::spawn(1, &[("a", agent.address())]).await;
    let entry = cluster.entries[0].callers_address();
    let call = Call::streamed("", TOKENS);
    let mut response = cluster.ask(entry, &call).await;
    let first = response.body.recv().await.unwrap().unwrap();
    relay.silence();
    let text = String::from_utf8_lossy(&first).into_owned() + &read(&mut response).await;
    assert!(is_whole(&text, TOKENS), "{text}");
    assert_eq!(engine.engine.starts().values().copied().collect::<Vec<_>>(), [1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_nobody_speaks_on_does_not_hold_up_a_planned_stop() {
    const STOP_LIMIT: Duration = Duration::from_secs(20);
    let engine = engine(100);
    let agent = agent("a", engine.server.address(), 4).await;
    let silent = tokio::net::TcpStream::connect(agent.address()).await.unwrap();
    let stopped = tokio::time::timeout(STOP_LIMIT, agent.stop()).await;
    drop(silent);
    assert!(stopped.is_ok(), "the agent waits for a connection that never spoke");
}
