//! Requests and responses as plain values.

use bytes::Bytes;
use tokio::sync::mpsc;

/// Header names (lower case) and values, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The first value of a header; `name` in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Adds a header.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.0.push((name.into().to_ascii_lowercase(), value.into()));
    }

    /// Every header in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

/// A request whose body has been read whole.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method in upper case.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query without the question mark.
    pub query: String,
    /// Headers as given.
    pub headers: Headers,
    /// The whole body.
    pub body: Bytes,
    /// The body was larger than the server's limit and is not here.
    pub body_truncated: bool,
}

impl Request {
    /// A request for a client to send; `target` is the path with its query.
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

    /// The value of a query parameter, as it stands.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Sends the pieces of a streamed body; dropped, it ends the body.
pub type BodySender = mpsc::Sender<Bytes>;

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// All of it at once.
    Whole(Bytes),
    /// Piece by piece until the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

/// A response of a handler.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// The body.
    pub body: Body,
}

impl Response {
    /// A response with a whole body of the given type.
    pub fn whole(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response {
        let mut headers = Headers::default();
        headers.push("content-type", content_type);
        Response { status, headers, body: Body::Whole(body.into()) }
    }

    /// A response that is streamed; pieces go into the sender.
    pub fn streamed(status: u16, content_type: &str, capacity: usize) -> (BodySender, Response) {
        let (sender, receiver) = mpsc::channel(capacity);
        let mut headers = Headers::default();
        headers.push("content-type", content_type);
        (sender, Response { status, headers, body: Body::Stream(receiver) })
    }

    /// A JSON response.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Response {
        match serde_json::to_vec(value) {
            Ok(body) => Response::whole(status, "application/json", body),
            Err(error) => Response::whole(500, "text/plain", error.to_string()),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Response {
        self.headers.push(name, value);
        self
    }
}
