//! A model engine: continuous batching and a prefix cache behind chat-completions over HTTP.

mod answers;
mod batch;
mod cache;
mod orders;
mod settings;

pub use answers::expected_text;
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
use answers::{Answer, Answers};
use batch::{Batch, Step};
use cache::{BLOCK_TOKENS, BlockHash, Cache, hash_blocks};
use orders::{OrderEffect, Orders};

/// Bytes of text to a token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of exported KV cache to a token.
const KV_BYTES_PER_TOKEN: u32 = 64;

/// Tokens that are generated where the call states no limit.
const DEFAULT_TOKENS: u32 = 16;

/// How often a frozen engine looks whether it still is.
const FROZEN_POLL: Duration = Duration::from_millis(10);

/// How long the weight store may take to begin.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(10);

/// Load reports that are kept for late readers.
const LOAD_HISTORY: usize = 4096;

/// The engine.
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
    cache: Cache,
    answers: Answers,
    orders: Orders,
    faults: EngineFaults,
    starts: BTreeMap<String, u32>,
    counts: Counts,
    loads: VecDeque<(Instant, Load)>,
    stepping: bool,
}

/// What an engine did so far.
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

/// What the engine does next.
enum Next {
    Idle,
    Frozen,
    Step(Step, Duration),
}

#[derive(Debug, Deserialize)]
struct Call {
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
    /// An idle engine.
    pub fn new(settings: EngineSettings, clock: Arc<dyn Clock>) -> Engine {
        let state = State {
            batch: Batch::default(),
            cache: Cache::new(&settings),
            answers: Answers::default(),
            orders: Orders::new(&settings),
            faults: EngineFaults::default(),
            starts: BTreeMap::new(),
            counts: Counts::default(),
            loads: VecDeque::new(),
            stepping: false,
        };
        Engine { shared: Arc::new(Shared { settings, clock, state: Mutex::new(state) }) }
    }

    /// How often each request was started.
    pub fn starts(&self) -> BTreeMap<String, u32> {
        lock(&self.shared.state).starts.clone()
    }

    fn complete(&self, request: &Request) -> Response {
        let call: Call = match serde_json::from_slice(&request.body) {
            Ok(call) => call,
            Err(error) => return Response::json(400, &json!({ "message": error.to_string() })),
        };
        if !lock(&self.shared.state).orders.serves(&call.model) {
            return Response::json(404, &json!({ "message": "the model is not loaded" }));
        }
        let id = request.headers.get("x-request-id").unwrap_or_default();
        let answer = self.admit(id, &call);
        answer.respond(0)
    }

