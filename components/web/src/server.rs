//! The server: ntex workers in threads of their own that call a `Handler`.

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

/// How long a graceful stop waits for open responses.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(60);

/// How long a caller may take to send the head of a request.
const HEAD_TIMEOUT: Seconds = Seconds(10);

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropped when the caller goes away.
    async fn handle(&self, request: Request) -> Response;
}

/// What a server listens on and how wide it is.
#[derive(Debug, Clone)]
pub struct Server {
    /// The address; port 0 takes a free one.
    pub address: SocketAddr,
    /// Worker threads.
    pub workers: usize,
    /// Largest body that is read.
    pub body_limit_bytes: usize,
}

/// A server that runs.
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
        let (started, start) = std::sync::mpsc::channel::<Result<()>>();
        let limit = self.body_limit_bytes;
        let workers = self.workers;
        let thread =
            thread::Builder::new().name(format!("http-{}", address.port())).spawn(move || {
                let system = ntex::rt::System::new("http", ntex::rt::DefaultRuntime);
                system.block_on(async move {
                    let server = match build_server(listener, workers, limit, handler) {
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
        start.recv().map_err(|_| anyhow!("the server thread ended at start"))??;
        Ok(ServerHandle { address, stop, thread: Some(thread) })
    }
}

impl ServerHandle {
    /// The address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops; a graceful stop lets open responses finish.
    pub fn stop(mut self, graceful: bool) {
        let _ = self.stop.send(graceful);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            warn!("http server on {} ended by panic", self.address);
        }
    }
}

fn build_server(
    listener: TcpListener,
    workers: usize,
    limit: usize,
    handler: Arc<dyn Handler>,
) -> Result<ntex::server::Server> {
    let server = HttpServer::new(async move || {
        let handler = handler.clone();
        App::new().default_service(web::to(move |head: HttpRequest, body: web::types::Payload| {
            let handler = handler.clone();
            async move { answer(handler, head, body, limit).await }
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

async fn answer(
    handler: Arc<dyn Handler>,
    head: HttpRequest,
    body: web::types::Payload,
    limit: usize,
) -> HttpResponse {
    let request = match read_request(&head, body, limit).await {
        Ok(request) => request,
        Err(error) => return HttpResponse::BadRequest().body(error),
    };
    into_ntex(handler.handle(request).await)
}

async fn read_request(
    head: &HttpRequest,
    mut payload: web::types::Payload,
    limit: usize,
) -> Result<Request, String> {
    let mut headers = Headers::default();
    for (name, value) in head.headers() {
        if let Ok(value) = value.to_str() {
            headers.push(name.as_str(), value);
        }
    }
    let mut body = Vec::new();
    let mut body_truncated = false;
    while let Some(piece) = payload.recv().await {
        let piece = piece.map_err(|error| error.to_string())?;
        if body.len() + piece.len() > limit {
            body_truncated = true;
            break;
        }
        body.extend_from_slice(&piece);
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

fn into_ntex(response: Response) -> HttpResponse {
    let status = ntex::http::StatusCode::from_u16(response.status)
        .unwrap_or(ntex::http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    for (name, value) in response.headers.iter() {
        builder.header(name, value);
    }
    match response.body {
        Body::Whole(body) => builder.body(ntex::util::Bytes::copy_from_slice(&body)),
        Body::Stream(receiver) => {
            let pieces = stream::unfold(receiver, |mut receiver| async move {
                let piece = receiver.recv().await?;
                let piece = ntex::util::Bytes::copy_from_slice(&piece);
                Some((Ok::<_, std::io::Error>(piece), receiver))
            });
            builder.streaming(Box::pin(pieces))
        }
    }
}
