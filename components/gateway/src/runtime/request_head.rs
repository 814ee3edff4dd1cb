//! The caller's request as it came.

use bytes::{Bytes, BytesMut};
use errors::{Refusal, ResultCode};
use futures_util::future::poll_fn;
use http::{HeaderMap, HeaderValue, Method, Uri, header};
use ntex::http::{Payload, Request};

/// A request that was read whole.
pub(super) struct Incoming {
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) host: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Reads a request whole; a refusal where it is larger than callers may send, or broken.
pub(super) async fn read(
    mut request: Request,
    header_bytes: usize,
    body_bytes: usize,
) -> Result<Incoming, Refusal> {
    let headers = copy_headers(&request)?;
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size > header_bytes {
        return Err(Refusal::not_run(ResultCode::HeaderTooLarge));
    }
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| request.uri().authority().map(|authority| authority.as_str()))
        .ok_or_else(|| malformed("no Host header"))?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_owned();
    let target = request
        .uri()
        .path_and_query()
        .and_then(|target| Uri::try_from(target.as_str()).ok())
        .ok_or_else(|| malformed("no path"))?;
    let method = request.method().clone();
    let body = read_body(request.take_payload(), body_bytes).await?;
    Ok(Incoming { method, target, host, headers, body })
}

fn malformed(reason: &str) -> Refusal {
    Refusal::not_run(ResultCode::MalformedRequest).with_message(reason)
}

fn copy_headers(request: &Request) -> Result<HeaderMap, Refusal> {
    let mut headers = HeaderMap::with_capacity(request.headers().len());
    for (name, value) in request.headers() {
        let value = HeaderValue::from_bytes(value.as_bytes())
            .map_err(|_| malformed("a header value that cannot be passed on"))?;
        headers.append(name.clone(), value);
    }
    Ok(headers)
}

async fn read_body(mut payload: Payload, limit_bytes: usize) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(piece) = poll_fn(|cx| payload.poll_recv(cx)).await {
        let piece = piece.map_err(|error| malformed(&error.to_string()))?;
        if body.len() + piece.len() > limit_bytes {
            return Err(Refusal::not_run(ResultCode::BodyTooLarge));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}
