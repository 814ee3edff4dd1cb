//! Audit records that have not been written to the store yet.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use configuration::repository::AuditRecord;

/// Most records kept in memory. A dropped record is not lost: it was logged when its write failed.
const PENDING_RECORDS_LIMIT: usize = 256;

/// Queue of audit records that have not been written to the store yet, oldest first.
#[derive(Debug, Default)]
pub struct PendingAudit {
    records: Mutex<VecDeque<AuditRecord>>,
}

impl PendingAudit {
    /// Appends a record, and drops the oldest one if the queue is full.
    pub fn push(&self, record: AuditRecord) {
        let mut records = self.records();
        records.push_back(record);
        if records.len() > PENDING_RECORDS_LIMIT {
            records.pop_front();
        }
    }

    /// Returns the oldest record.
    pub fn oldest(&self) -> Option<AuditRecord> {
        self.records().front().cloned()
    }

    /// Removes a record that has been written to the store.
    pub fn remove(&self, written: &AuditRecord) {
        self.records().retain(|record| record != written);
    }

    /// Number of pending records.
    pub fn len(&self) -> usize {
        self.records().len()
    }

    /// Whether no record is pending.
    pub fn is_empty(&self) -> bool {
        self.records().is_empty()
    }

    fn records(&self) -> MutexGuard<'_, VecDeque<AuditRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
