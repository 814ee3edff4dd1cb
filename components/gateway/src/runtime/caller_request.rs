//! Reads callers' requests and enforces their size limits.

use bytes::Bytes;
use errors::{Refusal, ResultCode};
use http::{HeaderMap, HeaderValue, Method, Uri, header};
use intake::{Connection, IncomingBody, no_room};
use ntex::http::{HeaderMap as ParsedHeaders, Request};

use super::HeldBytes;
use crate::model::{CallerLimits, UpstreamId};

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
    connection: &Connection<UpstreamId>,
    mut request: Request,
    limits: CallerLimits,
) -> Result<IncomingRequest, Refusal> {
    let body = IncomingBody::take(&mut request);
    // The server keeps requests for further ones, with the room of their maps.
    let parsed = std::mem::take(&mut request.head_mut().headers);
    let headers = copy_headers(parsed)?;
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
    let body = body.read(connection, limits.body_bytes).await?;
    let held = connection.admit_request().map_err(|_| no_room())?;
    Ok(IncomingRequest { method, target, host, headers, body, held })
}

fn malformed(reason: &str) -> Refusal {
    Refusal::not_run(ResultCode::MalformedRequest).with_message(reason)
}

fn copy_headers(parsed: ParsedHeaders) -> Result<HeaderMap, Refusal> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for (name, value) in &parsed {
        let value = HeaderValue::from_bytes(value.as_bytes())
            .map_err(|_| malformed("invalid header value"))?;
        headers
            .try_append(name.clone(), value)
            .map_err(|_| Refusal::not_run(ResultCode::HeaderTooLarge))?;
    }
    Ok(headers)
}