    fn admit(&self, id: &str, call: &Call) -> Arc<Answer> {
        let prompt: String = call.messages.iter().map(|message| message.content.as_str()).collect();
        let answer = Answer::new(&prompt, call.stream);
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
        let mut state = lock(&self.shared.state);
        *state.starts.entry(id.to_owned()).or_default() += 1;
        state.answers.insert(id, answer.clone());
        let cached = state.cache.cached_tokens(&hash_blocks(&prompt));
        state.counts.prefill_tokens_cached += u64::from(cached);
        // The last prompt token is always computed: the first generated one follows from it.
        let prefill = prompt_tokens.saturating_sub(cached).max(1);
        let tokens = call.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1);
        state.batch.admit(id, prefill, tokens);
        if !state.stepping {
            state.stepping = true;
            let engine = self.clone();
            tokio::spawn(async move { engine.run().await });
        }
        answer
    }

    /// Steps until the batch is empty.
    async fn run(&self) {
        loop {
            match self.next_step() {
                Next::Idle => return,
                Next::Frozen => tokio::time::sleep(FROZEN_POLL).await,
                Next::Step(step, duration) => {
                    tokio::time::sleep(duration).await;
                    let now = self.shared.clock.now();
                    lock(&self.shared.state).take_step(&step, now);
                }
            }
        }
    }

    fn next_step(&self) -> Next {
        let mut state = lock(&self.shared.state);
        if state.faults.frozen {
            return Next::Frozen;
        }
        if state.batch.is_empty() {
            state.stepping = false;
            return Next::Idle;
        }
        let step = state.batch.step(&self.shared.settings);
        let duration = step.duration * state.faults.slowdown.max(1);
        Next::Step(step, duration)
    }

    fn cancel(&self, id: &str) -> Response {
        let mut state = lock(&self.shared.state);
        let Some(computed) = state.batch.remove(id) else {
            return Response::json(404, &json!({}));
        };
        state.counts.prefill_tokens_wasted += u64::from(computed);
        state.answers.end(id, false);
        Response::json(200, &json!({}))
    }

    fn resume(&self, id: &str, request: &Request) -> Response {
        let offset = request.query_value("offset_bytes").and_then(|text| text.parse().ok());
        match lock(&self.shared.state).answers.get(id) {
            Some(answer) => answer.respond(offset.unwrap_or(0)),
            None => Response::json(404, &json!({})),
        }
    }

    fn events(&self, request: &Request) -> Response {
        let after = request.query_value("after").and_then(|text| text.parse().ok());
        let now = self.shared.clock.now();
        let events = lock(&self.shared.state).cache.events_after(after.unwrap_or(0), now);
        Response::json(200, &events)
    }

    fn load(&self) -> Response {
        let seen_at = self.shared.clock.now().checked_sub(self.shared.settings.report_lag);
        let state = lock(&self.shared.state);
        let seen = state.loads.iter().rev().find(|(at, _)| Some(*at) <= seen_at);
        Response::json(200, &seen.map(|(_, load)| *load).unwrap_or_default())
    }

    fn export(&self, block: &str) -> Response {
        let known = parse_block(block).filter(|hash| lock(&self.shared.state).cache.holds(*hash));
        match known {
            Some(_) => {
                let size_bytes = (BLOCK_TOKENS * KV_BYTES_PER_TOKEN) as usize;
                Response::buffered(200, "application/octet-stream", vec![0; size_bytes])
            }
            None => Response::json(404, &json!({})),
        }
    }

    fn import(&self, block: &str) -> Response {
        let Some(block) = parse_block(block) else { return Response::json(400, &json!({})) };
        let now = self.shared.clock.now();
        lock(&self.shared.state).cache.store(&[block], now);
        Response::json(200, &json!({}))
    }

    fn order(&self, request: &Request) -> Response {
        let order = match serde_json::from_slice(&request.body) {
            Ok(order) => order,
            Err(error) => return Response::json(400, &json!({ "message": error.to_string() })),
        };
        let model = match lock(&self.shared.state).orders.take(order) {
            OrderEffect::Done(response) => return response,
            OrderEffect::Load(model) => model,
        };
        let engine = self.clone();
        tokio::spawn(async move {
            match engine.fetch_weights(&model).await {
                Ok(()) => lock(&engine.shared.state).orders.loaded(&model),
                Err(error) => warn!("weights of {model}: {error}"),
            }
        });
        Response::json(202, &json!({}))
    }

    async fn fetch_weights(&self, model: &str) -> anyhow::Result<()> {
        let Some(source) = self.shared.settings.weights else { return Ok(()) };
        let target = format!("/weights/{model}?size_bytes={}", source.size_bytes);
        let request = Request::new("GET", &target);
        let client = Client::spawn()?;
        let mut response = client.send(source.address, request, WEIGHTS_TIMEOUT).await?;
        let mut got_bytes = 0;
        while let Some(piece) = response.body.recv().await {
            got_bytes += piece?.len() as u64;
        }
        anyhow::ensure!(got_bytes == source.size_bytes, "got {got_bytes} bytes");
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
    fn take_step(&mut self, step: &Step, now: Instant) {
        self.counts.prefill_tokens += u64::from(step.prefilled);
        self.counts.decode_tokens += step.decoded.len() as u64;
        for id in &step.prefill_ended {
            let blocks = self.answers.get(id).map(|answer| hash_blocks(answer.prompt()));
            self.cache.store(&blocks.unwrap_or_default(), now);
        }
        for (id, token) in &step.decoded {
            if let Some(answer) = self.answers.get(id) {
                answer.push_token(*token);
            }
        }
        for id in &step.ended {
            self.answers.end(id, true);
        }
        let (running, prefill_tokens_left, decode_tokens_left) = self.batch.load();
        self.loads.push_back((now, Load { running, prefill_tokens_left, decode_tokens_left }));
        if self.loads.len() > LOAD_HISTORY {
            self.loads.pop_front();
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
                "DELETE" => self.cancel(id),
                "GET" => self.resume(id, &request),
                _ => Response::json(405, &json!({})),
            };
        }
        if path == "/v1/cache/events" {
            return self.events(&request);
        }
        if let Some(block) = path.strip_prefix("/v1/cache/") {
            return match request.method.as_str() {
                "PUT" => self.import(block),
                _ => self.export(block),
            };
        }
        match (request.method.as_str(), path) {
            ("POST", "/v1/chat/completions") => self.complete(&request),
            ("GET", "/v1/load") => self.load(),
            ("POST", "/v1/orders") => self.order(&request),
            ("GET", "/v1/orders") => lock(&self.shared.state).orders.report(),
            ("POST", "/faults") => self.set_faults(&request),
            ("GET", "/starts") => Response::json(200, &self.starts()),
            ("GET", "/counts") => Response::json(200, &lock(&self.shared.state).counts),
            _ => Response::json(404, &json!({})),
        }
    }
}
