//! Which finished answers are held for callers who ask again; bounded in number, bytes and time.

use std::collections::VecDeque;
use std::time::Instant;

use wire::RequestKey;

use super::KEEP_FINISHED;

/// Most finished answers that an agent holds.
const HELD_COUNT_LIMIT: usize = 4096;

/// Most bytes of finished answers that an agent holds.
const HELD_BYTES_LIMIT: usize = 16 << 20;

/// Most bytes of finished answers, those that are being read included.
const HELD_AND_READ_BYTES_LIMIT: usize = 64 << 20;

/// Bounds on the cache of finished responses.
#[derive(Debug, Clone, Copy)]
pub struct ResponseCacheLimits {
    /// Most answers that nobody reads.
    pub count: usize,
    /// Most bytes before answers that nobody reads give way.
    pub size_bytes: usize,
    /// Most bytes before answers that are being read give way too.
    pub read_size_bytes: usize,
}

impl Default for ResponseCacheLimits {
    fn default() -> Self {
        ResponseCacheLimits {
            count: HELD_COUNT_LIMIT,
            size_bytes: HELD_BYTES_LIMIT,
            read_size_bytes: HELD_AND_READ_BYTES_LIMIT,
        }
    }
}

/// Finished answers, oldest first.
#[derive(Debug)]
pub(super) struct ResponseCache {
    limits: ResponseCacheLimits,
    size_bytes: usize,
    answers: VecDeque<CachedResponse>,
}

#[derive(Debug)]
struct CachedResponse {
    key: RequestKey,
    size_bytes: usize,
    finished_at: Instant,
}

impl ResponseCache {
    pub(super) fn new(limits: ResponseCacheLimits) -> ResponseCache {
        ResponseCache { limits, size_bytes: 0, answers: VecDeque::new() }
    }

    /// Adds an answer.
    pub(super) fn add(&mut self, key: RequestKey, size_bytes: usize, finished_at: Instant) {
        self.size_bytes += size_bytes;
        self.answers.push_back(CachedResponse { key, size_bytes, finished_at });
    }

    /// Takes out the older answers that do not fit; those that are being read last.
    pub(super) fn take_surplus(
        &mut self,
        is_read: impl Fn(&RequestKey) -> bool,
    ) -> Vec<RequestKey> {
        let mut surplus = Vec::new();
        let mut at = 0;
        while self.is_over() && at + 1 < self.answers.len() {
            if is_read(&self.answers[at].key) {
                at += 1;
            } else {
                surplus.extend(self.take(at));
            }
        }
        while self.size_bytes > self.limits.read_size_bytes && self.answers.len() > 1 {
            surplus.extend(self.take(0));
        }
        surplus
    }

    /// Takes out the answers that were held for long enough.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<RequestKey> {
        let mut expired = Vec::new();
        while let Some(oldest) = self.answers.front()
            && now.saturating_duration_since(oldest.finished_at) > KEEP_FINISHED
        {
            expired.extend(self.take(0));
        }
        expired
    }

    fn is_over(&self) -> bool {
        self.answers.len() > self.limits.count || self.size_bytes > self.limits.size_bytes
    }

    fn take(&mut self, at: usize) -> Option<RequestKey> {
        let taken = self.answers.remove(at)?;
        self.size_bytes -= taken.size_bytes;
        Some(taken.key)
    }
}
