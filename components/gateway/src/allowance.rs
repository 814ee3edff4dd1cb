//! What customers may ask for, over all entries.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::model::{Allowance, AllowanceUnit, PeerId, RequestFacts};

/// Most entries that hear of each other's grants at once; more tell each other less often.
pub const SMALL_GROUP: usize = 10;

/// Part of its burst that a bucket holds when a process meets the customer, and at most, in a small
/// group. The burst is granted evenly over the operators' window beside.
const HELD_BURST: f64 = 0.5;

/// The same in a large group, where the rest of the burst covers what many entries grant before they
/// hear of each other.
const HELD_BURST_OF_MANY: f64 = 0.3;

/// Part of the burst that a large group grants evenly over the window.
const SPREAD_BURST_OF_MANY: f64 = 0.5;

/// Part of what a bucket holds at most below which its customer is short: entries have to hear of
/// each other's grants soon then.
const SHORT_SHARE: f64 = 0.6;

/// Time in which a bucket moves most of the way to the mean of its peers' levels. Entries start with different
/// levels and miss what was granted before they heard of each other. A peer's level does not yet show
/// what this entry granted last, so a faster approach would hand those units out again.
const LEVEL_APPROACH: Duration = Duration::from_secs(5);

/// Part of the operators' slack by which a bucket may be overdrawn. Requests larger than what is left
/// would never be granted in a shortage otherwise; the rest of the slack covers what entries grant
/// before they hear of each other.
const OVERDRAFT_SHARE: f64 = 0.25;

/// Silence of a peer after which its use is estimated instead of heard; several digests long.
const PEER_SILENCE: Duration = Duration::from_millis(1_600);

/// What an allowance counts a request as.
pub fn cost(unit: AllowanceUnit, facts: &RequestFacts) -> f64 {
    match unit {
        AllowanceUnit::Requests => 1.0,
        AllowanceUnit::Tokens { plain_tokens } => {
            facts.prompt_tokens.map_or(f64::from(plain_tokens), |prompt| {
                f64::from(prompt) + f64::from(facts.max_output_tokens)
            })
        }
    }
}

/// What an entry says of a customer's bucket.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Granted {
    /// The short id of the customer.
    pub customer: u32,
    /// Units granted since the process started.
    pub total: f64,
    /// Units that the bucket held.
    pub level: f64,
}

#[derive(Debug)]
struct Bucket {
    allowance: Allowance,
    /// The most that it holds.
    held: f64,
    level: f64,
    filled_at: Instant,
    granted: f64,
}

impl Bucket {
    fn approach(&mut self, level: f64, gain: f64) {
        self.level += gain * (level - self.level);
    }
}

#[derive(Debug)]
struct Peer {
    heard_at: Instant,
    /// Whether any digest came; what the first one says was granted before this process knew.
    heard: bool,
    granted: HashMap<u32, f64>,
}

/// Token buckets by customer. Every entry keeps the whole bucket: it takes out what it grants
/// itself and what its peers say they have granted.
#[derive(Debug, Default)]
pub struct Allowances {
    buckets: HashMap<u32, Bucket>,
    peers: HashMap<PeerId, Peer>,
}

/// How exactly an allowance has to be kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The span over which use is counted.
    pub window: Duration,
    /// Units over the allowance that are tolerated in a window.
    pub slack: f64,
}

/// Whether a request is within its customer's allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Grant {
    /// It is, and is taken out of the bucket.
    Granted,
    /// It is not before this time has passed.
    Refused {
        /// When the bucket is expected to hold enough.
        retry_after: Duration,
        /// What the bucket held.
        level: f64,
        /// Peers whose use is estimated.
        silent_peers: usize,
    },
}

