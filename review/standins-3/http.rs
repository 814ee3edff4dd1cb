//! Minimal HTTP/1.1 over blocking sockets, for servers and clients.

use std::io::{self, BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.start.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if message.start.is_empty() => message.start = line.to_owned(),
            _ if line.is_empty() => return Ok(Some(message)),
            Some((name, value)) => {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
            None => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Reads a request or a response with its body, which has a length or comes in chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Binds a free port and serves each connection on a thread of its own, until the process ends.
pub fn serve(
    handle: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, handle));
        }
    });
    Ok(address)
}

fn serve_connection(
    mut stream: TcpStream,
    handle: impl Fn(&Message, &mut TcpStream) -> io::Result<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader)? {
        if !handle(&request, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Sends a request on a connection of its own and reads the whole response.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    use std::io::Write;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    read_message(&mut BufReader::new(&mut stream as &mut dyn Read))?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
