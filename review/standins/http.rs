//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Value of a parameter of the query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))?;
        Some(percent_decode(value))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        let digits = after.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let decoded = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match decoded.filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if !line.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else { return Ok(message) };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let size = read_line(reader)?;
    let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok((size > 0).then_some(chunk))
}

/// Reads a message with its body; a response without a length ends with its connection.
pub fn read_message(reader: &mut BufReader<TcpStream>, is_request: bool) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if !is_request {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(message)
}
