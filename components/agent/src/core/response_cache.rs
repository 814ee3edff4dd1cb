//! Cache of the finished responses that are held for callers that attach again. It is limited in
//! number, size and time; the bytes themselves are in the transcripts of the requests.

use std::collections::VecDeque;
use std::time::Instant;

use wire::RequestKey;

use super::RESPONSE_RETENTION;

/// Number of responses above which those without a reader are evicted.
const SOFT_COUNT_LIMIT: usize = 4096;

/// Total size above which responses without a reader are evicted.
const SOFT_SIZE_LIMIT_BYTES: usize = 16 << 20;

/// Total size above which responses are evicted even while they are being read.
const HARD_SIZE_LIMIT_BYTES: usize = 64 << 20;

/// Limits of the cache of finished responses. The newest response is held in any case.
#[derive(Debug, Clone, Copy)]
pub struct ResponseCacheLimits {
    /// Number of responses above which those without a reader are evicted.
    pub soft_count: usize,
    /// Total size above which responses without a reader are evicted.
    pub soft_size_bytes: usize,
    /// Total size above which responses are evicted even while they are being read.
    pub hard_size_bytes: usize,
}

impl Default for ResponseCacheLimits {
    fn default() -> Self {
        ResponseCacheLimits {
            soft_count: SOFT_COUNT_LIMIT,
            soft_size_bytes: SOFT_SIZE_LIMIT_BYTES,
            hard_size_bytes: HARD_SIZE_LIMIT_BYTES,
        }
    }
}

/// Finished responses, oldest first.
#[derive(Debug)]
pub(super) struct ResponseCache {
    limits: ResponseCacheLimits,
    size_bytes: usize,
    responses: VecDeque<CachedResponse>,
}

#[derive(Debug)]
struct CachedResponse {
    key: RequestKey,
    size_bytes: usize,
    finished_at: Instant,
}

impl ResponseCache {
    pub(super) fn new(limits: ResponseCacheLimits) -> ResponseCache {
        ResponseCache { limits, size_bytes: 0, responses: VecDeque::new() }
    }

    pub(super) fn add(&mut self, key: RequestKey, size_bytes: usize, finished_at: Instant) {
        self.size_bytes += size_bytes;
        self.responses.push_back(CachedResponse { key, size_bytes, finished_at });
    }

    /// Removes the oldest responses until the limits are met and returns their keys. Responses that
    /// are being read are removed only above the hard limit.
    pub(super) fn remove_surplus(
        &mut self,
        is_read: impl Fn(&RequestKey) -> bool,
    ) -> Vec<RequestKey> {
        let mut surplus = Vec::new();
        let mut index = 0;
        while self.exceeds_soft_limits() && index + 1 < self.responses.len() {
            if is_read(&self.responses[index].key) {
                index += 1;
            } else {
                surplus.extend(self.remove(index));
            }
        }
        while self.size_bytes > self.limits.hard_size_bytes && self.responses.len() > 1 {
            surplus.extend(self.remove(0));
        }
        surplus
    }

    /// Removes the responses whose retention period has passed and returns their keys.
    pub(super) fn remove_expired(&mut self, now: Instant) -> Vec<RequestKey> {
        let mut expired = Vec::new();
        while let Some(oldest) = self.responses.front()
            && now.saturating_duration_since(oldest.finished_at) > RESPONSE_RETENTION
        {
            expired.extend(self.remove(0));
        }
        expired
    }

    fn exceeds_soft_limits(&self) -> bool {
        self.responses.len() > self.limits.soft_count
            || self.size_bytes > self.limits.soft_size_bytes
    }

    fn remove(&mut self, index: usize) -> Option<RequestKey> {
        let removed = self.responses.remove(index)?;
        self.size_bytes -= removed.size_bytes;
        Some(removed.key)
    }
}
