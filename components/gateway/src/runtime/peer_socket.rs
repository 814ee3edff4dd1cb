//! Exchange of datagrams with other gateways.
//!
//! Load pattern: gateways are killed in a burst and start again at their addresses, while their
//! peers still reply to requests of the killed processes. What is meant for another process is
//! dropped.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use log::{debug, info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{Instant, sleep_until};

use super::directory::STORE_LOST_AFTER;
use super::state::{Shared, SharedRef};
use crate::broker::{Datagram, Message};
use crate::model::PeerId;
use crate::peers::{Digest, DigestExtension, Recipients};
use crate::read_schedule::PeerRead;
use crate::shared_read::SharedRead;

/// Time without a reply after which a request to another gateway is sent again, as datagrams get
/// lost. A round trip to another region takes half of this interval.
pub(super) const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between digests. By its digests, a gateway that reads the store saves the others of its
/// zone a read.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);

/// One digest in this many goes to all availability zones, the others to the own zone only: traffic
/// between zones is paid for, and in other zones a digest shows only that its sender is alive and
/// how old its last read of the store is.
const DIGESTS_PER_BROADCAST: u32 = 4;

/// Interval between lists of the slots that a gateway holds, and between replicas of the buckets
/// that it owns. The lists show a broker what it missed: a lost release, or slots granted by
/// another broker.
const HELD_SLOTS_AND_REPLICAS_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of datagrams read before other tasks run.
const MAX_DATAGRAMS_PER_READ: usize = 32;

/// Largest datagram that can be received; the largest ones pass on what was read from the store.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// Number of attempts to bind a free port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 20;

/// Binds the sockets for other gateways: TCP and UDP with the same port, as members register one
/// address.
pub(super) async fn bind(address: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let mut attempts = 0;
    loop {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("{address}: cannot bind TCP listener"))?;
        let bound = listener.local_addr()?;
        attempts += 1;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() != 0 || attempts == MAX_BIND_ATTEMPTS => {
                return Err(error).with_context(|| format!("{bound}: cannot bind UDP socket"));
            }
            Err(error) => debug!("message.bind address={bound} error={error}"),
        }
    }
}

/// Sends digests, held slots and bucket replicas at their intervals, and handles received
/// datagrams, until the process ends.
pub(super) async fn run(shared: SharedRef) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let (mut digest_at, mut held_slots_at) = (Instant::now(), Instant::now());
    let mut digest_round: u32 = 0;
    loop {
        tokio::select! {
            () = sleep_until(digest_at) => {
                shared.send_digest(digest_round);
                digest_round = digest_round.wrapping_add(1);
                digest_at = Instant::now() + DIGEST_INTERVAL;
            }
            () = sleep_until(held_slots_at) => {
                shared.send_held_slots();
                shared.send_bucket_replicas();
                held_slots_at = Instant::now() + HELD_SLOTS_AND_REPLICAS_INTERVAL;
            }
            ready = shared.socket.readable() => match ready {
                Ok(()) => shared.handle_datagrams(&mut buffer),
                Err(error) => {
                    warn!("message.receive error={error}");
                    return;
                }
            }
        }
    }
}

impl Shared {
    /// Sends a message to a gateway; one to this gateway is handled directly. A message that cannot
    /// be sent is lost; requests are sent again.
    pub(super) fn send_message(&self, to: PeerId, message: Message) {
        if to == self.process_id {
            self.handle_message(message, self.own_zone.clone());
            return;
        }
        let Some((address, _)) = self.peers.borrow().locate(to) else { return };
        self.send_datagram(&Datagram::to(to, message), &[address]);
    }

