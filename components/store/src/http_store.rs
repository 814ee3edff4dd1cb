//! Key-value service over HTTP, with the API that `dragonflyfront-standin` serves.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use link::TransferLimits;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use web::{Client, ClientError, Request};

use crate::{KeyValueStore, LeaseId, Revision, StoreError, SwapResult, VersionedValue, WatchReply};

/// Time until a response begins.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits on the transfer of a response. Parts of the configuration and lists of keys grow with the
/// operators' use, so there is no limit on the whole transfer.
const RESPONSE_LIMITS: TransferLimits = TransferLimits {
    max_bytes: 64 << 20,
    progress_interval: Duration::from_secs(2),
    min_progress_bytes: 16 << 10,
};

const HTTP_OK: u16 = 200;
const HTTP_NOT_FOUND: u16 = 404;
const HTTP_CONFLICT: u16 = 409;
const HTTP_TOO_MANY_REQUESTS: u16 = 429;
const THROTTLE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Client of the key-value service at an address.
#[derive(Clone)]
pub struct HttpStore {
    client: Client,
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct WriteResponse {
    revision: Revision,
}

#[derive(Debug, Deserialize)]
struct ConflictResponse {
    revision: Option<Revision>,
}

#[derive(Debug, Deserialize)]
struct LeaseResponse {
    lease: LeaseId,
}

impl HttpStore {
    /// Creates a client that calls the service at `address` through `client`.
    pub fn new(client: Client, address: SocketAddr) -> HttpStore {
        HttpStore { client, address }
    }

    async fn send_request(
        &self,
        request: Request,
        timeout: Duration,
    ) -> Result<(u16, Bytes), StoreError> {
        let to_store_error = |error| match error {
            ClientError::NotSent(reason) => StoreError::Unavailable(reason),
            ClientError::Unknown(reason) => StoreError::Unknown(reason),
        };
        let sent = self.client.send(self.address, request, timeout);
        let mut response = tokio::time::timeout(timeout, sent)
            .await
            .map_err(|_| StoreError::Unknown("request timed out".to_owned()))?
            .map_err(to_store_error)?;
        let body = response.read_transfer(RESPONSE_LIMITS).await.map_err(to_store_error)?;
        let status = response.status;
        match status {
            HTTP_OK | HTTP_NOT_FOUND | HTTP_CONFLICT => Ok((status, body)),
            HTTP_TOO_MANY_REQUESTS => Err(StoreError::Throttled(THROTTLE_RETRY_AFTER)),
            other => Err(StoreError::Unavailable(format!("status {other}"))),
        }
    }

    async fn send_write(&self, request: Request) -> Result<SwapResult, StoreError> {
        let (status, body) = self.send_request(request, REQUEST_TIMEOUT).await?;
        if status == HTTP_OK {
            Ok(SwapResult::Written(parse_response::<WriteResponse>(&body)?.revision))
        } else {
            Ok(SwapResult::Conflict(parse_response::<ConflictResponse>(&body)?.revision))
        }
    }
}

fn parse_response<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body)
        .map_err(|error| StoreError::Unknown(format!("invalid response: {error}")))
}

#[async_trait]
impl KeyValueStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, StoreError> {
        let request = Request::new("GET", &format!("/kv?key={key}"));
        let (status, body) = self.send_request(request, REQUEST_TIMEOUT).await?;
        if status == HTTP_NOT_FOUND { Ok(None) } else { parse_response(&body).map(Some) }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<VersionedValue>, StoreError> {
        let request = Request::new("GET", &format!("/kv?prefix={prefix}"));
        let (_, body) = self.send_request(request, REQUEST_TIMEOUT).await?;
        parse_response(&body)
    }

    async fn swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError> {
        let expected = expected.map_or(0, |revision| revision.0);
        let lease = lease.map_or(String::new(), |lease| format!("&lease={}", lease.0));
        let target = format!("/kv?key={key}&expected={expected}{lease}");
        self.send_write(Request::new("PUT", &target).body(value.to_owned())).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<SwapResult, StoreError> {
        let target = format!("/kv?key={key}&expected={}", expected.0);
        self.send_write(Request::new("DELETE", &target)).await
    }

    async fn grant_lease(&self, duration: Duration) -> Result<LeaseId, StoreError> {
        let target = format!("/leases?duration_ms={}", duration.as_millis());
        let (_, body) = self.send_request(Request::new("POST", &target), REQUEST_TIMEOUT).await?;
        parse_response::<LeaseResponse>(&body).map(|response| response.lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let target = format!("/leases?lease={}", lease.0);
        let (status, _) = self.send_request(Request::new("PUT", &target), REQUEST_TIMEOUT).await?;
        Ok(status == HTTP_OK)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchReply, StoreError> {
        let target =
            format!("/watch?prefix={prefix}&after={}&wait_ms={}", after.0, wait.as_millis());
        let (_, body) =
            self.send_request(Request::new("GET", &target), wait + REQUEST_TIMEOUT).await?;
        parse_response(&body)
    }
}
