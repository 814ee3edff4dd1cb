//! HTTP client on its own thread, reached over a channel from any runtime.
//!
//! Load pattern: servers that answer a long upload at once, without a length, and reset the connection
//! while the upload is still being written. ntex's client ends the body then as if it were complete,
//! so that the connections are those of `link`.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use http::header::HOST;
use http_body_util::{BodyExt, Full};
use link::{Connection, LinkError, LinkResponse, Pool, Timeouts, TransferLimits, TransferProgress};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::LocalSet;
use tokio::time::{Instant, timeout_at};

use crate::{Headers, Request};

/// Number of chunks of a response body that are buffered for the reader.
const BODY_CHANNEL_CAPACITY: usize = 64;

/// Maximum number of connections that the client has open at the same time.
const CONNECTION_LIMIT: usize = 4096;

/// Time that an idle connection is kept, shorter than servers usually do.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Timeouts of connections. Callers limit the whole exchange themselves.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(1_000),
    unacknowledged: Duration::from_secs(15),
    keepalive_interval: Duration::from_secs(5),
};

/// HTTP client; clones share one thread and its connections.
#[derive(Clone)]
pub struct Client {
    jobs: mpsc::UnboundedSender<Job>,
}

/// Failure to send a request or to receive its response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be opened; no part of the request was sent.
    NotSent(String),
    /// The request may have been sent and processed by the server.
    Unknown(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::NotSent(reason) => write!(f, "not sent: {reason}"),
            ClientError::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
        }
    }
}

impl std::error::Error for ClientError {}

impl From<LinkError> for ClientError {
    fn from(error: LinkError) -> ClientError {
        match error {
            LinkError::NotSent(reason) | LinkError::Refused(reason) => ClientError::NotSent(reason),
            LinkError::Unknown(reason) => ClientError::Unknown(reason),
        }
    }
}

/// Response head with a streamed body.
#[derive(Debug)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// Chunks of the body; the last one is an error if the body is truncated.
    pub body: mpsc::Receiver<Result<Bytes, ClientError>>,
}

impl ClientResponse {
    /// Reads the body to its end.
    pub async fn read_body(&mut self) -> Result<Bytes, ClientError> {
        let mut content = Vec::new();
        while let Some(chunk) = self.body.recv().await {
            content.extend_from_slice(&chunk?);
        }
        Ok(content.into())
    }

    /// Reads the body to its end while it makes progress.
    pub async fn read_transfer(&mut self, limits: TransferLimits) -> Result<Bytes, ClientError> {
        let mut content = Vec::new();
        let mut progress = TransferProgress::begin(limits);
        loop {
            let chunk = timeout_at(progress.stalls_at(), self.body.recv()).await;
            let chunk = chunk.map_err(|_| ClientError::Unknown(progress.describe_stall()))?;
            let Some(chunk) = chunk else { return Ok(content.into()) };
            let chunk = chunk?;
            if content.len() + chunk.len() > limits.max_bytes {
                let reason = format!("body exceeds the limit of {} bytes", limits.max_bytes);
                return Err(ClientError::Unknown(reason));
            }
            progress.record(chunk.len());
            content.extend_from_slice(&chunk);
        }
    }
}

/// Request for the client thread, with the channel for its response.
struct Job {
    address: SocketAddr,
    request: Request,
    head_timeout: Duration,
    reply: oneshot::Sender<Result<ClientResponse, ClientError>>,
}

impl Client {
    /// Starts the client thread.
    pub fn spawn() -> Result<Client> {
        let (jobs, queue) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new().name("http-client".to_owned()).spawn(move || {
            LocalSet::new().block_on(&runtime, run_client(queue));
        })?;
        Ok(Client { jobs })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future or the body closes the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        head_timeout: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let (reply, response) = oneshot::channel();
        let job = Job { address, request, head_timeout, reply };
        self.jobs
            .send(job)
            .map_err(|_| ClientError::NotSent("the HTTP client has stopped".to_owned()))?;
        response
            .await
            .map_err(|_| ClientError::Unknown("the HTTP client has stopped".to_owned()))?
    }
}

/// Connections of the client thread.
struct Connections {
    idle: Pool,
    /// Permits for connections that are in use.
    limit: Semaphore,
}

