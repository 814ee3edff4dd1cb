//! HTTP server: ntex workers on their own threads that call a `Handler`.
//!
//! Load pattern: clients hold what they can get: connections that say nothing, heads of very many lines,
//! bodies that do not come. Connections and the room of requests are those of an `Intake` for each worker,
//! with an equal share of the server's limits.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result};
use async_trait::async_trait;
use clock::SystemClock;
use errors::{Refusal, ResultCode};
use futures_util::stream;
use intake::byte_budget::{ByteBudget, HeldBytes};
use intake::connection_table::WaitLimits;
use intake::{
    Connection, IncomingBody, Intake, IntakeLimits, RequestGuard, build_refusal, no_room,
};
use log::{error, warn};
use ntex::SharedCfg;
use ntex::http::StatusCode;
use ntex::http::body::Body as NtexBody;
use ntex::http::{Request as NtexRequest, Response as NtexResponse};
use rustix::process::{Resource, getrlimit};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::{Body, Headers, Request, Response};

/// Name of the server's threads and configuration.
const SERVICE: &str = "http";

/// Time after which unacknowledged bytes or unanswered keepalive probes end a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval between keepalive probes of a silent client.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Largest names and values of a request's head.
const HEADER_LIMIT_BYTES: usize = 32 << 10;

/// Longest times that a connection may wait for its client.
const WAIT_LIMITS: WaitLimits = WaitLimits {
    idle: Duration::from_secs(75),
    head: Duration::from_secs(10),
    body: Duration::from_secs(30),
};

/// Interval at which these limits are applied.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a graceful shutdown closes connections whose responses have ended.
const SHUTDOWN_INTERVAL: Duration = Duration::from_millis(20);

/// Share of the process's descriptors that the connections of a server may take by default.
const DESCRIPTOR_SHARE: f64 = 0.7;

/// Descriptors that a process without a limit counts with.
const UNLIMITED_DESCRIPTORS: u64 = 1 << 20;

/// Default room for requests, from their heads to their responses.
const DEFAULT_HELD_BYTES: usize = 256 << 20;

/// Longest time that a graceful shutdown waits for open responses.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(60);

/// Handles requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped if the caller disconnects.
    async fn handle(&self, request: Request) -> Response;
}

/// Configuration of a server that is not running yet.
#[derive(Debug, Clone)]
pub struct Server {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Number of worker threads.
    pub workers: usize,
    /// Size limit of a request body.
    pub body_limit_bytes: usize,
    /// Limits on what all clients together may hold.
    pub limits: ServerLimits,
}

/// Limits on what all clients of a server together may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Connections that are kept open at a time.
    pub connections: usize,
    /// Memory of the requests that are being received or handled, estimated.
    pub held_bytes: usize,
}

impl Default for ServerLimits {
    /// Seven tenths of the descriptors that the process may open, and 256 MiB.
    fn default() -> ServerLimits {
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(UNLIMITED_DESCRIPTORS);
        ServerLimits {
            connections: (descriptors as f64 * DESCRIPTOR_SHARE) as usize,
            held_bytes: DEFAULT_HELD_BYTES,
        }
    }
}

/// Handle to a running server.
pub struct ServerHandle {
    address: SocketAddr,
    workers: Vec<WorkerHandle>,
}

/// Handle to a worker thread; it is told whether to wait for open responses.
struct WorkerHandle {
    stop: oneshot::Sender<bool>,
    thread: thread::JoinHandle<()>,
}

impl Server {
    /// Binds the address and starts the workers.
    pub fn bind(self, handler: Arc<dyn Handler>) -> Result<ServerHandle> {
        let listener = TcpListener::bind(self.address)
            .with_context(|| format!("{}: cannot be bound", self.address))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        set_socket_options(&listener);
        let start = |_| self.spawn_worker(listener.try_clone()?, handler.clone());
        let workers = (0..self.workers).map(start).collect::<Result<_>>()?;
        Ok(ServerHandle { address, workers })
    }

    fn spawn_worker(
        &self,
        listener: TcpListener,
        handler: Arc<dyn Handler>,
    ) -> Result<WorkerHandle> {
        let (stop, stopped) = oneshot::channel();
        let server = self.clone();
        let name = format!("http-{}", listener.local_addr()?.port());
        let thread = thread::Builder::new().name(name).spawn(move || {
            let system = ntex::rt::System::new(SERVICE, ntex::rt::DefaultRuntime);
            system.block_on(async move {
                if let Err(error) = run_worker(&server, listener, handler, stopped).await {
                    error!("server.worker error={error:#}");
                }
            });
        })?;
        Ok(WorkerHandle { stop, thread })
    }
}

impl ServerHandle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server. A graceful stop closes connections without a request, and waits for open responses
    /// to finish.
    pub fn stop(self, graceful: bool) {
        let mut threads = Vec::new();
        for WorkerHandle { stop, thread } in self.workers {
            // A worker that has ended does not listen.
            let _ = stop.send(graceful);
            threads.push(thread);
        }
        for thread in threads {
            if thread.join().is_err() {
                warn!("HTTP server thread for {} panicked", self.address);
            }
        }
    }
}

