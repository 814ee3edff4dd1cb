//! Sends digests to the other entries and takes in theirs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use log::{debug, warn};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

use super::hand_over::SharedRef;
use super::state::Shared;
use crate::peers::Digest;
use crate::reading::HeardReading;
use crate::scheduler::SMALL_GROUP;

/// Between digests in a small group. Placement tolerates this age: an entry places some ten requests
/// meanwhile.
const SMALL_GROUP_PERIOD: Duration = Duration::from_millis(100);

/// Between digests while requests wait somewhere in a small group: a place that one entry frees should
/// not stand empty for long before another takes it.
const HASTENED_PERIOD: Duration = Duration::from_millis(15);

/// Between digests in a larger group, whose places have owners.
const LARGE_GROUP_PERIOD: Duration = Duration::from_millis(200);

/// In a larger group, every so many digests one goes to all availability zones: bytes between zones
/// are paid for, and what they carry may be older.
const ROUNDS_TO_ALL_ZONES: u32 = 2;

/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 16 << 10;

pub(super) async fn bind(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address).await.with_context(|| format!("{address}: no datagrams"))
}

/// Exchanges digests until the process ends.
pub(super) async fn run(shared: SharedRef, socket: UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut sequence = 0;
    let mut next_at = Instant::now();
    loop {
        tokio::select! {
            () = sleep_until(next_at) => {
                sequence += 1;
                send(&shared, &socket, sequence).await;
                next_at = Instant::now() + shared.digest_period();
            }
            () = shared.load_changed.notified() => {
                next_at = next_at.min(Instant::now() + HASTENED_PERIOD);
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => shared.hear(&buffer[..length], from),
                Err(error) => debug!("digest.receive error={error}"),
            }
        }
    }
}

async fn send(shared: &Shared, socket: &UdpSocket, sequence: u32) {
    let addresses = shared.digest_addresses(sequence);
    if addresses.is_empty() {
        return;
    }
    let bytes = match shared.digest(sequence).encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!("digest.encode error={error}");
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
    fn is_small_group(&self) -> bool {
        self.peers.borrow().entries() <= SMALL_GROUP
    }

    fn digest_period(&self) -> Duration {
        if self.is_small_group() { SMALL_GROUP_PERIOD } else { LARGE_GROUP_PERIOD }
    }

    fn digest_addresses(&self, sequence: u32) -> Vec<SocketAddr> {
        let to_all = self.is_small_group()
            || sequence.is_multiple_of(ROUNDS_TO_ALL_ZONES)
            || self.allowances.borrow().is_short();
        let settings = self.settings.borrow();
        let zone = (!to_all).then_some(settings.places.own_zone.as_str());
        self.peers.borrow().addresses(zone, self.clock.now())
    }

    fn digest(&self, sequence: u32) -> Digest {
        let scheduler = self.scheduler.borrow();
        let uptime = self.clock.uptime();
        self.readings.borrow_mut().note_sent(sequence, uptime);
        let age = self.freshness.get().age(uptime);
        Digest {
            fingerprint: self.fingerprint(),
            confirmed_ms_ago: age.and_then(|age| u32::try_from(age.as_millis()).ok()),
            echoes: self.peers.borrow().heard_in(&self.settings.borrow().places.own_zone),
            from: self.process_id,
            sequence,
            version: self.configuration().map_or(0, |known| known.version),
            loads: scheduler.own_loads().collect(),
            replaced: scheduler.replaced(),
            waiting: scheduler.own_waiting(),
            granted: self.allowances.borrow().granted().collect(),
        }
    }

    fn hear_reading(&self, digest: &Digest) {
        let own = digest.echoes.iter().find(|(peer, _)| *peer == self.process_id);
        let heard = HeardReading {
            echoed: own.map(|(_, sequence)| *sequence),
            age: digest.confirmed_ms_ago.map(|age| Duration::from_millis(age.into())),
            same: digest.fingerprint == self.fingerprint(),
        };
        if let Some(confirmed_at) = self.readings.borrow_mut().hear(heard) {
            self.confirm_known(confirmed_at);
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
        if !self.peers.borrow().is_member(digest.from) {
            self.readings.borrow_mut().note_stranger();
            return;
        }
        if !self.peers.borrow_mut().accept(digest.from, digest.sequence, now) {
            return;
        }
        self.hear_reading(&digest);
        let loads: HashMap<_, _> = digest.loads.into_iter().collect();
        let (waiting, replaced) = (&digest.waiting, &digest.replaced);
        self.scheduler.borrow_mut().hear_peer(digest.from, &loads, waiting, replaced);
        self.allowances.borrow_mut().hear_peer(digest.from, &digest.granted, now);
        self.wake_waiters(now);
    }
}
