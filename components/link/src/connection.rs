//! A single HTTP/1.1 client connection.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use log::debug;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use crate::limited_stream::{LimitedStream, ResponseLimit};
use crate::transfer::{TransferLimits, TransferProgress};

/// Largest head of a response, and largest part of its body that is read at a time: four times the
/// headers of the largest request on the users' platform.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// The buffer of a body grows by this part of its length at least, so that little of it is unused.
const BODY_GROWTH_DIVISOR: usize = 8;

/// Response head with a body that has not been read yet.
pub type LinkResponse = Response<Incoming>;

/// Timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Longest time for the TCP handshake.
    pub connect: Duration,
    /// Longest time until sent bytes are acknowledged; then the connection is closed
    /// (`TCP_USER_TIMEOUT`).
    pub unacknowledged: Duration,
    /// Idle time before the first TCP keepalive probe, and the interval between probes.
    pub keepalive_interval: Duration,
}

/// Failure to open a connection, to send a request or to read its response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// No part of the request was sent.
    NotSent(String),
    /// The host answers, but no process listens at the address. No part of the request was sent.
    Refused(String),
    /// The request may have reached the server.
    Unknown(String),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::NotSent(reason) | LinkError::Refused(reason) => {
                write!(f, "not sent: {reason}")
            }
            LinkError::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
        }
    }
}

impl std::error::Error for LinkError {}

/// Open connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    limit: ResponseLimit,
    request_count: u32,
}

/// Opens a connection. Must be called from within a `LocalSet`, because the task that drives the
/// connection is spawned locally.
pub async fn connect(address: SocketAddr, timeouts: Timeouts) -> Result<Connection, LinkError> {
    let stream = tokio::time::timeout(timeouts.connect, TcpStream::connect(address))
        .await
        .map_err(|_| LinkError::NotSent(format!("{address}: connect timed out")))?
        .map_err(|error| connect_error(address, &error))?;
    set_socket_options(&stream, timeouts);
    let limit = ResponseLimit::default();
    let stream = LimitedStream::new(stream, limit.clone());
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| LinkError::NotSent(format!("{address}: {error}")))?;
    tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            debug!("connection.ended to={address} error={error}");
        }
    });
    Ok(Connection { sender, limit, request_count: 0 })
}

/// Describes an error of the HTTP client with what it comes from.
fn describe(error: &hyper::Error) -> String {
    error.source().map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}

fn connect_error(address: SocketAddr, error: &io::Error) -> LinkError {
    let reason = format!("{address}: {error}");
    match error.kind() {
        io::ErrorKind::ConnectionRefused => LinkError::Refused(reason),
        _ => LinkError::NotSent(reason),
    }
}

fn set_socket_options(stream: &TcpStream, timeouts: Timeouts) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(timeouts.keepalive_interval)
        .with_interval(timeouts.keepalive_interval);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(timeouts.unacknowledged)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = result {
        debug!("connection.options_not_set error={error}");
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response. Fails if too much arrives before it.
    /// Dropping the future before that closes the connection.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<LinkResponse, LinkError> {
        self.request_count = self.request_count.saturating_add(1);
        self.limit.begin();
        let sent = self.sender.try_send_request(request).await;
        self.limit.end();
        sent.map_err(|mut failed| {
            let unsent = failed.take_message().is_some();
            let reason = describe(failed.error());
            if unsent { LinkError::NotSent(reason) } else { LinkError::Unknown(reason) }
        })
    }

    /// Number of requests that have been sent on the connection.
    pub fn request_count(&self) -> u32 {
        self.request_count
    }

    /// Returns whether the connection can send a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Reads a body to its end. Fails if the body is truncated or longer than `limit_bytes`.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, LinkError> {
    read_held_body(body, limit_bytes, |_| Ok(())).await
}

/// Reads a body to its end. Fails if the body is truncated or longer than `limit_bytes`, or if `hold`
/// refuses the room that it takes so far, with a reason.
pub async fn read_held_body(
    mut body: Incoming,
    limit_bytes: usize,
    mut hold: impl FnMut(usize) -> Result<(), String>,
) -> Result<Bytes, LinkError> {
    let mut content = Vec::new();
    while let Some(chunk) = next_chunk(&mut body).await? {
        check_length(content.len() + chunk.len(), limit_bytes)?;
        if content.capacity() - content.len() < chunk.len() {
            let further_bytes = chunk.len().max(content.len() / BODY_GROWTH_DIVISOR);
            hold(content.len() + further_bytes).map_err(LinkError::Unknown)?;
            content.reserve_exact(further_bytes);
        }
        content.extend_from_slice(&chunk);
    }
    Ok(content.into())
}

/// Reads a body to its end while it makes progress, and reports the number of bytes received so far
/// after each part.
pub async fn read_transfer(
    mut body: Incoming,
    limits: TransferLimits,
    mut on_received: impl FnMut(usize),
) -> Result<Bytes, LinkError> {
    let mut content = BytesMut::new();
    let mut progress = TransferProgress::begin(limits);
    loop {
        let chunk = timeout_at(progress.stalls_at(), next_chunk(&mut body)).await;
        let Some(chunk) = chunk.map_err(|_| LinkError::Unknown(progress.describe_stall()))?? else {
            return Ok(content.freeze());
        };
        append(&mut content, &chunk, limits.max_bytes)?;
        progress.record(chunk.len());
        on_received(content.len());
    }
}

/// Next part of a body; `None` at its end.
async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, LinkError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| LinkError::Unknown(error.to_string()))?;
        if let Ok(chunk) = frame.into_data() {
            return Ok(Some(chunk));
        }
    }
    Ok(None)
}

fn append(content: &mut BytesMut, chunk: &[u8], limit_bytes: usize) -> Result<(), LinkError> {
    check_length(content.len() + chunk.len(), limit_bytes)?;
    content.extend_from_slice(chunk);
    Ok(())
}

fn check_length(length_bytes: usize, limit_bytes: usize) -> Result<(), LinkError> {
    if length_bytes > limit_bytes {
        return Err(LinkError::Unknown(format!("body exceeds the limit of {limit_bytes} bytes")));
    }
    Ok(())
}
