//! Tests of the stand-in engine through its HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use clock::SystemClock;
use serde_json::{Value, json};
use standin::engine::{Engine, EngineSettings, WeightSource, expected_text};
use standin::weights::WeightStore;
use web::{Body, Handler, Request, Response, Server, ServerLimits};

/// Builds a prompt of `blocks` cache blocks (64 tokens of 4 bytes each), followed by `suffix`.
fn build_prompt(blocks: usize, suffix: &str) -> String {
    "wide pitch at the gate. ".repeat(1000)[..blocks * 256].to_owned() + suffix
}

fn fast_settings() -> EngineSettings {
    EngineSettings {
        prefill_tokens_per_s: 1_000_000,
        decode_tokens_per_s: 2_000,
        report_lag: Duration::ZERO,
        ..EngineSettings::default()
    }
}

fn new_engine(settings: EngineSettings) -> Engine {
    Engine::new(settings, Arc::new(SystemClock))
}

async fn call(engine: &Engine, method: &str, target: &str, body: &Value) -> (u16, String) {
    let request = Request::new(method, target).body(body.to_string());
    read_response(engine.handle(request).await).await
}

async fn get_json(engine: &Engine, target: &str) -> Value {
    let (_, body) = call(engine, "GET", target, &Value::Null).await;
    serde_json::from_str(&body).expect("json")
}

async fn read_response(response: Response) -> (u16, String) {
    let body = match response.body {
        Body::Buffered(bytes) => bytes.to_vec(),
        Body::Stream(mut chunks) => {
            let mut bytes = Vec::new();
            while let Some(chunk) = chunks.recv().await {
                bytes.extend_from_slice(&chunk);
            }
            bytes
        }
    };
    (response.status, String::from_utf8_lossy(&body).into_owned())
}

async fn send_completion(engine: &Engine, id: &str, text: &str, tokens: u32) -> Response {
    let body = json!({ "model": "m", "max_tokens": tokens, "stream": true,
        "messages": [{ "role": "user", "content": text }] });
    let request = Request::new("POST", "/v1/chat/completions")
        .header("x-request-id", id)
        .body(body.to_string());
    engine.handle(request).await
}

#[tokio::test]
async fn cached_prefix_is_not_prefilled_again() {
    let engine = new_engine(fast_settings());
    read_response(send_completion(&engine, "a", &build_prompt(4, "one"), 2).await).await;
    let first = get_json(&engine, "/counts").await;
    read_response(send_completion(&engine, "b", &build_prompt(4, "two"), 2).await).await;
    let second = get_json(&engine, "/counts").await;
    assert_eq!(first["prefill_tokens"], 4 * 64 + 1);
    assert_eq!(second["prefill_tokens"], 4 * 64 + 2);
    assert_eq!(second["prefill_tokens_cached"], 4 * 64);
}

#[tokio::test]
async fn cache_over_capacity_evicts_blocks_and_reports_their_removal() {
    let engine =
        new_engine(EngineSettings { cache_tokens: 128, event_gap_one_in: 0, ..fast_settings() });
    read_response(send_completion(&engine, "a", &build_prompt(4, ""), 1).await).await;
    let events = get_json(&engine, "/v1/cache/events?after=0").await;
    let kinds: Vec<&str> =
        events.as_array().unwrap().iter().map(|event| event["kind"].as_str().unwrap()).collect();
    assert_eq!(kinds, ["stored", "stored", "stored", "removed", "stored", "removed"]);
}

#[tokio::test]
async fn cache_events_are_delayed_and_lost_deterministically_by_seed() {
    let lossy = EngineSettings { event_gap_one_in: 3, seed: 7, ..fast_settings() };
    let read_sequence_numbers = async |engine: &Engine| -> Vec<u64> {
        read_response(send_completion(engine, "a", &build_prompt(40, ""), 1).await).await;
        let events = get_json(engine, "/v1/cache/events?after=0").await;
        events.as_array().unwrap().iter().map(|event| event["sequence"].as_u64().unwrap()).collect()
    };
    let first_run = read_sequence_numbers(&new_engine(lossy.clone())).await;
    assert!(first_run.len() < 40 && first_run.len() > 10, "{first_run:?}");
    assert_eq!(first_run, read_sequence_numbers(&new_engine(lossy.clone())).await);
    let delayed = EngineSettings { report_lag: Duration::from_secs(3600), ..lossy };
    assert_eq!(read_sequence_numbers(&new_engine(delayed)).await, Vec::<u64>::new());
}

