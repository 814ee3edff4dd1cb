//! HTTP calls to the operators' interface of an entry process.

use std::net::SocketAddr;
use std::time::Duration;

use errors::ErrorBody;
use serde_json::Value;
use tokio::runtime::Runtime;
use web::{Client, ClientError, Request};

use super::Failure;
use crate::cmd::build_runtime;

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const HTTP_OK: u16 = 200;

/// HTTP client for the operators' interface of one entry process.
pub(crate) struct Connection {
    runtime: Runtime,
    client: Client,
    address: SocketAddr,
}

impl Connection {
    /// Creates the client; the first call connects.
    pub(crate) fn open(address: SocketAddr) -> Result<Connection, Failure> {
        let internal = |error: anyhow::Error| Failure::Internal(format!("{error:#}"));
        let runtime = build_runtime().map_err(internal)?;
        let client = Client::spawn().map_err(internal)?;
        Ok(Connection { runtime, client, address })
    }

    /// Sends a GET request and returns the JSON body of the response.
    pub(crate) fn get(&self, target: &str) -> Result<Value, Failure> {
        self.call(Request::new("GET", target))
    }

    /// Sends a POST request with a JSON body and returns the JSON body of the response.
    pub(crate) fn post(&self, target: &str, body: &Value) -> Result<Value, Failure> {
        self.call(Request::new("POST", target).body(body.to_string()))
    }

    fn call(&self, request: Request) -> Result<Value, Failure> {
        let exchange = async {
            let mut response = self.client.send(self.address, request, CALL_TIMEOUT).await?;
            let body = response.read_body().await?;
            Ok::<_, ClientError>((response.status, body))
        };
        let timed = async { tokio::time::timeout(CALL_TIMEOUT, exchange).await };
        let (status, body) = self
            .runtime
            .block_on(timed)
            .map_err(|_| {
                Failure::Unknown(format!("{}: no response within {CALL_TIMEOUT:?}", self.address))
            })?
            .map_err(|error| self.to_failure(error))?;
        if status == HTTP_OK {
            return serde_json::from_slice(&body)
                .map_err(|error| Failure::Internal(format!("{}: {error}", self.address)));
        }
        match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(body) => Err(Failure::Refused(Box::new(body))),
            Err(_) => Err(Failure::Internal(format!("{}: status {status}", self.address))),
        }
    }

    fn to_failure(&self, error: ClientError) -> Failure {
        match error {
            ClientError::NotSent(reason) => {
                Failure::Unreachable(format!("{}: {reason}", self.address))
            }
            ClientError::Unknown(reason) => Failure::Unknown(format!("{}: {reason}", self.address)),
        }
    }
}
