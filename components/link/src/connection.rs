//! One connection.

use std::fmt;
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

/// A response whose body is still to be read.
pub type LinkResponse = Response<Incoming>;

/// How long a connection waits for the other side.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// For the handshake.
    pub connect: Duration,
    /// For bytes sent to be acknowledged, before the connection counts as lost.
    pub unacknowledged: Duration,
    /// Between probes of a connection on which nothing is heard.
    pub probe: Duration,
}

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// Nothing of the request left this process.
    NotSent(String),
    /// The request may have arrived.
    Unknown(String),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::NotSent(reason) => write!(f, "not sent: {reason}"),
            LinkError::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
        }
    }
}

impl std::error::Error for LinkError {}

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

/// Opens a connection. Must be called on a thread that runs a `LocalSet`.
pub async fn connect(address: SocketAddr, timeouts: Timeouts) -> Result<Connection, LinkError> {
    let stream = tokio::time::timeout(timeouts.connect, TcpStream::connect(address))
        .await
        .map_err(|_| LinkError::NotSent(format!("{address}: no connection in time")))?
        .map_err(|error| LinkError::NotSent(format!("{address}: {error}")))?;
    set_options(&stream, timeouts);
    let (sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| LinkError::NotSent(format!("{address}: {error}")))?;
    tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            debug!("connection.ended to={address} error={error}");
        }
    });
    Ok(Connection { sender })
}

fn set_options(stream: &TcpStream, timeouts: Timeouts) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(timeouts.probe).with_interval(timeouts.probe);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(timeouts.unacknowledged)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = set {
        debug!("connection.options error={error}");
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response. Dropping the future closes the
    /// connection.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<LinkResponse, LinkError> {
        self.sender.try_send_request(request).await.map_err(|mut failed| {
            let unsent = failed.take_message().is_some();
            let reason = failed.error().to_string();
            if unsent { LinkError::NotSent(reason) } else { LinkError::Unknown(reason) }
        })
    }

    /// Whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is gone.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Reads a body to its end; an error where it breaks off or is longer than `limit_bytes`.
pub async fn read_whole(mut body: Incoming, limit_bytes: usize) -> Result<Bytes, LinkError> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| LinkError::Unknown(error.to_string()))?;
        if let Ok(piece) = frame.into_data() {
            if whole.len() + piece.len() > limit_bytes {
                return Err(LinkError::Unknown(format!("body over {limit_bytes} bytes")));
            }
            whole.extend_from_slice(&piece);
        }
    }
    Ok(whole.freeze())
}
