//! Connections to agents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};
use wire::v1::agent_client::AgentClient;

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One connection to each agent, shared by all requests.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    connections: Mutex<HashMap<SocketAddr, AgentClient<Channel>>>,
}

impl Agents {
    /// A client of the agent at `address`; the connection is made when it is needed.
    pub(crate) fn client(
        &self,
        address: SocketAddr,
    ) -> Result<AgentClient<Channel>, tonic::transport::Error> {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = connections.get(&address) {
            return Ok(client.clone());
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        let client = AgentClient::new(channel);
        connections.insert(address, client.clone());
        Ok(client)
    }

    /// Drops the connection, so that the next client gets a new one.
    pub(crate) fn replace(&self, address: SocketAddr) {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }
}
