//! Clients, each request on a new connection.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::KEY;
use crate::http::{self, Message};

/// An answer as a client got it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub retry_after: Option<Duration>,
    pub body: Vec<u8>,
    /// Whether the answer ended as a complete one.
    pub complete: bool,
}

/// Sends a request, and reads its answer until it ends or breaks off.
pub fn send(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head: Message = http::read_head(&mut reader)?;
    let retry_after = head.header("retry-after").and_then(|value| value.parse().ok());
    let mut answer = Answer {
        status: head.status(),
        retry_after: retry_after.map(Duration::from_secs_f64),
        ..Answer::default()
    };
    if head.header("transfer-encoding").is_none() {
        let length = head.header("content-length").and_then(|value| value.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        answer.complete = io::Read::read_exact(&mut reader, &mut body).is_ok();
        answer.body = body;
        return Ok(answer);
    }
    loop {
        match http::read_chunk(&mut reader) {
            Ok(Some(chunk)) => answer.body.extend(chunk),
            Ok(None) => {
                answer.complete = true;
                return Ok(answer);
            }
            Err(_) => return Ok(answer),
        }
    }
}

/// Head of a request for a stream. `shared_parts` are the parts of its prompt without the last.
pub fn stream_request(attempt_id: &str, shared_parts: &[&str], tokens: &str) -> String {
    let shared: String = shared_parts.iter().map(|part| format!("{part}:60,")).collect();
    format!(
        "POST /answer/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt_id}\r\nModel: m\r\nToken-Counts: {tokens}\r\nPrompt-Prefix: {shared}{attempt_id}:100\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    )
}
