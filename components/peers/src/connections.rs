//! Connections to the peers that the configuration is fetched from.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use anyhow::Result;
use configuration::sync::PEER_TIMEOUT;
use tonic::transport::{Channel, Endpoint};
use wire::v1::peer_client::PeerClient;

/// Largest reply that is accepted from a peer. A reply can contain a whole configuration document.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Most connections that are kept open. At the limit, all are dropped before a new one is added.
const MAX_CONNECTIONS: usize = 64;

type Client = PeerClient<Channel>;

/// Connections to peers, one for each address.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    clients: Mutex<HashMap<SocketAddr, Client>>,
}

impl Connections {
    /// Returns a client for the peer at this address. The connection is made at the first call.
    pub(crate) fn client(&self, address: SocketAddr) -> Result<Client> {
        let mut clients = self.clients();
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(PEER_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        let client = PeerClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES);
        if clients.len() >= MAX_CONNECTIONS {
            clients.clear();
        }
        clients.insert(address, client.clone());
        Ok(client)
    }

    /// Drops the connection to a peer, so that the next client gets a new one.
    pub(crate) fn drop_client(&self, address: SocketAddr) {
        self.clients().remove(&address);
    }

    fn clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
