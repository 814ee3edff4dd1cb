//! Host list over HTTP: `GET /hosts` returns a JSON object that maps hosts to their states.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use identity::HostId;
use web::{Client, Request};

use crate::{HostList, HostListError, HostState};

const READ_TIMEOUT: Duration = Duration::from_secs(2);
const HTTP_OK: u16 = 200;

/// Client of the host list at an address.
#[derive(Clone)]
pub struct HttpHostList {
    client: Client,
    address: SocketAddr,
}

impl HttpHostList {
    /// Creates a host list that is read from `address` through `client`.
    pub fn new(client: Client, address: SocketAddr) -> HttpHostList {
        HttpHostList { client, address }
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn read(&self) -> Result<BTreeMap<HostId, HostState>, HostListError> {
        let request = Request::new("GET", "/hosts");
        let mut response = self
            .client
            .send(self.address, request, READ_TIMEOUT)
            .await
            .map_err(|error| HostListError(error.to_string()))?;
        let body = tokio::time::timeout(READ_TIMEOUT, response.read_body())
            .await
            .map_err(|_| HostListError("timed out while reading the response body".to_owned()))?
            .map_err(|error| HostListError(error.to_string()))?;
        if response.status != HTTP_OK {
            return Err(HostListError(format!("status {}", response.status)));
        }
        serde_json::from_slice(&body).map_err(|error| HostListError(error.to_string()))
    }
}
