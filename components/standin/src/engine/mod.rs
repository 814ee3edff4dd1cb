//! Stand-in for a model engine: continuous batching and a prefix cache behind a chat completions
//! API over HTTP.

mod batch;
mod cache;
mod orders;
mod responses;
mod settings;

pub use responses::expected_text;
pub use settings::{EngineFaults, EngineSettings, WeightSource};

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use clock::Clock;
use log::warn;
use serde::{Deserialize, Serialize};
use serde_json::json;
use web::{Client, Handler, Request, Response};

use crate::lock;
use batch::{Batch, StepResult};
use cache::{BLOCK_TOKENS, BlockHash, PrefixCache, hash_blocks};
use orders::{OrderEffect, OrderState};
use responses::{ResponseBuffer, ResponseBuffers};

/// Bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of exported KV cache per token.
const KV_BYTES_PER_TOKEN: u32 = 64;

/// Tokens to generate for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Interval at which a frozen engine checks whether the fault has ended.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout for the response head of the weight store.
const WEIGHT_STORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Load samples that are retained, as reports show the load of `report_lag` ago.
const RETAINED_LOAD_SAMPLES: usize = 4096;

/// A stand-in for a model engine.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

struct Shared {
    settings: EngineSettings,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

struct State {
    batch: Batch,
    cache: PrefixCache,
    responses: ResponseBuffers,
    orders: OrderState,
    faults: EngineFaults,
    /// Number of starts by request id.
    starts: BTreeMap<String, u32>,
    counts: Counts,
    load_samples: VecDeque<(Instant, Load)>,
    /// Whether a task runs [`Engine::run_steps`].
    is_run_loop_active: bool,
}

/// Token counters of an engine since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub prefill_tokens_cached: u64,
    /// Prompt tokens computed for requests that were cancelled.
    pub prefill_tokens_wasted: u64,
    /// Tokens generated.
    pub decode_tokens: u64,
}

#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Load {
    running: usize,
    prefill_tokens_left: u64,
    decode_tokens_left: u64,
}

/// Next action of the engine's run loop.
enum NextStep {
    Idle,
    Frozen,
    Step(StepResult, Duration),
}

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(settings: EngineSettings, clock: Arc<dyn Clock>) -> Engine {
        let state = State {
            batch: Batch::default(),
            cache: PrefixCache::new(&settings),
            responses: ResponseBuffers::default(),
            orders: OrderState::new(&settings),
            faults: EngineFaults::default(),
            starts: BTreeMap::new(),
            counts: Counts::default(),
            load_samples: VecDeque::new(),
            is_run_loop_active: false,
        };
        Engine { shared: Arc::new(Shared { settings, clock, state: Mutex::new(state) }) }
    }

    /// Returns the number of times that each request was started, by request id.
    pub fn starts(&self) -> BTreeMap<String, u32> {
        lock(&self.shared.state).starts.clone()
    }

    fn handle_completion(&self, request: &Request) -> Response {
        let call: CompletionRequest = match serde_json::from_slice(&request.body) {
            Ok(call) => call,
            Err(error) => return Response::json(400, &json!({ "message": error.to_string() })),
        };
        if !lock(&self.shared.state).orders.serves_model(&call.model) {
            return Response::json(404, &json!({ "message": "the model is not loaded" }));
        }
        let id = request.headers.get("x-request-id").unwrap_or_default();
        let response = self.admit_request(id, &call);
        response.to_http_response(0)
    }

    fn admit_request(&self, id: &str, call: &CompletionRequest) -> Arc<ResponseBuffer> {
        let prompt: String = call.messages.iter().map(|message| message.content.as_str()).collect();
        let response = ResponseBuffer::new(&prompt, call.stream);
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
        let mut state = lock(&self.shared.state);
        *state.starts.entry(id.to_owned()).or_default() += 1;
        state.responses.insert(id, response.clone());
        let cached = state.cache.look_up_prefix(&hash_blocks(&prompt));
        state.counts.prefill_tokens_cached += u64::from(cached);
        // The last prompt token is always computed, as the first generated token depends on it.
        let prefill = prompt_tokens.saturating_sub(cached).max(1);
        let tokens = call.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
        state.batch.add_request(id, prefill, tokens);
        if !state.is_run_loop_active {
            state.is_run_loop_active = true;
            let engine = self.clone();
            tokio::spawn(async move { engine.run_steps().await });
        }
        response
    }

    /// Runs steps until the batch is empty.
    async fn run_steps(&self) {
        loop {
            match self.next_step() {
                NextStep::Idle => return,
                NextStep::Frozen => tokio::time::sleep(FROZEN_POLL_INTERVAL).await,
                NextStep::Step(step, duration) => {
                    tokio::time::sleep(duration).await;
                    let now = self.shared.clock.now();
                    lock(&self.shared.state).apply_step(&step, now);
                }
            }
        }
    }

    fn next_step(&self) -> NextStep {
        let mut state = lock(&self.shared.state);
        if state.faults.frozen {
            return NextStep::Frozen;
        }
        if state.batch.is_empty() {
            state.is_run_loop_active = false;
            return NextStep::Idle;
        }
        let step = state.batch.run_step(&self.shared.settings);
        let duration = step.duration * state.faults.slowdown.max(1);
        NextStep::Step(step, duration)
    }

    fn cancel_request(&self, id: &str) -> Response {
        let mut state = lock(&self.shared.state);
        let Some(computed) = state.batch.remove_request(id) else {
            return Response::json(404, &json!({}));
        };
        state.counts.prefill_tokens_wasted += u64::from(computed);
        state.responses.finish(id, false);
        Response::json(200, &json!({}))
    }

    fn resume_response(&self, id: &str, request: &Request) -> Response {
        let offset = request.query_value("offset_bytes").and_then(|text| text.parse().ok());
        match lock(&self.shared.state).responses.get(id) {
            Some(response) => response.to_http_response(offset.unwrap_or(0)),
            None => Response::json(404, &json!({})),
        }
    }

    fn report_cache_events(&self, request: &Request) -> Response {
        let after = request.query_value("after").and_then(|text| text.parse().ok());
        let now = self.shared.clock.now();
        let events = lock(&self.shared.state).cache.events_after(after.unwrap_or(0), now);
        Response::json(200, &events)
    }

    fn report_load(&self) -> Response {
        let visible_at = self.shared.clock.now().checked_sub(self.shared.settings.report_lag);
        let state = lock(&self.shared.state);
        let sample = state.load_samples.iter().rev().find(|(at, _)| Some(*at) <= visible_at);
        Response::json(200, &sample.map(|(_, load)| *load).unwrap_or_default())
    }

    fn export_block(&self, block: &str) -> Response {
        let cached =
            parse_block(block).filter(|hash| lock(&self.shared.state).cache.contains(*hash));
        match cached {
            Some(_) => {
                let size_bytes = (BLOCK_TOKENS * KV_BYTES_PER_TOKEN) as usize;
                Response::buffered(200, "application/octet-stream", vec![0; size_bytes])
            }
            None => Response::json(404, &json!({})),
        }
    }

    fn import_block(&self, block: &str) -> Response {
        let Some(block) = parse_block(block) else { return Response::json(400, &json!({})) };
        let now = self.shared.clock.now();
        lock(&self.shared.state).cache.insert(&[block], now);
        Response::json(200, &json!({}))
    }

    fn apply_order(&self, request: &Request) -> Response {
        let order = match serde_json::from_slice(&request.body) {
            Ok(order) => order,
            Err(error) => return Response::json(400, &json!({ "message": error.to_string() })),
        };
        let model = match lock(&self.shared.state).orders.apply(order) {
            OrderEffect::Done(response) => return response,
            OrderEffect::Load(model) => model,
        };
        let engine = self.clone();
        tokio::spawn(async move {
            match engine.fetch_weights(&model).await {
                Ok(()) => lock(&engine.shared.state).orders.mark_loaded(&model),
                Err(error) => warn!("cannot load the weights of model {model}: {error}"),
            }
        });
        Response::json(202, &json!({}))
    }

    async fn fetch_weights(&self, model: &str) -> anyhow::Result<()> {
        let Some(source) = self.shared.settings.weights else { return Ok(()) };
        let target = format!("/weights/{model}?size_bytes={}", source.size_bytes);
        let request = Request::new("GET", &target);
        let client = Client::spawn()?;
        let mut response = client.send(source.address, request, WEIGHT_STORE_TIMEOUT).await?;
        let mut received_bytes = 0;
        while let Some(chunk) = response.body.recv().await {
            received_bytes += chunk?.len() as u64;
        }
        anyhow::ensure!(
            received_bytes == source.size_bytes,
            "weight download has the wrong size: received {received_bytes} bytes"
        );
        Ok(())
    }

    fn set_faults(&self, request: &Request) -> Response {
        match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                lock(&self.shared.state).faults = faults;
                Response::json(200, &json!({}))
            }
            Err(error) => Response::json(400, &json!({ "message": error.to_string() })),
        }
    }
}

