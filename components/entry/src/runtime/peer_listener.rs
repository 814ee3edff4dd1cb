//! gRPC listener on which other processes fetch the configuration.

use std::net::SocketAddr;

use anyhow::{Context, Result};
use log::warn;
use peers::PeerService;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;

/// A bound listener and its local address.
pub(crate) type BoundListener = (SocketAddr, TcpListener);

/// A listener that is being served.
pub(crate) struct PeerListener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

/// Binds the address if one is set.
pub(crate) async fn bind(listen: Option<SocketAddr>) -> Result<Option<BoundListener>> {
    let Some(listen) = listen else { return Ok(None) };
    let listener = TcpListener::bind(listen)
        .await
        .with_context(|| format!("peers.listen: {listen} cannot be bound"))?;
    Ok(Some((listener.local_addr()?, listener)))
}

impl PeerListener {
    pub(crate) fn spawn((address, listener): BoundListener, service: PeerService) -> PeerListener {
        let incoming = TcpListenerStream::new(listener);
        let server = tonic::transport::Server::builder()
            .tcp_nodelay(true)
            .add_service(service)
            .serve_with_incoming(incoming);
        let task = tokio::spawn(async move {
            if let Err(error) = server.await {
                warn!("peer listener ended: {error}");
            }
        });
        PeerListener { address, task }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn stop(self) {
        self.task.abort();
    }
}
