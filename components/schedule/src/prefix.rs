//! Prefix affinity: prediction of the upstreams that are likely to have a prompt's prefix cached.
//!
//! Entry processes do not exchange their placements. Instead, each of them computes the same
//! preferred upstream for a session by rendezvous hashing. A session is identified by the first
//! blocks of its prompts.

use std::collections::HashMap;

use identity::UpstreamId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a block; prefixes are compared in whole blocks of a prompt.
const BLOCK_BYTES: usize = 1024;

/// Assumed number of tokens per block.
const BLOCK_TOKENS: u32 = 256;

/// Leading blocks that identify a session; shorter prompts have no preferred upstream.
const SESSION_KEY_BLOCKS: usize = 2;

/// Maximum number of sessions in the history. When it is exceeded, only the sessions of the last
/// `MAX_SESSIONS / 2` placements are kept.
const MAX_SESSIONS: usize = 4096;

/// Chained hashes of the blocks of a prompt. Two prompts have equal hashes for the blocks of their
/// common prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptFingerprint(Vec<u64>);

impl PromptFingerprint {
    /// Computes the fingerprint of a prompt given as bytes.
    pub fn from_bytes(prompt: &[u8]) -> PromptFingerprint {
        let mut chain = 0;
        let blocks = prompt.chunks_exact(BLOCK_BYTES).map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            chain
        });
        PromptFingerprint(blocks.collect())
    }

    /// Creates a fingerprint from block hashes that are already chained.
    pub fn from_chained_hashes(chain: Vec<u64>) -> PromptFingerprint {
        PromptFingerprint(chain)
    }

    /// Returns the assumed number of tokens per block.
    pub const fn block_tokens() -> u32 {
        BLOCK_TOKENS
    }

    fn session_key(&self) -> Option<u64> {
        self.0.get(SESSION_KEY_BLOCKS - 1).copied()
    }

    fn shared_tokens(&self, other: &PromptFingerprint) -> u32 {
        let pairs = self.0.iter().zip(&other.0);
        pairs.take_while(|(own, other)| own == other).count() as u32 * BLOCK_TOKENS
    }
}

/// Last placement of a session.
#[derive(Debug)]
struct Session {
    last_prompt: PromptFingerprint,
    last_upstream: UpstreamId,
    last_used: u64,
}

/// Prefix of a prompt that is expected to be cached, and the upstreams likely to hold it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedPrefix<'a> {
    /// Tokens of the prefix that the prompt shares with the previous prompt of its session.
    pub tokens: u32,
    /// Upstream on which this process last placed a request of the session.
    pub last_upstream: Option<&'a UpstreamId>,
    session_key: u64,
}

impl ExpectedPrefix<'_> {
    /// Returns the rendezvous hash of an upstream for this session. The upstream with the highest
    /// hash is the preferred one.
    pub fn rendezvous_hash(&self, upstream: &UpstreamId) -> u64 {
        xxh3_64_with_seed(upstream.as_str().as_bytes(), self.session_key)
    }
}

/// Last placement of each recent session by this process.
#[derive(Debug, Default)]
pub struct PrefixHistory {
    sessions: HashMap<u64, Session>,
    placements: u64,
}

impl PrefixHistory {
    /// Returns the prefix of a prompt that is expected to be cached; `None` if the prompt is too
    /// short to identify a session.
    pub fn expected_prefix(&self, prompt: &PromptFingerprint) -> Option<ExpectedPrefix<'_>> {
        let session_key = prompt.session_key()?;
        let session = self.sessions.get(&session_key);
        let tokens = session.map_or(0, |session| session.last_prompt.shared_tokens(prompt));
        Some(ExpectedPrefix {
            tokens,
            last_upstream: session.map(|session| &session.last_upstream),
            session_key,
        })
    }

    /// Records the upstream on which a prompt was placed.
    pub fn record_placement(&mut self, prompt: &PromptFingerprint, upstream: &UpstreamId) {
        let Some(session_key) = prompt.session_key() else { return };
        self.placements += 1;
        let session = Session {
            last_prompt: prompt.clone(),
            last_upstream: upstream.clone(),
            last_used: self.placements,
        };
        self.sessions.insert(session_key, session);
        if self.sessions.len() > MAX_SESSIONS {
            let last_evicted = self.placements.saturating_sub(MAX_SESSIONS as u64 / 2);
            self.sessions.retain(|_, session| session.last_used > last_evicted);
        }
    }
}