impl State {
    fn apply_step(&mut self, step: &StepResult, now: Instant) {
        self.counts.prefill_tokens += u64::from(step.prefill_tokens);
        self.counts.decode_tokens += step.decoded.len() as u64;
        for id in &step.prefill_finished {
            let blocks = self.responses.get(id).map(|response| hash_blocks(response.prompt()));
            self.cache.insert(&blocks.unwrap_or_default(), now);
        }
        for (id, token) in &step.decoded {
            if let Some(response) = self.responses.get(id) {
                response.push_token(*token);
            }
        }
        for id in &step.finished {
            self.responses.finish(id, true);
        }
        let (running, prefill_tokens_left, decode_tokens_left) = self.batch.load();
        self.load_samples
            .push_back((now, Load { running, prefill_tokens_left, decode_tokens_left }));
        if self.load_samples.len() > RETAINED_LOAD_SAMPLES {
            self.load_samples.pop_front();
        }
    }
}

fn parse_block(text: &str) -> Option<BlockHash> {
    BlockHash::from_str_radix(text, 16).ok()
}

#[async_trait]
impl Handler for Engine {
    async fn handle(&self, request: Request) -> Response {
        let path = request.path.as_str();
        if let Some(id) = path.strip_prefix("/v1/requests/") {
            return match request.method.as_str() {
                "DELETE" => self.cancel_request(id),
                "GET" => self.resume_response(id, &request),
                _ => Response::json(405, &json!({})),
            };
        }
        if path == "/v1/cache/events" {
            return self.report_cache_events(&request);
        }
        if let Some(block) = path.strip_prefix("/v1/cache/") {
            return match request.method.as_str() {
                "PUT" => self.import_block(block),
                _ => self.export_block(block),
            };
        }
        match (request.method.as_str(), path) {
            ("POST", "/v1/chat/completions") => self.handle_completion(&request),
            ("GET", "/v1/load") => self.report_load(),
            ("POST", "/v1/orders") => self.apply_order(&request),
            ("GET", "/v1/orders") => lock(&self.shared.state).orders.report_state(),
            ("POST", "/faults") => self.set_faults(&request),
            ("GET", "/starts") => Response::json(200, &self.starts()),
            ("GET", "/counts") => Response::json(200, &lock(&self.shared.state).counts),
            _ => Response::json(404, &json!({})),
        }
    }
}
