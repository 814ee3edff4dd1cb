//! A TCP relay that can stop forwarding on its open connections without closing them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const BUFFER_BYTES: usize = 16 << 10;

/// A relay between two processes.
#[derive(Clone)]
pub struct Relay {
    /// The address that the relay listens on.
    pub address: SocketAddr,
    /// Number of calls of `silence_connections`. A connection accepted at a lower number forwards
    /// nothing more.
    silence_count: Arc<AtomicU64>,
    target: Arc<Mutex<SocketAddr>>,
}

impl Relay {
    pub async fn spawn(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind(super::loopback()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let relay =
            Relay { address, silence_count: Arc::default(), target: Arc::new(Mutex::new(target)) };
        let acceptor = relay.clone();
        tokio::spawn(async move {
            while let Ok((incoming, _)) = listener.accept().await {
                let Ok(outgoing) = TcpStream::connect(acceptor.target()).await else { continue };
                acceptor.start_forwarding(incoming, outgoing);
            }
        });
        relay
    }

    /// Forwards new connections to another address.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = target;
    }

    fn target(&self) -> SocketAddr {
        *self.target.lock().unwrap()
    }

    /// Stops forwarding on the open connections, without closing them. New connections work.
    pub fn silence_connections(&self) {
        self.silence_count.fetch_add(1, Ordering::SeqCst);
    }

    fn start_forwarding(&self, incoming: TcpStream, outgoing: TcpStream) {
        let (incoming_read, incoming_write) = incoming.into_split();
        let (outgoing_read, outgoing_write) = outgoing.into_split();
        let count_at_accept = self.silence_count.load(Ordering::SeqCst);
        tokio::spawn(forward(
            self.silence_count.clone(),
            count_at_accept,
            incoming_read,
            outgoing_write,
        ));
        tokio::spawn(forward(
            self.silence_count.clone(),
            count_at_accept,
            outgoing_read,
            incoming_write,
        ));
    }
}

async fn forward(
    silence_count: Arc<AtomicU64>,
    count_at_accept: u64,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        if silence_count.load(Ordering::SeqCst) > count_at_accept {
            // Keeps both halves of the connection open, so that neither end notices.
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
