//! Connections to other processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use anyhow::Result;
use configuration::sync::PEER_TIMEOUT;
use tonic::transport::{Channel, Endpoint};
use wire::v1::peer_client::PeerClient;

/// Largest message, which is a whole configuration.
const MESSAGE_LIMIT_BYTES: usize = 64 << 20;

/// Most connections that are kept.
const CONNECTION_LIMIT: usize = 64;

type Client = PeerClient<Channel>;

/// One connection to each process that is asked.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    clients: Mutex<HashMap<SocketAddr, Client>>,
}

impl Connections {
    /// A client of the process at an address; the connection is made when it is needed.
    pub(crate) fn client(&self, address: SocketAddr) -> Result<Client> {
        let mut clients = self.clients();
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(PEER_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        let client = PeerClient::new(channel).max_decoding_message_size(MESSAGE_LIMIT_BYTES);
        if clients.len() >= CONNECTION_LIMIT {
            clients.clear();
        }
        clients.insert(address, client.clone());
        Ok(client)
    }

    /// Drops a connection, so that the next client gets a new one.
    pub(crate) fn drop_client(&self, address: SocketAddr) {
        self.clients().remove(&address);
    }

    fn clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
