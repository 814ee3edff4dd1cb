//! Orders through a running agent to an engine that ignores fencing tokens.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use agent::{Agent, AgentHandle, UpstreamSettings};
use async_trait::async_trait;
use clock::SystemClock;
use errors::{Refusal, ResultCode};
use identity::{FencingToken, HostId, ModelId, ProcessId, UpstreamId, ZoneId};
use web::{Handler, Request, Response, Server, ServerHandle, ServerLimits};
use wire::v1::agent_client::AgentClient;
use wire::{Command, Order, v1};

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

/// Engine that records the fencing token of each order and takes 30 ms to carry it out.
#[derive(Default)]
struct RecordingEngine {
    tokens: Mutex<Vec<String>>,
}

#[async_trait]
impl Handler for RecordingEngine {
    async fn handle(&self, request: Request) -> Response {
        let token = request.headers.get("x-fencing-token").unwrap_or_default().to_owned();
        tokio::time::sleep(Duration::from_millis(30)).await;
        self.tokens.lock().expect("lock").push(token);
        Response::json(200, &serde_json::json!({}))
    }
}

async fn spawn_agent(engine: Arc<RecordingEngine>) -> (ServerHandle, AgentHandle) {
    let server = Server {
        address: (LOOPBACK, 0).into(),
        workers: 1,
        body_limit_bytes: 1 << 16,
        limits: ServerLimits::default(),
    }
    .bind(engine)
    .expect("bind");
    let settings = agent::Settings {
        listen: (LOOPBACK, 0).into(),
        host: HostId::new("fast"),
        zone: ZoneId::new("riga-a"),
        upstream: UpstreamId::new("fast"),
        adapter: UpstreamSettings::HttpEngine { address: server.address() },
        slots: 1,
        peers: Vec::new(),
        log_level: "off".to_owned(),
    };
    let agent = Agent { settings, clock: Arc::new(SystemClock) }.spawn().await.expect("agent");
    (server, agent)
}

async fn send_order(agent: &AgentHandle, process: &str, token: u64) -> Option<ResultCode> {
    let order = Order {
        agent_process: ProcessId::new(process),
        token: FencingToken(token),
        time_left: Duration::from_secs(10),
        command: Command::LoadModel(ModelId::new("listing-7b")),
    };
    let address = format!("http://{}", agent.address());
    let mut client = AgentClient::connect(address).await.expect("connect");
    let reply = client.order(v1::OrderRequest::from(&order)).await.expect("reply").into_inner();
    reply.refused.map(|refused| Refusal::try_from(refused).expect("refusal").code)
}

async fn process_of(agent: &AgentHandle) -> String {
    let address = format!("http://{}", agent.address());
    let mut client = AgentClient::connect(address).await.expect("connect");
    let request = v1::ReportRequest { asked_by: "test".to_owned() };
    client.report(request).await.expect("report").into_inner().process
}

/// Guards against an outdated order that the engine itself would carry out: the agent has to refuse
/// it if it has seen a newer token, or if the order is for another agent process.
#[tokio::test(flavor = "multi_thread")]
async fn order_with_an_older_token_or_for_another_process_is_refused() {
    let engine = Arc::new(RecordingEngine::default());
    let (_server, agent) = spawn_agent(engine.clone()).await;
    let process = process_of(&agent).await;
    let results = tokio::join!(send_order(&agent, &process, 5), send_order(&agent, &process, 5));
    assert_eq!(results, (None, None));
    let stale = Some(ResultCode::StaleFencingToken);
    assert_eq!(send_order(&agent, &process, 4).await, stale);
    assert_eq!(send_order(&agent, "previous-process", 9).await, stale);
    assert_eq!(send_order(&agent, &process, 6).await, None);
    assert_eq!(*engine.tokens.lock().unwrap(), ["5", "5", "6"]);
}
