//! Reads callers' requests and enforces their size limits.

use bytes::{Bytes, BytesMut};
use errors::{Refusal, ResultCode};
use futures_util::future::poll_fn;
use http::{HeaderMap, HeaderValue, Method, Uri, header};
use ntex::http::{Payload, Request};

use super::admission::OTHER_GATEWAY_RETRY_AFTER;
use crate::byte_budget::{BudgetExceeded, HeldBytes};
use crate::model::CallerLimits;

/// A caller's request, read completely.
pub(super) struct IncomingRequest {
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) host: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) held: HeldBytes,
}

/// Reads a request completely. Refuses one that exceeds the limits, that is malformed, or for which
/// there is no room.
pub(super) async fn read_request(
    mut request: Request,
    limits: CallerLimits,
    held: Result<HeldBytes, BudgetExceeded>,
) -> Result<IncomingRequest, Refusal> {
    let mut held = held.map_err(no_room)?;
    let headers = copy_headers(&request)?;
    let header_bytes: usize =
        headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if header_bytes > limits.header_bytes {
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
    let body = read_body(request.take_payload(), limits.body_bytes, &mut held).await?;
    Ok(IncomingRequest { method, target, host, headers, body, held })
}

fn malformed(reason: &str) -> Refusal {
    Refusal::not_run(ResultCode::MalformedRequest).with_message(reason)
}

fn no_room(_: BudgetExceeded) -> Refusal {
    Refusal::not_run(ResultCode::GatewayFull).with_retry_after(OTHER_GATEWAY_RETRY_AFTER)
}

fn copy_headers(request: &Request) -> Result<HeaderMap, Refusal> {
    let mut headers = HeaderMap::with_capacity(request.headers().len());
    for (name, value) in request.headers() {
        let value = HeaderValue::from_bytes(value.as_bytes())
            .map_err(|_| malformed("invalid header value"))?;
        headers.append(name.clone(), value);
    }
    Ok(headers)
}

async fn read_body(
    mut payload: Payload,
    limit_bytes: usize,
    held: &mut HeldBytes,
) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = poll_fn(|cx| payload.poll_recv(cx)).await {
        let chunk = chunk.map_err(|error| malformed(&error.to_string()))?;
        if body.len() + chunk.len() > limit_bytes {
            return Err(Refusal::not_run(ResultCode::BodyTooLarge));
        }
        body.reserve(chunk.len());
        held.hold(body.capacity()).map_err(no_room)?;
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
