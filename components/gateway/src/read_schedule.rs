//! Schedule of store reads: when this gateway reads the store itself, and when it relies on a read
//! by another gateway of its zone.
//!
//! Every store request costs money, and the store's rate limits grow more slowly than the fleet.
//! Gateways of a zone exchange the age of their last store read and a fingerprint of the state they
//! know: a gateway with the same fingerprint need not read. One that is behind a peer reads soon.
//!
//! Load pattern: a zone of eighteen gateways in calm. All see the last confirmation grow old within
//! one digest interval of each other, and without an order all would read before the first reader's
//! digest arrives. The gateways of a zone are therefore ranked: the first one reads, the others
//! later, if it does not.
//!
//! Load pattern: a configuration of a megabyte over a link that all gateways of a region share. If
//! each of them read it from the store, the link would be full for seconds. A gateway that is
//! behind a peer of its zone therefore asks that peer, and none reads while another one of its zone
//! receives a long response.
//!
//! Load pattern: a store that comes back from an older copy. Positions are compared by era first,
//! so a gateway that has not heard of it does not count as ahead of those that have.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::time::Duration;

use crate::model::{PeerId, Position};

/// Age of the last confirmation at which a gateway reads. A change reaches the first gateway of a
/// zone within this time and the others one digest later, well within the seconds that changes may
/// take to become effective.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_200);

/// Additional age at which the next gateway in the ranking of a zone reads: more than the time for
/// which the digest of a reader may be under way or lost once.
const READ_DELAY_PER_RANK: Duration = Duration::from_millis(300);

/// Rank from which gateways no longer wait longer.
const LAST_DELAYED_RANK: u32 = 2;

/// Age of the last confirmation at which a gateway reads although a peer of its zone receives a
/// long response, or it reads from a peer itself. It leaves time for a read of its own before
/// customers' keys expire.
const MAX_HELD_AGE: Duration = Duration::from_millis(3_000);

/// Time for which a digest that shows its sender receiving a long response holds other reads back;
/// covers two intervals between digests.
const HELD_BY_DIGEST: Duration = Duration::from_millis(500);

/// Time without progress after which this gateway no longer counts as receiving a long response.
const RECEIVING_VALIDITY: Duration = Duration::from_millis(400);

/// Minimum interval between two reads, also if a peer's fingerprint differs.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which the next gateway in the ranking of a zone waits longer before it reads because it
/// is behind a peer: the first reader passes on what it has read.
const MISMATCH_DELAY_PER_RANK: Duration = Duration::from_millis(100);

/// Rank from which gateways no longer wait longer for that.
const LAST_MISMATCH_RANK: u32 = 6;

/// Minimum interval between two reads caused by peers that know the same part of the history. Their
/// state may differ permanently, for example by a store item that only one of the two can decode.
const MIN_LASTING_MISMATCH_READ_INTERVAL: Duration = Duration::from_millis(800);

/// Maximum interval between two reads. Gateways keep up with the store's history by the positions
/// in their peers' digests; this bounds the time for which one relies on them alone.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Number of sent digests whose send time is kept; covers some seconds.
const MAX_SENT_DIGESTS: usize = 64;

/// Information in a peer's digest about the peer's last store read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerRead {
    /// The peer.
    pub peer: PeerId,
    /// Whether the peer is receiving a long response of the store.
    pub receiving: bool,
    /// Sequence number of this gateway's newest digest that the peer has received.
    pub acknowledged: Option<u32>,
    /// Age of the peer's last store confirmation at the time it sent the digest.
    pub age: Option<Duration>,
    /// Whether the peer's fingerprint equals that of this gateway.
    pub same_fingerprint: bool,
    /// Position in the store's history up to which the peer knows the state.
    pub position: Option<Position>,
}

/// Store reads of this gateway and its peers. All times are uptimes.
#[derive(Debug, Default)]
pub struct ReadSchedule {
    sent_digests: VecDeque<(u32, Duration)>,
    last_read_at: Option<Duration>,
    /// Position in the store's history up to which this gateway knows the state, by its own reads
    /// or by those of peers that know the same state. The next read continues there.
    position: Option<Position>,
    /// Difference from the state of peers, noticed since the last read.
    mismatch: Option<Mismatch>,
    /// Whether this gateway reads from a peer that is ahead.
    peer_read_under_way: bool,
    /// Whether the calls of this gateway to the store have been failing for some time.
    store_unreachable: bool,
    /// When a digest last showed a peer that was receiving a long response.
    peer_receiving_at: Option<Duration>,
    /// When this gateway last made progress with a long response.
    progress_at: Option<Duration>,
}

/// Difference between the states that this gateway and a peer know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mismatch {
    /// A peer knows the store's history further than this gateway, or is a member that this
    /// gateway does not know.
    Behind {
        since: Duration,
        /// Peer to read from; `None` if only the store can help.
        peer: Option<PeerId>,
    },
    /// Both know the same part of the history.
    Lasting,
}

impl ReadSchedule {
    /// Records that a digest is sent.
    pub fn record_digest_sent(&mut self, sequence: u32, uptime: Duration) {
        if self.sent_digests.len() == MAX_SENT_DIGESTS {
            self.sent_digests.pop_front();
        }
        self.sent_digests.push_back((sequence, uptime));
    }

    /// Records that this gateway has read the store. `queried_at` is the uptime at which the
    /// request was sent, `position` that up to which the store's history was read.
    pub fn record_read(&mut self, queried_at: Duration, position: Position) {
        self.last_read_at = Some(queried_at);
        self.position = Some(position);
        self.mismatch = None;
        self.progress_at = None;
    }

