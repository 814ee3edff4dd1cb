//! A TCP relay that can stop forwarding on its open connections without closing them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const BUFFER_BYTES: usize = 16 << 10;

/// Stands between two processes.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    /// Connections accepted before this number of silences forward nothing more.
    silences: Arc<AtomicU64>,
    to: Arc<Mutex<SocketAddr>>,
}

impl Relay {
    pub async fn spawn(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind(super::loopback()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let relay = Relay { address, silences: Arc::default(), to: Arc::new(Mutex::new(to)) };
        let accepting = relay.clone();
        tokio::spawn(async move {
            while let Ok((incoming, _)) = listener.accept().await {
                let Ok(outgoing) = TcpStream::connect(accepting.target()).await else { continue };
                accepting.join(incoming, outgoing);
            }
        });
        relay
    }

    /// New connections go to another address.
    pub fn lead_to(&self, to: SocketAddr) {
        *self.to.lock().unwrap() = to;
    }

    fn target(&self) -> SocketAddr {
        *self.to.lock().unwrap()
    }

    /// Open connections forward nothing from now on; new ones work.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    fn join(&self, incoming: TcpStream, outgoing: TcpStream) {
        let (from_left, to_left) = incoming.into_split();
        let (from_right, to_right) = outgoing.into_split();
        let accepted_at = self.silences.load(Ordering::SeqCst);
        tokio::spawn(forward(self.silences.clone(), accepted_at, from_left, to_right));
        tokio::spawn(forward(self.silences.clone(), accepted_at, from_right, to_left));
    }
}

async fn forward(
    silences: Arc<AtomicU64>,
    accepted_at: u64,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        if silences.load(Ordering::SeqCst) > accepted_at {
            // Neither end learns of it: both halves stay open for good.
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
