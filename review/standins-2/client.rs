//! Stand-in of a client: one request on a new channel.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Input, Message, is_chunked, read_chunk, read_head, read_message};

/// Time for a new channel.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

/// A new id of a client attempt.
pub fn new_attempt() -> String {
    format!("{:016x}", LAST_ATTEMPT.fetch_add(1, Ordering::SeqCst) + 0x9c41_0000_0000)
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request {
    pub attempt: String,
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline: Duration,
    /// Further header lines, each with its end.
    pub more: String,
    pub body: Vec<u8>,
}

fn connect(to: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    Ok(stream)
}

/// Sends a request and reads the answer to its end.
pub fn send(to: SocketAddr, request: &Request) -> io::Result<Message> {
    send_timed(to, request).map(|(answer, _)| answer)
}

/// Sends a request and reads the answer to its end. Returns also when its head was there.
pub fn send_timed(to: SocketAddr, request: &Request) -> io::Result<(Message, Instant)> {
    let limit = request.deadline;
    let mut stream = connect(to, limit)?;
    stream.write_all(&encode(request))?;
    let mut input = Input::new(stream);
    let mut answer = read_head(&mut input)?;
    let answered_at = Instant::now();
    if is_chunked(&answer) {
        while let Some(chunk) = read_chunk(&mut input)? {
            answer.body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = answer.header("content-length").and_then(|text| text.parse().ok())
    {
        answer.body = vec![0; length];
        io::Read::read_exact(&mut input, &mut answer.body)?;
    }
    Ok((answer, answered_at))
}

/// A channel that a client keeps.
pub struct Channel {
    output: TcpStream,
    input: Input,
}

impl Channel {
    pub fn open(to: SocketAddr, limit: Duration) -> io::Result<Channel> {
        let output = connect(to, limit)?;
        let input = Input::new(output.try_clone()?);
        Ok(Channel { output, input })
    }

    /// Sends a request and reads the answer to its end.
    pub fn send(&mut self, request: &Request) -> io::Result<Message> {
        self.output.write_all(&encode(request))?;
        read_message(&mut self.input)
    }
}

/// Sends a request and reads the first head that comes back.
pub fn read_first_head(to: SocketAddr, request: &Request) -> io::Result<Message> {
    let mut stream = connect(to, request.deadline)?;
    stream.write_all(&encode(request))?;
    read_head(&mut Input::new(stream))
}

/// The bytes of a request.
pub fn encode(request: &Request) -> Vec<u8> {
    let Request { attempt, method, path, key, deadline, more, body } = request;
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {}\r\nAuthorization: Bearer {key}\r\n{more}Content-Length: {}\r\n\r\n",
        deadline.as_millis(),
        body.len(),
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Status of the answer to a plain GET.
pub fn get_status(to: SocketAddr, path: &str, limit: Duration) -> Option<u16> {
    let mut stream = connect(to, limit).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).ok()?;
    read_message(&mut Input::new(stream)).ok().map(|answer| answer.status())
}