    fn send_datagram(&self, datagram: &Datagram, addresses: &[SocketAddr]) {
        let bytes = match datagram.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!("message.encode error={error}");
                return;
            }
        };
        for address in addresses {
            if let Err(error) = self.socket.try_send_to(&bytes, *address) {
                debug!("message.send to={address} error={error}");
            }
        }
    }

    fn handle_message(&self, message: Message, zone: Rc<str>) {
        match message {
            Message::Digest(digest) => self.handle_digest(&digest),
            Message::SlotReply { from, request_id, reply } => {
                self.handle_slot_reply(from, request_id, reply)
            }
            Message::SlotRequest { .. } | Message::Release { .. } | Message::HeldSlots { .. } => {
                self.handle_broker_message(zone, message);
            }
            Message::SlotReplies { from, replies } => {
                for (request_id, reply) in replies {
                    self.handle_slot_reply(from, request_id, reply);
                }
            }
            Message::SharedRead { read, .. } => self.handle_shared_read(read),
            Message::CreditRequest { from, request } => self.handle_credit_request(from, request),
            Message::CreditReply { from, number, reply } => {
                self.handle_credit_reply(from, number, reply);
            }
            Message::BucketLevels { levels, handed_over, .. } => {
                self.handle_bucket_levels(&levels, handed_over);
            }
        }
    }

    /// Sends the periodic digest. The first one makes this process known in all zones.
    fn send_digest(&self, round: u32) {
        let to_all = round.is_multiple_of(DIGESTS_PER_BROADCAST);
        self.send_digest_to_zone();
        if to_all {
            self.send_digest_to_other_zones();
        }
    }

    fn send_digest_to_zone(&self) {
        let acknowledged = self.peers.borrow().latest_digests_in(&self.own_zone);
        self.send_digest_to(Recipients::Zone(&self.own_zone), acknowledged);
    }

    /// Gateways of other zones do not rely on this one's reads of the store, so the digest
    /// acknowledges none of theirs.
    fn send_digest_to_other_zones(&self) {
        self.send_digest_to(Recipients::OtherZones(&self.own_zone), Vec::new());
    }

    fn send_digest_to(&self, recipients: Recipients<'_>, acknowledged: Vec<(PeerId, u32)>) {
        let sequence = self.last_digest_sequence.get() + 1;
        self.last_digest_sequence.set(sequence);
        let addresses = self.peers.borrow().addresses(recipients, self.clock.now());
        if !addresses.is_empty() {
            let digest = self.digest(sequence, acknowledged);
            self.send_datagram(&Datagram::to_all(Message::Digest(digest)), &addresses);
        }
    }

    /// Sends a digest to all gateways at once when this one begins or ceases to leave its elected
    /// roles.
    pub(super) fn announce_leaving(&self) {
        self.send_digest_to_zone();
        self.send_digest_to_other_zones();
    }

    /// Sends a digest to the gateways of the zone at once after a read of the store, so that they
    /// need not read as well.
    pub(super) fn announce_read(&self) {
        self.send_digest_to_zone();
    }

    /// Sends what was read from the store to the gateways of the zone.
    pub(super) fn share_with_zone(&self, read: SharedRead) {
        let zone = Recipients::Zone(&self.own_zone);
        let addresses = self.peers.borrow().addresses(zone, self.clock.now());
        let message = Message::SharedRead { from: self.process_id, read };
        self.send_datagram(&Datagram::to_all(message), &addresses);
    }

    /// Applies a read of a peer if it continues where this gateway's knowledge ends. Otherwise this
    /// gateway asks the peer for what is missing once it sees the peer's digest.
    fn handle_shared_read(&self, read: SharedRead) {
        let receiver = self.shared_read_receiver.borrow().clone();
        let continues = self.read_schedule.borrow().continues(read.after, read.position);
        info!(
            "shared_read.received after={} position={} changes={} known={:?} applied={continues}",
            read.after,
            read.position,
            read.changes.len(),
            self.read_schedule.borrow().position(),
        );
        if let Some(receiver) = receiver.filter(|_| continues) {
            self.store_copy.borrow_mut().apply(&read.changes);
            receiver.receive(read);
        }
    }

    fn digest(&self, sequence: u32, acknowledged: Vec<(PeerId, u32)>) -> Digest {
        let uptime = self.clock.uptime();
        self.read_schedule.borrow_mut().record_digest_sent(sequence, uptime);
        let age = self.freshness.get().age(uptime);
        let now = self.clock.now();
        let extension = DigestExtension {
            limits: self.upstream_limits.borrow().news(now),
            request_news: self.crash_quarantine.borrow().request_news(now),
            keys_lag_ms: self.keys_lag_ms(),
            // What peers count isn't told on: it would never fall.
            gateway_count: u32::try_from(self.peers.borrow().member_count()).ok(),
        };
        Digest {
            fingerprint: self.fingerprint(),
            position: self.read_schedule.borrow().position(),
            confirmed_ms_ago: age.and_then(|age| u32::try_from(age.as_millis()).ok()),
            receiving: self.read_schedule.borrow().is_receiving(uptime),
            leaving_upstreams: self.upstream_notices.borrow().leaving_news(now),
            part_news: self.crash_quarantine.borrow().part_news(now),
            acknowledged,
            extension,
            from: self.process_id,
            sequence,
            leaving: self.is_leaving(),
            version: self.configuration().map_or(0, |configuration| configuration.version),
        }
    }

    /// Milliseconds by which the last confirmation of customers' keys is older than that of the
    /// state.
    fn keys_lag_ms(&self) -> u32 {
        let state_at = self.freshness.get().confirmed_at().unwrap_or_default();
        let Some(keys_at) = self.key_confirmation.get().confirmed_at() else { return u32::MAX };
        u32::try_from(state_at.saturating_sub(keys_at).as_millis()).unwrap_or(u32::MAX)
    }

    /// Takes the peer's last read of the store as a confirmation if both gateways know the same
    /// state. The next own read then continues where the peer's ended.
    fn handle_peer_read(&self, digest: &Digest) {
        let own_digest = digest.acknowledged.iter().find(|(peer, _)| *peer == self.process_id);
        let peer_read = PeerRead {
            peer: digest.from,
            receiving: digest.receiving,
            acknowledged: own_digest.map(|(_, sequence)| *sequence),
            age: digest.confirmed_ms_ago.map(|age| Duration::from_millis(age.into())),
            same_fingerprint: digest.fingerprint == self.fingerprint(),
            position: digest.position,
        };
        let uptime = self.clock.uptime();
        let confirmed_at = self.read_schedule.borrow_mut().apply_peer_read(peer_read, uptime);
        if let Some(confirmed_at) = confirmed_at {
            self.record_confirmation(confirmed_at);
            let keys_lag = Duration::from_millis(digest.extension.keys_lag_ms.into());
            if let Some(confirmed_at) = confirmed_at.checked_sub(keys_lag) {
                self.update_key_confirmation(|keys| keys.confirm_by_peer(confirmed_at));
            }
            // What a peer reads shows which upstreams have left, also if this gateway reads nothing.
            if uptime.saturating_sub(confirmed_at) < STORE_LOST_AFTER {
                self.end_store_outage();
            }
        }
        if let Some(peer) = self.read_schedule.borrow_mut().begin_peer_read() {
            self.due_peer_read.set(Some(peer));
            self.peer_read_notify.notify_one();
        }
    }

    /// Receives the datagrams that have arrived, up to a limit, so that other tasks can run in
    /// between.
    fn handle_datagrams(&self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            match self.socket.try_recv_from(buffer) {
                Ok((length, from)) => self.handle_datagram(&buffer[..length], from),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => debug!("message.receive error={error}"),
            }
        }
    }

    fn handle_datagram(&self, bytes: &[u8], from: SocketAddr) {
        let Datagram { recipient, message } = match Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                debug!("message.decode from={from} error={error}");
                return;
            }
        };
        let from = message.sender();
        let Some((_, zone)) = self.peers.borrow().locate(from) else {
            self.read_schedule.borrow_mut().record_unknown_peer(self.clock.uptime());
            return;
        };
        self.peers.borrow_mut().record_contact(from, self.clock.now());
        if recipient.is_some_and(|recipient| recipient != self.process_id) {
            self.metrics.misaddressed_messages.inc();
            debug!("message.misaddressed from={from} recipient={recipient:?}");
            return;
        }
        self.handle_message(message, zone);
    }

    fn handle_digest(&self, digest: &Digest) {
        let now = self.clock.now();
        if !self.peers.borrow_mut().accept_digest(digest.from, digest.sequence, now) {
            return;
        }
        self.peers.borrow_mut().record_state(digest.from, digest.fingerprint, now);
        let was_leaving = self.peers.borrow_mut().set_leaving(digest.from, digest.leaving);
        if was_leaving != digest.leaving {
            info!("member.leaving member={} leaving={}", digest.from, digest.leaving);
            self.update_candidates();
        }
        if let Some(age_ms) = digest.confirmed_ms_ago {
            let age = Duration::from_millis(age_ms.into());
            let confirmed_at = self.clock.uptime().saturating_sub(age);
            self.peers.borrow_mut().record_confirmation(digest.from, confirmed_at);
        }
        if let Some(counted) = digest.extension.gateway_count {
            self.peers.borrow_mut().record_count(digest.from, counted as usize);
        }
        self.handle_quarantine_news(digest.from, &digest.part_news);
        self.handle_quarantine_news(digest.from, &digest.extension.request_news);
        self.handle_leaving_upstreams(digest.from, &digest.leaving_upstreams);
        self.handle_limits(digest.from, &digest.extension.limits);
        self.handle_peer_read(digest);
    }
}
