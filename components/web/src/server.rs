//! HTTP server: ntex workers on their own threads that call a `Handler`.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use anyhow::{Context, Result, anyhow};
use async_trait::async_trait;
use futures_util::stream;
use log::warn;
use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use tokio::sync::mpsc;

use crate::{Body, Headers, Request, Response};

/// Longest time that a graceful shutdown waits for open responses.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(60);

/// Longest time for a caller to send the head of a request.
const HEAD_TIMEOUT: Seconds = Seconds(10);

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
}

/// Handle to a running server.
pub struct ServerHandle {
    address: SocketAddr,
    stop: mpsc::UnboundedSender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Binds the address and starts the workers.
    pub fn bind(self, handler: Arc<dyn Handler>) -> Result<ServerHandle> {
        let listener = TcpListener::bind(self.address)
            .with_context(|| format!("{}: cannot be bound", self.address))?;
        let address = listener.local_addr()?;
        let (stop, mut stopped) = mpsc::unbounded_channel::<bool>();
        let (started, startup) = std::sync::mpsc::channel::<Result<()>>();
        let body_limit_bytes = self.body_limit_bytes;
        let workers = self.workers;
        let thread =
            thread::Builder::new().name(format!("http-{}", address.port())).spawn(move || {
                let system = ntex::rt::System::new("http", ntex::rt::DefaultRuntime);
                system.block_on(async move {
                    let server = match build_server(listener, workers, body_limit_bytes, handler) {
                        Ok(server) => server,
                        Err(error) => {
                            let _ = started.send(Err(error));
                            return;
                        }
                    };
                    let _ = started.send(Ok(()));
                    let graceful = stopped.recv().await.unwrap_or(false);
                    server.stop(graceful).await;
                });
            })?;
        startup.recv().map_err(|_| anyhow!("the HTTP server thread ended during startup"))??;
        Ok(ServerHandle { address, stop, thread: Some(thread) })
    }
}

impl ServerHandle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server. A graceful stop waits for open responses to finish.
    pub fn stop(mut self, graceful: bool) {
        let _ = self.stop.send(graceful);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            warn!("HTTP server thread for {} panicked", self.address);
        }
    }
}

fn build_server(
    listener: TcpListener,
    workers: usize,
    body_limit_bytes: usize,
    handler: Arc<dyn Handler>,
) -> Result<ntex::server::Server> {
    let server = HttpServer::new(async move || {
        let handler = handler.clone();
        App::new().default_service(web::to(move |head: HttpRequest, body: web::types::Payload| {
            let handler = handler.clone();
            async move { handle_request(handler, head, body, body_limit_bytes).await }
        }))
    })
    .workers(workers)
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_TIMEOUT)
    .config(
        SharedCfg::new("http").add(
            HttpServiceConfig::new().set_client_timeout(HEAD_TIMEOUT).set_keepalive(Seconds(75)),
        ),
    )
    .listen(listener)?
    .run();
    Ok(server)
}

async fn handle_request(
    handler: Arc<dyn Handler>,
    head: HttpRequest,
    body: web::types::Payload,
    body_limit_bytes: usize,
) -> HttpResponse {
    let request = match read_request(&head, body, body_limit_bytes).await {
        Ok(request) => request,
        Err(error) => return HttpResponse::BadRequest().body(error),
    };
    into_ntex_response(handler.handle(request).await)
}

async fn read_request(
    head: &HttpRequest,
    mut payload: web::types::Payload,
    body_limit_bytes: usize,
) -> Result<Request, String> {
    let mut headers = Headers::default();
    for (name, value) in head.headers() {
        if let Ok(value) = value.to_str() {
            headers.push(name.as_str(), value);
        }
    }
    let mut body = Vec::new();
    let mut body_truncated = false;
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| error.to_string())?;
        if body.len() + chunk.len() > body_limit_bytes {
            body_truncated = true;
            break;
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Request {
        method: head.method().as_str().to_owned(),
        path: head.path().to_owned(),
        query: head.query_string().to_owned(),
        headers,
        body: body.into(),
        body_truncated,
    })
}

fn into_ntex_response(response: Response) -> HttpResponse {
    let status = ntex::http::StatusCode::from_u16(response.status)
        .unwrap_or(ntex::http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    for (name, value) in response.headers.iter() {
        builder.header(name, value);
    }
    match response.body {
        Body::Buffered(body) => builder.body(ntex::util::Bytes::copy_from_slice(&body)),
        Body::Stream(receiver) => {
            let chunks = stream::unfold(receiver, |mut receiver| async move {
                let chunk = receiver.recv().await?;
                let chunk = ntex::util::Bytes::copy_from_slice(&chunk);
                Some((Ok::<_, std::io::Error>(chunk), receiver))
            });
            builder.streaming(Box::pin(chunks))
        }
    }
}