impl Allowances {
    /// Takes a request's cost out of a customer's bucket. `tolerance` is what the operators
    /// allow beside it.
    pub fn take(
        &mut self,
        customer: u32,
        allowance: Allowance,
        cost: f64,
        tolerance: Tolerance,
        now: Instant,
    ) -> Grant {
        self.refill(customer, allowance, tolerance, now);
        let Some(bucket) = self.buckets.get_mut(&customer) else { return Grant::Granted };
        let overdraft = if bucket.level > 0.0 { tolerance.slack * OVERDRAFT_SHARE } else { 0.0 };
        if bucket.level + overdraft < cost.min(allowance.burst) {
            let missing = cost - bucket.level;
            let retry_after = Duration::from_secs_f64(missing / allowance.per_second.max(1.0));
            let (level, silent_peers) = (bucket.level, self.silent_peers(now));
            return Grant::Refused { retry_after, level, silent_peers };
        }
        bucket.level -= cost;
        bucket.granted += cost;
        Grant::Granted
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, customer: u32, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(&customer) {
            bucket.level += cost;
            bucket.granted -= cost;
        }
    }

    /// Takes in what a peer has granted since it started.
    pub fn hear_peer(&mut self, peer: PeerId, heard: &[Granted], now: Instant) {
        self.expect_peer(peer, now);
        let peers = self.peers.len().max(1) as f64;
        let Some(known) = self.peers.get_mut(&peer) else { return };
        let since = now.saturating_duration_since(known.heard_at);
        let gain = (1.0 - (-since.as_secs_f64() / LEVEL_APPROACH.as_secs_f64()).exp()) / peers;
        known.heard_at = now;
        for &Granted { customer, total, level } in heard {
            let unheard = if known.heard { 0.0 } else { total };
            let before = known.granted.insert(customer, total).unwrap_or(unheard);
            if let Some(bucket) = self.buckets.get_mut(&customer) {
                bucket.level -= total - before;
                bucket.approach(level, gain);
            }
        }
        known.heard = true;
    }

    /// Forgets peers that are no longer members.
    pub fn keep_peers(&mut self, is_member: impl Fn(PeerId) -> bool) {
        self.peers.retain(|peer, _| is_member(*peer));
    }

    /// Counts a member from which nothing was heard yet.
    pub fn expect_peer(&mut self, peer: PeerId, now: Instant) {
        self.peers.entry(peer).or_insert_with(|| Peer {
            heard_at: now,
            heard: false,
            granted: HashMap::new(),
        });
    }

    /// Whether any customer is short.
    pub fn is_short(&self) -> bool {
        let is_short = |bucket: &Bucket| bucket.level < bucket.held * SHORT_SHARE;
        self.buckets.values().any(is_short)
    }

    /// What this process has granted since it started, by customer.
    pub fn granted(&self) -> impl Iterator<Item = Granted> + '_ {
        self.buckets.iter().map(|(customer, bucket)| Granted {
            customer: *customer,
            total: bucket.granted,
            level: bucket.level,
        })
    }

    /// Peers whose use is not known. One that was never heard counts too: after many entries have
    /// started at once, each would else grant the whole allowance until it hears of the others.
    fn silent_peers(&self, now: Instant) -> usize {
        let is_silent = |peer: &&Peer| {
            !peer.heard || now.saturating_duration_since(peer.heard_at) > PEER_SILENCE
        };
        self.peers.values().filter(is_silent).count()
    }

    /// Adds what the customer regained since the last call. A silent peer is taken to use an even
    /// share, since it still serves callers where only the path between entries is cut.
    fn refill(&mut self, customer: u32, allowance: Allowance, tolerance: Tolerance, now: Instant) {
        let entries = self.peers.len() + 1;
        let silent = self.silent_peers(now);
        let heard_share = 1.0 - silent as f64 / entries as f64;
        let (held, spread_burst) = if entries > SMALL_GROUP {
            (allowance.burst * HELD_BURST_OF_MANY, allowance.burst * SPREAD_BURST_OF_MANY)
        } else {
            (allowance.burst * HELD_BURST, allowance.burst)
        };
        let bucket = self.buckets.entry(customer).or_insert_with(|| Bucket {
            allowance,
            held,
            level: held * heard_share,
            filled_at: now,
            granted: 0.0,
        });
        let elapsed = now.saturating_duration_since(bucket.filled_at).as_secs_f64();
        bucket.filled_at = now;
        bucket.allowance = allowance;
        bucket.held = held;
        let per_second = allowance.per_second + spread_burst / tolerance.window.as_secs_f64();
        let gained = elapsed * per_second * heard_share;
        bucket.level = (bucket.level + gained).min(held);
    }
}
