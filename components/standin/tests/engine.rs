//! The engine stand-in through its HTTP calls.

use std::sync::Arc;
use std::time::Duration;

use clock::SystemClock;
use serde_json::{Value, json};
use standin::engine::{Engine, EngineSettings, WeightSource, expected_text};
use standin::weights::Weights;
use web::{Body, Handler, Request, Response, Server};

/// Tokens of a prompt of so many blocks of 64.
fn prompt(blocks: usize, last: &str) -> String {
    "wide pitch at the gate. ".repeat(1000)[..blocks * 256].to_owned() + last
}

fn fast() -> EngineSettings {
    EngineSettings {
        prefill_tokens_per_s: 1_000_000,
        decode_tokens_per_s: 2_000,
        report_lag: Duration::ZERO,
        ..EngineSettings::default()
    }
}

fn engine(settings: EngineSettings) -> Engine {
    Engine::new(settings, Arc::new(SystemClock))
}

async fn call(engine: &Engine, method: &str, target: &str, body: &Value) -> (u16, String) {
    let request = Request::new(method, target).body(body.to_string());
    read(engine.handle(request).await).await
}

async fn json_of(engine: &Engine, target: &str) -> Value {
    let (_, body) = call(engine, "GET", target, &Value::Null).await;
    serde_json::from_str(&body).expect("json")
}

async fn read(response: Response) -> (u16, String) {
    let body = match response.body {
        Body::Buffered(bytes) => bytes.to_vec(),
        Body::Stream(mut pieces) => {
            let mut whole = Vec::new();
            while let Some(piece) = pieces.recv().await {
                whole.extend_from_slice(&piece);
            }
            whole
        }
    };
    (response.status, String::from_utf8_lossy(&body).into_owned())
}

async fn open(engine: &Engine, id: &str, text: &str, tokens: u32) -> Response {
    let body = json!({ "model": "m", "max_tokens": tokens, "stream": true,
        "messages": [{ "role": "user", "content": text }] });
    let request = Request::new("POST", "/v1/chat/completions")
        .header("x-request-id", id)
        .body(body.to_string());
    engine.handle(request).await
}

#[tokio::test]
async fn cached_prefix_is_not_computed_again() {
    let engine = engine(fast());
    read(open(&engine, "a", &prompt(4, "one"), 2).await).await;
    let first = json_of(&engine, "/counts").await;
    read(open(&engine, "b", &prompt(4, "two"), 2).await).await;
    let second = json_of(&engine, "/counts").await;
    assert_eq!(first["prefill_tokens"], 4 * 64 + 1);
    assert_eq!(second["prefill_tokens"], 4 * 64 + 2);
    assert_eq!(second["prefill_tokens_cached"], 4 * 64);
}

#[tokio::test]
async fn cache_is_bounded_and_tells_what_it_drops() {
    let engine = engine(EngineSettings { cache_tokens: 128, event_gap_one_in: 0, ..fast() });
    read(open(&engine, "a", &prompt(4, ""), 1).await).await;
    let events = json_of(&engine, "/v1/cache/events?after=0").await;
    let kinds: Vec<&str> =
        events.as_array().unwrap().iter().map(|event| event["kind"].as_str().unwrap()).collect();
    assert_eq!(kinds, ["stored", "stored", "stored", "removed", "stored", "removed"]);
}

#[tokio::test]
async fn cache_events_are_late_and_have_gaps_by_the_seed() {
    let lossy = EngineSettings { event_gap_one_in: 3, seed: 7, ..fast() };
    let numbers = async |engine: &Engine| -> Vec<u64> {
        read(open(engine, "a", &prompt(40, ""), 1).await).await;
        let events = json_of(engine, "/v1/cache/events?after=0").await;
        events.as_array().unwrap().iter().map(|event| event["sequence"].as_u64().unwrap()).collect()
    };
    let once = numbers(&engine(lossy.clone())).await;
    assert!(once.len() < 40 && once.len() > 10, "{once:?}");
    assert_eq!(once, numbers(&engine(lossy.clone())).await);
    let late = EngineSettings { report_lag: Duration::from_secs(3600), ..lossy };
    assert_eq!(numbers(&engine(late)).await, Vec::<u64>::new());
}

