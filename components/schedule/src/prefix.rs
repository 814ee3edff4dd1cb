//! Where the start of a prompt is likely to be cached.
//!
//! Entry processes do not tell each other what they placed. They agree without words: each start
//! of a prompt has a home among the upstreams, found by rendezvous hashing.

use std::collections::HashMap;

use identity::UpstreamId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt to a block; a start is known in whole blocks.
const BLOCK_BYTES: usize = 1024;

/// Tokens to a block.
const BLOCK_TOKENS: u32 = 256;

/// Blocks that name a session; prompts with fewer have no home.
const KEY_BLOCKS: usize = 2;

/// Starts that are remembered.
const STARTS_LIMIT: usize = 4096;

/// Chained hashes of a prompt's blocks: equal up to where two prompts are alike.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fingerprint(Vec<u64>);

impl Fingerprint {
    /// The fingerprint of a prompt as bytes.
    pub fn of(prompt: &[u8]) -> Fingerprint {
        let mut chain = 0;
        let blocks = prompt.chunks_exact(BLOCK_BYTES).map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            chain
        });
        Fingerprint(blocks.collect())
    }

    /// A fingerprint from hashes that are chained already.
    pub fn from_chain(chain: Vec<u64>) -> Fingerprint {
        Fingerprint(chain)
    }

    /// Tokens to a block.
    pub const fn block_tokens() -> u32 {
        BLOCK_TOKENS
    }

    fn key(&self) -> Option<u64> {
        self.0.get(KEY_BLOCKS - 1).copied()
    }

    fn shared_tokens(&self, other: &Fingerprint) -> u32 {
        let pairs = self.0.iter().zip(&other.0);
        pairs.take_while(|(own, other)| own == other).count() as u32 * BLOCK_TOKENS
    }
}

/// The last prompt of a session.
#[derive(Debug)]
struct Start {
    last: Fingerprint,
    last_upstream: UpstreamId,
    used: u64,
}

/// The part of a prompt that is expected to be cached, and where.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedPrefix<'a> {
    /// Tokens at the start of the prompt that an earlier prompt shared.
    pub tokens: u32,
    /// Where this process placed the session last.
    pub last_upstream: Option<&'a UpstreamId>,
    key: u64,
}

impl ExpectedPrefix<'_> {
    /// The rank of an upstream for this session; the highest of all is its home.
    pub fn rank(&self, upstream: &UpstreamId) -> u64 {
        xxh3_64_with_seed(upstream.as_str().as_bytes(), self.key)
    }
}

/// Starts of prompts that this process has seen.
#[derive(Debug, Default)]
pub struct PrefixHistory {
    starts: HashMap<u64, Start>,
    uses: u64,
}

impl PrefixHistory {
    /// The cached prefix expected for a prompt; `None` for one too short to matter.
    pub fn expected_prefix(&self, prompt: &Fingerprint) -> Option<ExpectedPrefix<'_>> {
        let key = prompt.key()?;
        let start = self.starts.get(&key);
        let tokens = start.map_or(0, |start| start.last.shared_tokens(prompt));
        Some(ExpectedPrefix { tokens, last_upstream: start.map(|start| &start.last_upstream), key })
    }

    /// Records the upstream on which a prompt was placed.
    pub fn record_placement(&mut self, prompt: &Fingerprint, upstream: &UpstreamId) {
        let Some(key) = prompt.key() else { return };
        self.uses += 1;
        let start =
            Start { last: prompt.clone(), last_upstream: upstream.clone(), used: self.uses };
        self.starts.insert(key, start);
        if self.starts.len() > STARTS_LIMIT {
            let oldest = self.uses.saturating_sub(STARTS_LIMIT as u64 / 2);
            self.starts.retain(|_, start| start.used > oldest);
        }
    }
}
