//! Limits of transfers whose length is not known in advance.
//!
//! Load pattern: a document that grows over the years, over a link that many share. A time limit on
//! the whole transfer would at some size end each one halfway, and its repetition would keep the
//! link full.

use std::time::Duration;

use tokio::time::Instant;

/// Limits of a transfer of unknown length. It may take as long as it makes progress; a peer that
/// stops sending, or sends a byte now and then, ends it.
#[derive(Debug, Clone, Copy)]
pub struct TransferLimits {
    /// Maximum size of the body.
    pub max_bytes: usize,
    /// Time within which `min_progress_bytes` or the end must arrive, each time anew.
    pub progress_interval: Duration,
    /// Bytes that must arrive in `progress_interval`.
    pub min_progress_bytes: usize,
}

/// Progress of one transfer.
#[derive(Debug)]
pub struct TransferProgress {
    limits: TransferLimits,
    received_bytes: usize,
    /// Bytes received at the start of the current interval.
    interval_from_bytes: usize,
    stalls_at: Instant,
}

impl TransferProgress {
    /// Begins the first interval.
    pub fn begin(limits: TransferLimits) -> TransferProgress {
        TransferProgress {
            limits,
            received_bytes: 0,
            interval_from_bytes: 0,
            stalls_at: Instant::now() + limits.progress_interval,
        }
    }

    /// Time at which the transfer counts as stalled unless more arrives.
    pub fn stalls_at(&self) -> Instant {
        self.stalls_at
    }

    /// Records a part of the body; begins a new interval if enough has arrived.
    pub fn record(&mut self, part_bytes: usize) {
        self.received_bytes += part_bytes;
        if self.received_bytes - self.interval_from_bytes >= self.limits.min_progress_bytes {
            self.interval_from_bytes = self.received_bytes;
            self.stalls_at = Instant::now() + self.limits.progress_interval;
        }
    }

    /// Reason for the end of a stalled transfer.
    pub fn describe_stall(&self) -> String {
        format!("transfer stalled after {} bytes", self.received_bytes)
    }
}
