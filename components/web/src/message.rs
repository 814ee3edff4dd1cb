//! Request and response types, independent of ntex.

use bytes::Bytes;
use tokio::sync::mpsc;

/// Header names (in lower case) and values, in the order of the message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Returns the first value of a header; `name` must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Adds a header.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.0.push((name.into().to_ascii_lowercase(), value.into()));
    }

    /// Iterates over all headers in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

/// HTTP request with its complete body.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Headers as received or to be sent.
    pub headers: Headers,
    /// Complete body, unless it was truncated.
    pub body: Bytes,
    /// Whether the body exceeded the server's size limit and was not read to its end.
    pub body_truncated: bool,
}

impl Request {
    /// Creates a request for a client to send; `target` is the path with the query.
    pub fn new(method: &str, target: &str) -> Request {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query.to_owned(),
            headers: Headers::default(),
            body: Bytes::new(),
            body_truncated: false,
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Request {
        self.headers.push(name, value);
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Request {
        self.body = body.into();
        self
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Sends the chunks of a streamed body. Dropping it ends the body.
pub type BodySender = mpsc::Sender<Bytes>;

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// Complete body in memory.
    Buffered(Bytes),
    /// Chunks of a streamed body; the body ends when the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

/// HTTP response of a handler.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// Body.
    pub body: Body,
}

impl Response {
    /// Creates a response with a complete body of the given content type.
    pub fn buffered(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response {
        let mut headers = Headers::default();
        headers.push("content-type", content_type);
        Response { status, headers, body: Body::Buffered(body.into()) }
    }

    /// Creates a response with a streamed body, and the sender for its chunks. At most `capacity`
    /// chunks are buffered.
    pub fn streamed(status: u16, content_type: &str, capacity: usize) -> (BodySender, Response) {
        let (sender, receiver) = mpsc::channel(capacity);
        let mut headers = Headers::default();
        headers.push("content-type", content_type);
        (sender, Response { status, headers, body: Body::Stream(receiver) })
    }

    /// Creates a JSON response.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Response {
        match serde_json::to_vec(value) {
            Ok(body) => Response::buffered(status, "application/json", body),
            Err(error) => Response::buffered(500, "text/plain", error.to_string()),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Response {
        self.headers.push(name, value);
        self
    }
}