async fn run_client(mut queue: mpsc::UnboundedReceiver<Job>) {
    let limit = Semaphore::new(CONNECTION_LIMIT);
    let connections = Rc::new(Connections { idle: Pool::default(), limit });
    let mut eviction = tokio::time::interval(MAX_IDLE);
    loop {
        tokio::select! {
            job = queue.recv() => match job {
                Some(job) => {
                    tokio::task::spawn_local(perform_job(connections.clone(), job));
                }
                None => return,
            },
            _ = eviction.tick() => connections.idle.evict_expired(Instant::now().into_std()),
        }
    }
}

async fn perform_job(connections: Rc<Connections>, job: Job) {
    let Job { address, request, head_timeout, mut reply } = job;
    let exchange = async {
        let permit = connections.limit.acquire().await;
        let deadline = Instant::now() + head_timeout;
        let sent = send_request(&connections.idle, address, &request, deadline).await;
        sent.map(|sent| (permit, sent))
    };
    let result = tokio::select! {
        result = exchange => result,
        () = reply.closed() => return,
    };
    let (_permit, (connection, response)) = match result {
        Ok(sent) => sent,
        Err(error) => {
            let _ = reply.send(Err(error));
            return;
        }
    };
    let (head, incoming) = response.into_parts();
    let mut headers = Headers::default();
    for (name, value) in &head.headers {
        if let Ok(value) = value.to_str() {
            headers.push(name.as_str(), value);
        }
    }
    let (chunks, body) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    let client_response = ClientResponse { status: head.status.as_u16(), headers, body };
    if reply.send(Ok(client_response)).is_ok() && forward_body(incoming, chunks).await {
        connections.idle.put(address, connection, Instant::now().into_std(), MAX_IDLE);
    }
}

/// Sends a request on an idle connection, or on a new one, and waits for the head of its response.
async fn send_request(
    idle: &Pool,
    address: SocketAddr,
    request: &Request,
    deadline: Instant,
) -> Result<(Connection, LinkResponse), ClientError> {
    if let Some(connection) = idle.take(address, Instant::now().into_std(), MAX_IDLE) {
        match send_on(connection, address, request, deadline).await {
            // The server has closed the connection in the meantime.
            Err(ClientError::NotSent(_)) => {}
            result => return result,
        }
    }
    let connection = link::connect(address, TIMEOUTS).await?;
    send_on(connection, address, request, deadline).await
}

async fn send_on(
    mut connection: Connection,
    address: SocketAddr,
    request: &Request,
    deadline: Instant,
) -> Result<(Connection, LinkResponse), ClientError> {
    let encoded = encode_request(address, request)
        .map_err(|error| ClientError::NotSent(error.to_string()))?;
    let response = timeout_at(deadline, connection.send(encoded)).await;
    let timed_out = |_| ClientError::Unknown("no response within the timeout".to_owned());
    Ok((connection, response.map_err(timed_out)??))
}

fn encode_request(
    address: SocketAddr,
    request: &Request,
) -> Result<http::Request<Full<Bytes>>, http::Error> {
    let mut target = request.path.clone();
    if !request.query.is_empty() {
        target.push('?');
        target.push_str(&request.query);
    }
    let mut encoded = http::Request::builder().method(request.method.as_str()).uri(target);
    if request.headers.get(HOST.as_str()).is_none() {
        encoded = encoded.header(HOST, address.to_string());
    }
    for (name, value) in request.headers.iter() {
        encoded = encoded.header(name, value);
    }
    encoded.body(Full::new(request.body.clone()))
}

/// Passes on the chunks of a body. Returns whether it has ended, so that its connection can be used
/// again.
async fn forward_body(
    mut body: hyper::body::Incoming,
    chunks: mpsc::Sender<Result<Bytes, ClientError>>,
) -> bool {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = chunks.closed() => return false,
        };
        let chunk = match frame {
            None => return true,
            Some(Ok(frame)) => match frame.into_data() {
                Ok(chunk) => Ok(chunk),
                Err(_) => continue,
            },
            Some(Err(error)) => Err(ClientError::Unknown(error.to_string())),
        };
        let is_truncated = chunk.is_err();
        if chunks.send(chunk).await.is_err() || is_truncated {
            return false;
        }
    }
}
