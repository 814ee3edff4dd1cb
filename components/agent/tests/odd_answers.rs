//! Upstreams in trouble that answer with what cannot be the answer to a request.

use std::net::SocketAddr;
use std::time::Duration;

use agent::core::UpstreamEvent;
use agent::upstream::{HttpEngine, HttpService, Upstream};
use bytes::Bytes;
use identity::{ConfigVersion, CustomerId, DispatchEpoch, ModelId, RequestId, ServiceId, Tier};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use web::Client;
use wire::{Dispatch, ModelCall, RequestKey, ServiceCall, Work};

const EVENT_CAPACITY: usize = 16;

fn dispatch(work: Work) -> Dispatch {
    Dispatch {
        key: RequestKey { customer: CustomerId::new("c"), request_id: RequestId::new("r") },
        epoch: DispatchEpoch(1),
        tier: Tier(1),
        time_left: Duration::from_secs(5),
        config_version: ConfigVersion(1),
        process: None,
        registration: None,
        work,
    }
}

fn service_call() -> Dispatch {
    dispatch(Work::Service(ServiceCall {
        service: ServiceId::new("desk"),
        method: "POST".to_owned(),
        target: "/book".to_owned(),
        content_type: String::new(),
        idempotency_key: "k".to_owned(),
        body: Bytes::new(),
    }))
}

fn model_call() -> Dispatch {
    dispatch(Work::Model(ModelCall {
        model: ModelId::new("m"),
        body: Bytes::from_static(b"{}"),
        prompt_tokens: 100,
        max_tokens: 10,
    }))
}

/// Answers each new request with `first`, and requests for the rest of a response with `rest`, then
/// closes the connection.
async fn serve(first: &'static str, rest: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind listener");
    let address = listener.local_addr().expect("local address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 4 << 10];
            let length = stream.read(&mut request).await.unwrap_or(0);
            let answer = if request[..length].starts_with(b"GET ") { rest } else { first };
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// The events of an upstream's response to a request.
async fn events_of(upstream: &dyn Upstream, dispatch: &Dispatch) -> Vec<UpstreamEvent> {
    let (sender, mut receiver) = mpsc::channel(EVENT_CAPACITY);
    let collect = async {
        let mut events = Vec::new();
        while let Some(event) = receiver.recv().await {
            events.push(event);
        }
        events
    };
    let (events, ()) = tokio::join!(collect, upstream.start_request(dispatch, sender));
    events
}

/// Guards against a caller that gets an answer that no upstream can have meant.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_that_no_answer_has_is_passed_on() {
    let answers = [
        "HTTP/1.1 999 Trouble\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\n\r\n",
        "HTTP/1.1 206 Partial Content\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
    ];
    let mut passed_on = Vec::new();
    for answer in answers {
        let address = serve(answer, answer).await;
        let client = Client::spawn().expect("start client");
        let service = HttpService::new(client.clone(), address);
        let engine = HttpEngine::new(client, address);
        for events in
            [events_of(&service, &service_call()).await, events_of(&engine, &model_call()).await]
        {
            if !matches!(events[..], [UpstreamEvent::Failed(_)]) {
                passed_on.push((answer, events));
            }
        }
    }
    assert_eq!(passed_on, []);
}

/// Guards against an error text in the middle of a stream that broke off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_error_text_is_the_rest_of_a_stream() {
    let first = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 99\r\n\r\ndata: 1\n\n";
    let rest = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n{\"error\": 1}";
    let address = serve(first, rest).await;
    let engine = HttpEngine::new(Client::spawn().expect("start client"), address);
    let events = events_of(&engine, &model_call()).await;
    let passed_on: Vec<&Bytes> = events
        .iter()
        .filter_map(|event| match event {
            UpstreamEvent::Data(bytes) => Some(bytes),
            _ => None,
        })
        .collect();
    assert_eq!(passed_on, [&b"data: 1\n\n"[..]]);
    assert!(matches!(events.last(), Some(UpstreamEvent::Failed(_))), "{events:?}");
}