#[tokio::test]
async fn response_resumes_at_an_offset_and_identifies_its_prompt() {
    let engine = new_engine(fast_settings());
    let (_, whole) = read_response(send_completion(&engine, "a", "who tilts", 20).await).await;
    let (_, rest) = call(&engine, "GET", "/v1/requests/a?offset_bytes=100", &Value::Null).await;
    assert_eq!(whole[100..], rest);
    assert!(whole.contains(expected_text("who tilts", 20).split(' ').nth(19).unwrap()));
    assert_eq!(engine.starts()["a"], 1);
}

#[tokio::test]
async fn prefill_of_a_cancelled_request_counts_as_wasted() {
    let engine = new_engine(EngineSettings { decode_tokens_per_s: 100, ..fast_settings() });
    let mut response = send_completion(&engine, "a", &build_prompt(2, ""), 10_000).await;
    let Body::Stream(chunks) = &mut response.body else { panic!("not streamed") };
    chunks.recv().await.expect("first chunk");
    assert_eq!(call(&engine, "DELETE", "/v1/requests/a", &Value::Null).await.0, 200);
    let (_, rest) = read_response(response).await;
    assert!(!rest.contains("[DONE]"));
    assert_eq!(get_json(&engine, "/counts").await["prefill_tokens_wasted"], 128);
}

#[tokio::test]
async fn frozen_engine_resumes_when_the_fault_is_cleared() {
    let engine = new_engine(fast_settings());
    call(&engine, "POST", "/faults", &json!({ "frozen": true })).await;
    let pending = send_completion(&engine, "a", "tilt", 5).await;
    assert_eq!(get_json(&engine, "/counts").await["decode_tokens"], 0);
    call(&engine, "POST", "/faults", &json!({ "slowdown": 2 })).await;
    assert!(read_response(pending).await.1.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn stale_order_is_rejected_only_when_fencing_is_checked() {
    for (checks_fencing, status, stale) in [(true, 409, 0), (false, 200, 1)] {
        let engine = new_engine(EngineSettings { checks_fencing, ..fast_settings() });
        let role_order =
            |token: u64| json!({ "fencing_token": token, "command": { "role": "decode" } });
        assert_eq!(call(&engine, "POST", "/v1/orders", &role_order(5)).await.0, 200);
        assert_eq!(call(&engine, "POST", "/v1/orders", &role_order(4)).await.0, status);
        assert_eq!(get_json(&engine, "/v1/orders").await["taken_stale"], stale);
    }
}

#[tokio::test]
async fn model_is_served_only_after_its_weights_are_loaded() {
    let weights = WeightStore::new(Arc::new(SystemClock), 100_000_000);
    let address = ([127, 0, 0, 1], 0).into();
    let store =
        Server { address, workers: 1, body_limit_bytes: 1024, limits: ServerLimits::default() };
    let store = store.bind(Arc::new(weights)).expect("weight store");
    let source = WeightSource { address: store.address(), size_bytes: 1_000_000 };
    let engine = new_engine(EngineSettings {
        models: vec!["other".to_owned()],
        weights: Some(source),
        ..fast_settings()
    });
    assert_eq!(send_completion(&engine, "a", "tilt", 1).await.status, 404);
    let load = json!({ "fencing_token": 1, "command": { "load": "m" } });
    assert_eq!(call(&engine, "POST", "/v1/orders", &load).await.0, 202);
    let loaded = async {
        while get_json(&engine, "/v1/orders").await["loading"] != json!([]) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), loaded).await.expect("model loaded");
    assert_eq!(send_completion(&engine, "a", "tilt", 1).await.status, 200);
    tokio::task::spawn_blocking(move || store.stop(false)).await.unwrap();
}

#[tokio::test]
async fn exported_cache_block_can_be_imported_into_another_engine() {
    let (exporter, importer) = (
        new_engine(EngineSettings { event_gap_one_in: 0, ..fast_settings() }),
        new_engine(fast_settings()),
    );
    read_response(send_completion(&exporter, "a", &build_prompt(1, ""), 1).await).await;
    let events = get_json(&exporter, "/v1/cache/events?after=0").await;
    let target = format!("/v1/cache/{}", events[0]["block"].as_str().unwrap());
    assert_eq!(call(&importer, "GET", &target, &Value::Null).await.0, 404);
    assert_eq!(call(&exporter, "GET", &target, &Value::Null).await.0, 200);
    assert_eq!(call(&importer, "PUT", &target, &Value::Null).await.0, 200);
    read_response(send_completion(&importer, "b", &build_prompt(1, "more"), 1).await).await;
    assert_eq!(get_json(&importer, "/counts").await["prefill_tokens_cached"], 64);
}
