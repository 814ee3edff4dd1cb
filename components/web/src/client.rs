//! HTTP client: ntex on its own thread, reached over a channel from any runtime.

use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anyhow::{Result, anyhow};
use bytes::Bytes;
use futures_util::StreamExt;
use link::{TransferLimits, TransferProgress};
use ntex::time::Millis;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout_at;

use crate::{Headers, Request};

/// Number of chunks of a response body that are buffered for the reader.
const BODY_CHANNEL_CAPACITY: usize = 64;

/// Maximum number of connections that the client has open at the same time.
const CONNECTION_LIMIT: usize = 4096;

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
        let (started, startup) = std::sync::mpsc::channel();
        thread::Builder::new().name("http-client".to_owned()).spawn(move || {
            let system = ntex::rt::System::new("http-client", ntex::rt::DefaultRuntime);
            system.block_on(run_client(queue, started));
        })?;
        startup.recv().map_err(|_| anyhow!("the HTTP client thread ended during startup"))??;
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

async fn run_client(
    mut queue: mpsc::UnboundedReceiver<Job>,
    started: std::sync::mpsc::Sender<Result<()>>,
) {
    let connector = ntex::client::Connector::default().limit(CONNECTION_LIMIT);
    let builder = ntex::client::Client::builder()
        .disable_timeout()
        .disable_redirects()
        .connector::<()>(connector);
    let client = match builder.build(ntex::SharedCfg::default()).await {
        Ok(client) => client,
        Err(error) => {
            let _ = started.send(Err(anyhow!("HTTP client cannot be created: {error:?}")));
            return;
        }
    };
    let _ = started.send(Ok(()));
    while let Some(job) = queue.recv().await {
        ntex::rt::spawn(perform_job(client.clone(), job));
    }
}

async fn perform_job(client: ntex::client::Client, mut job: Job) {
    let exchange = send_request(&client, job.address, job.request, job.head_timeout);
    let result = tokio::select! {
        result = exchange => result,
        () = job.reply.closed() => return,
    };
    let (response, head) = match result {
        Ok(response) => response,
        Err(error) => {
            let _ = job.reply.send(Err(error));
            return;
        }
    };
    let (chunks, body) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    let client_response = ClientResponse { status: head.0, headers: head.1, body };
    if job.reply.send(Ok(client_response)).is_ok() {
        forward_body(response, chunks).await;
    }
}

/// Status and headers of a response.
type ResponseHead = (u16, Headers);

async fn send_request(
    client: &ntex::client::Client,
    address: SocketAddr,
    request: Request,
    head_timeout: Duration,
) -> Result<(ntex::client::ClientResponse, ResponseHead), ClientError> {
    let mut url = format!("http://{address}{}", request.path);
    if !request.query.is_empty() {
        url.push('?');
        url.push_str(&request.query);
    }
    let method = ntex::http::Method::from_bytes(request.method.as_bytes())
        .map_err(|error| ClientError::NotSent(error.to_string()))?;
    let mut outgoing = client.request(method, url.as_str());
    for (name, value) in request.headers.iter() {
        outgoing = outgoing.header(name, value);
    }
    let timeout = Millis::from(head_timeout);
    let body = ntex::util::Bytes::copy_from_slice(&request.body);
    let response =
        outgoing.timeout(timeout).send_body(body).await.map_err(|error| classify_error(&error))?;
    let mut headers = Headers::default();
    for (name, value) in response.headers() {
        if let Ok(value) = value.to_str() {
            headers.push(name.as_str(), value);
        }
    }
    let status = response.status().as_u16();
    Ok((response, (status, headers)))
}

fn classify_error(error: &ntex::client::error::ClientError) -> ClientError {
    use ntex::client::error::ClientError as NtexError;
    let reason = format!("{error:?}");
    match error {
        NtexError::Connect(_) => ClientError::NotSent(reason),
        _ => ClientError::Unknown(reason),
    }
}

async fn forward_body(
    mut response: ntex::client::ClientResponse,
    chunks: mpsc::Sender<Result<Bytes, ClientError>>,
) {
    loop {
        let chunk = tokio::select! {
            chunk = response.next() => chunk,
            () = chunks.closed() => return,
        };
        let chunk = match chunk {
            None => return,
            Some(Ok(chunk)) => Ok(Bytes::copy_from_slice(&chunk)),
            Some(Err(error)) => Err(ClientError::Unknown(format!("{error:?}"))),
        };
        let is_truncated = chunk.is_err();
        if chunks.send(chunk).await.is_err() || is_truncated {
            return;
        }
    }
}
