//! Sends digests to the other entries and takes in theirs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use log::debug;
use tokio::net::UdpSocket;

use super::hand_over::SharedRef;
use super::state::Shared;
use crate::peers::Digest;

/// Between digests. Placement tolerates this age: an entry places some ten requests meanwhile.
const DIGEST_PERIOD: Duration = Duration::from_millis(100);

/// Between digests while requests wait somewhere: a place that one entry frees should not stand
/// empty for long before another takes it.
const HASTENED_PERIOD: Duration = Duration::from_millis(15);

/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 16 << 10;

pub(super) async fn bind(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address).await.with_context(|| format!("{address}: no datagrams"))
}

/// Exchanges digests until the process ends.
pub(super) async fn run(shared: SharedRef, socket: UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut timer = tokio::time::interval(DIGEST_PERIOD);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sequence = 0;
    loop {
        tokio::select! {
            _ = timer.tick() => {
                sequence += 1;
                send(&shared, &socket, sequence).await;
            }
            () = changed_under_contention(&shared) => {
                sequence += 1;
                send(&shared, &socket, sequence).await;
                timer.reset();
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => shared.hear(&buffer[..length], from),
                Err(error) => debug!("digest.receive error={error}"),
            }
        }
    }
}

/// Ends when places or waiting requests have changed while requests wait somewhere.
async fn changed_under_contention(shared: &Shared) {
    shared.load_changed.notified().await;
    tokio::time::sleep(HASTENED_PERIOD).await;
}

async fn send(shared: &Shared, socket: &UdpSocket, sequence: u32) {
    let addresses: Vec<SocketAddr> = shared.peers.borrow().addresses().collect();
    if addresses.is_empty() {
        return;
    }
    let bytes = match shared.digest(sequence).encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!("digest.encode error={error}");
            return;
        }
    };
    for address in addresses {
        if let Err(error) = socket.send_to(&bytes, address).await {
            debug!("digest.send to={address} error={error}");
        }
    }
}

impl Shared {
    fn digest(&self, sequence: u32) -> Digest {
        Digest {
            from: self.process_id,
            sequence,
            version: self.configuration().map_or(0, |known| known.version),
            loads: self.scheduler.borrow().own_loads().collect(),
            waiting: self.scheduler.borrow().own_waiting(),
            granted: self.allowances.borrow().granted().collect(),
        }
    }

    fn hear(&self, bytes: &[u8], from: SocketAddr) {
        let digest = match Digest::decode(bytes) {
            Ok(digest) => digest,
            Err(error) => {
                debug!("digest.decode from={from} error={error}");
                return;
            }
        };
        let now = self.clock.now();
        if !self.peers.borrow_mut().accept(digest.from, digest.sequence, now) {
            return;
        }
        let entries = self.peers.borrow().entries();
        let loads: HashMap<_, _> = digest.loads.into_iter().collect();
        let waiting = &digest.waiting;
        self.scheduler.borrow_mut().hear_peer(digest.from, &loads, waiting, entries);
        self.allowances.borrow_mut().hear_peer(digest.from, &digest.granted, now);
        self.wake_waiters(now);
    }
}