/// Sets the options of a listener, which its connections inherit.
fn set_socket_options(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    let result = socket
        .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = result {
        warn!("server.options error={error}");
    }
}

/// Serves connections until the worker is told to stop.
async fn run_worker(
    server: &Server,
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    stopped: oneshot::Receiver<bool>,
) -> Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let limits = IntakeLimits {
        connections: (server.limits.connections / server.workers).max(1),
        header_bytes: HEADER_LIMIT_BYTES,
        waits: WAIT_LIMITS,
    };
    let budget = ByteBudget::new(server.limits.held_bytes / server.workers);
    let intake = Intake::new(limits, budget, Arc::new(SystemClock));
    let configuration = intake::configure_server(SERVICE);
    let body_limit_bytes = server.body_limit_bytes;
    let accepting = intake::accept_connections(&intake, &listener, |connection, stream| {
        let served = serve_connection(
            connection,
            stream,
            configuration.clone(),
            handler.clone(),
            body_limit_bytes,
        );
        ntex::rt::spawn(async move {
            if let Err(error) = served.await {
                warn!("server.connection error={error:#}");
            }
        });
    });
    let expiring = async {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            intake.close_expired();
        }
    };
    let graceful = tokio::select! {
        graceful = stopped => graceful.unwrap_or(false),
        () = accepting => false,
        () = expiring => false,
    };
    drop(listener);
    if graceful && tokio::time::timeout(SHUTDOWN_TIMEOUT, end_connections(&intake)).await.is_err() {
        warn!("server.stop open_connections={}", intake.connection_count());
    }
    Ok(())
}

/// Closes connections without a request, and waits for the others.
async fn end_connections(intake: &Intake<()>) {
    let mut limits = intake.limits();
    limits.waits.idle = Duration::ZERO;
    limits.waits.head = Duration::ZERO;
    intake.set_limits(limits);
    while intake.connection_count() > 0 {
        intake.close_expired();
        tokio::time::sleep(SHUTDOWN_INTERVAL).await;
    }
}

async fn serve_connection(
    connection: Rc<Connection<()>>,
    stream: TcpStream,
    configuration: SharedCfg,
    handler: Arc<dyn Handler>,
    body_limit_bytes: usize,
) -> Result<()> {
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, configuration.clone())?;
    let handle = {
        let connection = connection.clone();
        move |request| {
            handle_request(handler.clone(), connection.clone(), request, body_limit_bytes)
        }
    };
    intake::serve_connection(connection, io, configuration, handle).await
}

async fn handle_request(
    handler: Arc<dyn Handler>,
    connection: Rc<Connection<()>>,
    request: NtexRequest,
    body_limit_bytes: usize,
) -> NtexResponse<NtexBody> {
    let open_request = connection.begin_request();
    match read_request(&connection, request, body_limit_bytes).await {
        Ok((request, held)) => {
            let open_request = OpenRequest { _guard: open_request, _held: held };
            into_ntex_response(handler.handle(request).await, open_request)
        }
        Err(refusal) => build_refusal(&refusal, true),
    }
}

/// A request whose response has not been completely passed to the server.
struct OpenRequest {
    _guard: RequestGuard<()>,
    _held: HeldBytes<()>,
}

async fn read_request(
    connection: &Connection<()>,
    mut request: NtexRequest,
    body_limit_bytes: usize,
) -> Result<(Request, HeldBytes<()>), Refusal> {
    let body = IncomingBody::take(&mut request);
    // The server keeps requests for further ones, with the room of their maps.
    let parsed = std::mem::take(&mut request.head_mut().headers);
    let mut headers = Headers::default();
    for (name, value) in &parsed {
        if let Ok(value) = value.to_str() {
            headers.push(name.as_str(), value);
        }
    }
    drop(parsed);
    let (body, body_truncated) = match body.read(connection, body_limit_bytes).await {
        Ok(body) => (body, false),
        Err(refusal) if refusal.code == ResultCode::BodyTooLarge => (bytes::Bytes::new(), true),
        Err(refusal) => return Err(refusal),
    };
    let held = connection.admit_request().map_err(|_| no_room())?;
    let request = Request {
        method: request.method().as_str().to_owned(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers,
        body,
        body_truncated,
    };
    Ok((request, held))
}

fn into_ntex_response(response: Response, open_request: OpenRequest) -> NtexResponse<NtexBody> {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = NtexResponse::build(status);
    for (name, value) in response.headers.iter() {
        builder.header(name, value);
    }
    match response.body {
        Body::Buffered(body) => builder.body(ntex::util::Bytes::copy_from_slice(&body)),
        Body::Stream(receiver) => {
            let chunks = stream::unfold((receiver, open_request), |(mut receiver, open)| async {
                let chunk = receiver.recv().await?;
                let chunk = ntex::util::Bytes::copy_from_slice(&chunk);
                Some((Ok::<_, std::io::Error>(chunk), (receiver, open)))
            });
            builder.streaming(Box::pin(chunks))
        }
    }
}