#[tokio::test]
async fn answer_resumes_from_an_offset_and_names_its_prompt() {
    let engine = engine(fast());
    let (_, whole) = read(open(&engine, "a", "who tilts", 20).await).await;
    let (_, rest) = call(&engine, "GET", "/v1/requests/a?offset_bytes=100", &Value::Null).await;
    assert_eq!(whole[100..], rest);
    assert!(whole.contains(expected_text("who tilts", 20).split(' ').nth(19).unwrap()));
    assert_eq!(engine.starts()["a"], 1);
}

#[tokio::test]
async fn cancelled_request_counts_its_prefill_as_wasted() {
    let engine = engine(EngineSettings { decode_tokens_per_s: 100, ..fast() });
    let mut response = open(&engine, "a", &prompt(2, ""), 10_000).await;
    let Body::Stream(pieces) = &mut response.body else { panic!("not streamed") };
    pieces.recv().await.expect("a first piece");
    assert_eq!(call(&engine, "DELETE", "/v1/requests/a", &Value::Null).await.0, 200);
    let (_, rest) = read(response).await;
    assert!(!rest.contains("[DONE]"));
    assert_eq!(json_of(&engine, "/counts").await["prefill_tokens_wasted"], 128);
}

#[tokio::test]
async fn frozen_engine_goes_on_when_it_is_thawed() {
    let engine = engine(fast());
    call(&engine, "POST", "/faults", &json!({ "frozen": true })).await;
    let pending = open(&engine, "a", "tilt", 5).await;
    assert_eq!(json_of(&engine, "/counts").await["decode_tokens"], 0);
    call(&engine, "POST", "/faults", &json!({ "slowdown": 2 })).await;
    assert!(read(pending).await.1.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn stale_order_is_refused_only_where_tokens_are_checked() {
    for (checks_fencing, status, stale) in [(true, 409, 0), (false, 200, 1)] {
        let engine = engine(EngineSettings { checks_fencing, ..fast() });
        let role = |token: u64| json!({ "fencing_token": token, "command": { "role": "decode" } });
        assert_eq!(call(&engine, "POST", "/v1/orders", &role(5)).await.0, 200);
        assert_eq!(call(&engine, "POST", "/v1/orders", &role(4)).await.0, status);
        assert_eq!(json_of(&engine, "/v1/orders").await["taken_stale"], stale);
    }
}

#[tokio::test]
async fn model_is_served_once_its_weights_are_loaded() {
    let weights = Weights::new(Arc::new(SystemClock), 100_000_000);
    let address = ([127, 0, 0, 1], 0).into();
    let store = Server { address, workers: 1, body_limit_bytes: 1024 };
    let store = store.bind(Arc::new(weights)).expect("weight store");
    let source = WeightSource { address: store.address(), size_bytes: 1_000_000 };
    let engine = engine(EngineSettings {
        models: vec!["other".to_owned()],
        weights: Some(source),
        ..fast()
    });
    assert_eq!(open(&engine, "a", "tilt", 1).await.status, 404);
    let load = json!({ "fencing_token": 1, "command": { "load": "m" } });
    assert_eq!(call(&engine, "POST", "/v1/orders", &load).await.0, 202);
    let loaded = async {
        while json_of(&engine, "/v1/orders").await["loading"] != json!([]) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), loaded).await.expect("loaded in the end");
    assert_eq!(open(&engine, "a", "tilt", 1).await.status, 200);
    tokio::task::spawn_blocking(move || store.stop(false)).await.unwrap();
}

#[tokio::test]
async fn exported_block_can_be_imported_elsewhere() {
    let (one, two) = (engine(EngineSettings { event_gap_one_in: 0, ..fast() }), engine(fast()));
    read(open(&one, "a", &prompt(1, ""), 1).await).await;
    let events = json_of(&one, "/v1/cache/events?after=0").await;
    let target = format!("/v1/cache/{}", events[0]["block"].as_str().unwrap());
    assert_eq!(call(&two, "GET", &target, &Value::Null).await.0, 404);
    assert_eq!(call(&one, "GET", &target, &Value::Null).await.0, 200);
    assert_eq!(call(&two, "PUT", &target, &Value::Null).await.0, 200);
    read(open(&two, "b", &prompt(1, "more"), 1).await).await;
    assert_eq!(json_of(&two, "/counts").await["prefill_tokens_cached"], 64);
}
