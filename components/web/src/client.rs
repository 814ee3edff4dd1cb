//! The client: ntex in a thread of its own, reached by a channel from any runtime.

use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anyhow::{Result, anyhow};
use bytes::Bytes;
use futures_util::StreamExt;
use ntex::time::Millis;
use tokio::sync::{mpsc, oneshot};

use crate::{Headers, Request};

/// Pieces of a response body that wait for their reader.
const BODY_QUEUE: usize = 64;

/// Connections kept to one address.
const CONNECTION_LIMIT: usize = 4096;

/// A client that many tasks share.
#[derive(Clone)]
pub struct Client {
    jobs: mpsc::UnboundedSender<Job>,
}

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be made; nothing was sent.
    NotSent(String),
    /// The request may have been sent and may have taken effect.
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

/// The head of a response and its body, piece by piece.
#[derive(Debug)]
pub struct ClientResponse {
    /// The HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// Pieces of the body; an error where it broke off.
    pub body: mpsc::Receiver<Result<Bytes, ClientError>>,
}

impl ClientResponse {
    /// Reads the whole body.
    pub async fn read(&mut self) -> Result<Bytes, ClientError> {
        let mut whole = Vec::new();
        while let Some(piece) = self.body.recv().await {
            whole.extend_from_slice(&piece?);
        }
        Ok(whole.into())
    }
}

struct Job {
    address: SocketAddr,
    request: Request,
    head_timeout: Duration,
    reply: oneshot::Sender<Result<ClientResponse, ClientError>>,
}

impl Client {
    /// Starts the client's thread.
    pub fn spawn() -> Result<Client> {
        let (jobs, queue) = mpsc::unbounded_channel();
        let (started, start) = std::sync::mpsc::channel();
        thread::Builder::new().name("http-client".to_owned()).spawn(move || {
            let system = ntex::rt::System::new("http-client", ntex::rt::DefaultRuntime);
            system.block_on(run(queue, started));
        })?;
        start.recv().map_err(|_| anyhow!("the client thread ended at start"))??;
        Ok(Client { jobs })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future or the body ends the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        head_timeout: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let (reply, answer) = oneshot::channel();
        let job = Job { address, request, head_timeout, reply };
        self.jobs.send(job).map_err(|_| ClientError::NotSent("the client stopped".to_owned()))?;
        answer.await.map_err(|_| ClientError::Unknown("the client stopped".to_owned()))?
    }
}

async fn run(
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
            let _ = started.send(Err(anyhow!("http client: {error:?}")));
            return;
        }
    };
    let _ = started.send(Ok(()));
    while let Some(job) = queue.recv().await {
        ntex::rt::spawn(perform(client.clone(), job));
    }
}

async fn perform(client: ntex::client::Client, mut job: Job) {
    let exchange = exchange(&client, job.address, job.request, job.head_timeout);
    let result = tokio::select! {
        result = exchange => result,
        () = job.reply.closed() => return,
    };
    let (response, head) = match result {
        Ok(found) => found,
        Err(error) => {
            let _ = job.reply.send(Err(error));
            return;
        }
    };
    let (pieces, body) = mpsc::channel(BODY_QUEUE);
    let reply = ClientResponse { status: head.0, headers: head.1, body };
    if job.reply.send(Ok(reply)).is_ok() {
        forward_body(response, pieces).await;
    }
}

type Head = (u16, Headers);

async fn exchange(
    client: &ntex::client::Client,
    address: SocketAddr,
    request: Request,
    head_timeout: Duration,
) -> Result<(ntex::client::ClientResponse, Head), ClientError> {
    let mut target = format!("http://{address}{}", request.path);
    if !request.query.is_empty() {
        target.push('?');
        target.push_str(&request.query);
    }
    let method = ntex::http::Method::from_bytes(request.method.as_bytes())
        .map_err(|error| ClientError::NotSent(error.to_string()))?;
    let mut outgoing = client.request(method, target.as_str());
    for (name, value) in request.headers.iter() {
        outgoing = outgoing.header(name, value);
    }
    let timeout = Millis::from(head_timeout);
    let body = ntex::util::Bytes::copy_from_slice(&request.body);
    let response =
        outgoing.timeout(timeout).send_body(body).await.map_err(|error| classify(&error))?;
    let mut headers = Headers::default();
    for (name, value) in response.headers() {
        if let Ok(value) = value.to_str() {
            headers.push(name.as_str(), value);
        }
    }
    let status = response.status().as_u16();
    Ok((response, (status, headers)))
}

fn classify(error: &ntex::client::error::ClientError) -> ClientError {
    use ntex::client::error::ClientError as Source;
    let reason = format!("{error:?}");
    match error {
        Source::Connect(_) => ClientError::NotSent(reason),
        _ => ClientError::Unknown(reason),
    }
}

async fn forward_body(
    mut response: ntex::client::ClientResponse,
    pieces: mpsc::Sender<Result<Bytes, ClientError>>,
) {
    loop {
        let piece = tokio::select! {
            piece = response.next() => piece,
            () = pieces.closed() => return,
        };
        let piece = match piece {
            None => return,
            Some(Ok(piece)) => Ok(Bytes::copy_from_slice(&piece)),
            Some(Err(error)) => Err(ClientError::Unknown(format!("{error:?}"))),
        };
        let broken = piece.is_err();
        if pieces.send(piece).await.is_err() || broken {
            return;
        }
    }
}
