//! What customers may ask for, over all entries.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::model::{Allowance, AllowanceUnit, RequestFacts};

/// Part of its burst that a bucket holds when a process meets the customer. Entries that were all
/// restarted would else grant the burst twice within one window.
const INITIAL_FILL: f64 = 0.25;

/// Part of a second's allowance by which a bucket may be overdrawn: what other entries grant is
/// known a digest later, and a refusal within the allowance costs more than a small excess, which
/// the operators' overshoot covers.
const OVERDRAFT_SECONDS: f64 = 0.1;

/// Silence of a peer after which its use is estimated instead of heard; several digests long.
const PEER_SILENCE: Duration = Duration::from_millis(1_000);

/// Names a peer's process.
pub type PeerId = u64;

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

#[derive(Debug)]
struct Bucket {
    allowance: Allowance,
    level: f64,
    filled_at: Instant,
    granted: f64,
}

#[derive(Debug)]
struct Peer {
    heard_at: Instant,
    granted: HashMap<u32, f64>,
}

/// Token buckets by customer. Every entry keeps the whole bucket: it takes out what it grants
/// itself and what its peers say they have granted.
#[derive(Debug, Default)]
pub struct Allowances {
    buckets: HashMap<u32, Bucket>,
    peers: HashMap<PeerId, Peer>,
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
    /// Takes a request's cost out of a customer's bucket.
    pub fn take(&mut self, customer: u32, allowance: Allowance, cost: f64, now: Instant) -> Grant {
        self.refill(customer, allowance, now);
        let Some(bucket) = self.buckets.get_mut(&customer) else { return Grant::Granted };
        let overdraft = allowance.per_second * OVERDRAFT_SECONDS;
        if bucket.level + overdraft < cost.min(allowance.burst) {
            let missing = cost.min(allowance.burst) - bucket.level;
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
    pub fn hear_peer(&mut self, peer: PeerId, granted: &[(u32, f64)], now: Instant) {
        let known = self
            .peers
            .entry(peer)
            .or_insert_with(|| Peer { heard_at: now, granted: HashMap::new() });
        known.heard_at = now;
        for &(customer, total) in granted {
            let before = known.granted.insert(customer, total).unwrap_or(total);
            if let Some(bucket) = self.buckets.get_mut(&customer) {
                bucket.level -= total - before;
            }
        }
    }

    /// Forgets peers that are no longer members.
    pub fn keep_peers(&mut self, is_member: impl Fn(PeerId) -> bool) {
        self.peers.retain(|peer, _| is_member(*peer));
    }

    /// Counts a member from which nothing was heard yet.
    pub fn expect_peer(&mut self, peer: PeerId, now: Instant) {
        self.peers.entry(peer).or_insert_with(|| Peer { heard_at: now, granted: HashMap::new() });
    }

    /// What this process has granted since it started, by customer.
    pub fn granted(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        self.buckets.iter().map(|(customer, bucket)| (*customer, bucket.granted))
    }

    fn silent_peers(&self, now: Instant) -> usize {
        let is_silent = |peer: &&Peer| now.saturating_duration_since(peer.heard_at) > PEER_SILENCE;
        self.peers.values().filter(is_silent).count()
    }

    /// Adds what the customer regained since the last call. A silent peer is taken to use an even
    /// share, since it still serves callers where only the path between entries is cut.
    fn refill(&mut self, customer: u32, allowance: Allowance, now: Instant) {
        let entries = self.peers.len() + 1;
        let silent = self.silent_peers(now);
        let heard_share = 1.0 - silent as f64 / entries as f64;
        let bucket = self.buckets.entry(customer).or_insert_with(|| Bucket {
            allowance,
            level: allowance.burst * INITIAL_FILL,
            filled_at: now,
            granted: 0.0,
        });
        let elapsed = now.saturating_duration_since(bucket.filled_at).as_secs_f64();
        bucket.filled_at = now;
        bucket.allowance = allowance;
        let gained = elapsed * allowance.per_second * heard_share;
        bucket.level = (bucket.level + gained).min(allowance.burst);
    }
}
