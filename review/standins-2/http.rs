//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;

/// Head and body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request, or the protocol of a response.
    pub fn first_word(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Target of a request, or the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

pub type Input = BufReader<TcpStream>;

fn read_line(input: &mut Input) -> io::Result<String> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads first line and headers.
pub fn read_head(input: &mut Input) -> io::Result<Message> {
    let mut message = Message { start: read_line(input)?, ..Message::default() };
    loop {
        let line = read_line(input)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body; `None` at its end.
pub fn read_chunk(input: &mut Input) -> io::Result<Option<Vec<u8>>> {
    let size = read_line(input)?;
    let size = size.split(';').next().unwrap_or("").trim();
    let length = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length];
    input.read_exact(&mut chunk)?;
    read_line(input)?;
    Ok((length > 0).then_some(chunk))
}

pub fn is_chunked(message: &Message) -> bool {
    message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
}

/// Reads a message with its complete body. Without a length or chunks, a request has no body, and
/// that of a response ends with its connection.
pub fn read_message(input: &mut Input) -> io::Result<Message> {
    let mut message = read_head(input)?;
    if is_chunked(&message) {
        while let Some(chunk) = read_chunk(input)? {
            message.body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        input.read_exact(&mut message.body)?;
    } else if message.start.starts_with("HTTP/") {
        input.read_to_end(&mut message.body)?;
    }
    Ok(message)
}

/// Writes a response with a length.
pub fn write_response(
    output: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}