    /// Records that a part of a long response of the store has arrived.
    pub fn record_progress(&mut self, uptime: Duration) {
        self.progress_at = Some(uptime);
    }

    /// Whether this gateway is receiving a long response of the store.
    pub fn is_receiving(&self, uptime: Duration) -> bool {
        let is_recent = |at: Duration| uptime.saturating_sub(at) < RECEIVING_VALIDITY;
        self.progress_at.is_some_and(is_recent)
    }

    /// Applies a peer's digest. Returns a lower bound for the time at which the store confirmed the
    /// state that this gateway shares with the peer. The peer had received the acknowledged digest
    /// before it sent its own, so the age counts back from the time that the acknowledged digest
    /// was sent. A digest that was in transit for long, or stayed unread while either process was
    /// suspended, is therefore not taken for a fresh one.
    pub fn apply_peer_read(&mut self, peer_read: PeerRead, uptime: Duration) -> Option<Duration> {
        let acknowledged = peer_read.acknowledged?;
        if peer_read.receiving {
            self.peer_receiving_at = Some(uptime);
        }
        let sent_at = self.sent_digests.iter().find(|(sequence, _)| *sequence == acknowledged)?.1;
        let confirmed_at = sent_at.checked_sub(peer_read.age?)?;
        if peer_read.same_fingerprint {
            self.position = self.position.max(peer_read.position);
            return Some(confirmed_at);
        }
        match peer_read.position.cmp(&self.position) {
            Ordering::Greater => self.record_behind(Some(peer_read.peer), uptime),
            Ordering::Equal => self.mismatch = self.mismatch.or(Some(Mismatch::Lasting)),
            // The peer will notice that it is behind.
            Ordering::Less => {}
        }
        None
    }

    /// Position in the store's history up to which this gateway knows the state; `None` before the
    /// first read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Whether a peer's read that covers the store's history from `after` to `position` continues
    /// where this gateway's knowledge ends.
    pub fn continues(&self, after: Position, position: Position) -> bool {
        self.position.is_some_and(|known| known >= after && known < position)
    }

    /// Records that a peer's read up to `position` was applied.
    pub fn record_shared_read(&mut self, position: Position) {
        self.position = self.position.max(Some(position));
        self.mismatch = None;
    }

    /// Records contact from a gateway that is not in the member list yet.
    pub fn record_unknown_peer(&mut self, uptime: Duration) {
        self.record_behind(None, uptime);
    }

    fn record_behind(&mut self, peer: Option<PeerId>, uptime: Duration) {
        if !matches!(self.mismatch, Some(Mismatch::Behind { .. })) {
            self.mismatch = Some(Mismatch::Behind { since: uptime, peer });
        }
    }

    /// Records whether the calls of this gateway to the store have been failing for some time.
    pub fn set_store_unreachable(&mut self, store_unreachable: bool) {
        self.store_unreachable = store_unreachable;
    }

    /// Begins a read from a peer that is ahead, if one is due; returns the peer. A gateway that
    /// cannot reach the store does not catch up in this way: its registration there lapses, and
    /// gateways that start do not know it.
    pub fn begin_peer_read(&mut self) -> Option<PeerId> {
        match self.mismatch {
            Some(Mismatch::Behind { peer, .. })
                if !self.peer_read_under_way && !self.store_unreachable =>
            {
                self.peer_read_under_way = peer.is_some();
                peer
            }
            _ => None,
        }
    }

    /// Ends a read from a peer. If it has not helped, this gateway reads the store.
    pub fn end_peer_read(&mut self, uptime: Duration) {
        self.peer_read_under_way = false;
        if let Some(Mismatch::Behind { .. }) = self.mismatch {
            self.mismatch = Some(Mismatch::Behind { since: uptime, peer: None });
        }
    }

    /// Whether this gateway waits for what it, or another gateway of its zone, is receiving. The
    /// first gateway in the ranking does not wait for others.
    fn is_held(&self, rank: u32, uptime: Duration) -> bool {
        let is_recent = |at: Duration| uptime.saturating_sub(at) < HELD_BY_DIGEST;
        self.peer_read_under_way || (rank > 0 && self.peer_receiving_at.is_some_and(is_recent))
    }

    /// Whether this gateway should read the store now. `age` is the age of the last confirmation,
    /// `rank` the number of gateways of the zone that read before this one.
    pub fn is_due(&self, age: Option<Duration>, rank: u32, uptime: Duration) -> bool {
        let (Some(last_read_at), Some(age)) = (self.last_read_at, age) else { return true };
        let since_read = uptime.saturating_sub(last_read_at);
        if self.is_held(rank, uptime) && age < MAX_HELD_AGE {
            return false;
        }
        let due_age = MAX_CONFIRMATION_AGE + READ_DELAY_PER_RANK * rank.min(LAST_DELAYED_RANK);
        let mismatch_due = match self.mismatch {
            Some(Mismatch::Behind { since, .. }) => {
                let delay = MISMATCH_DELAY_PER_RANK * rank.min(LAST_MISMATCH_RANK);
                since_read >= MIN_READ_INTERVAL && uptime.saturating_sub(since) >= delay
            }
            Some(Mismatch::Lasting) => since_read >= MIN_LASTING_MISMATCH_READ_INTERVAL,
            None => false,
        };
        mismatch_due
            || since_read >= MAX_READ_INTERVAL
            || (age >= due_age && since_read >= MIN_READ_INTERVAL)
    }
}
