//! Audit records that wait for the store.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use configuration::repository::AuditRecord;

/// Most records that wait; they are in the process's log as well.
const PENDING_LIMIT: usize = 256;

/// Records that wait for the store, the oldest first.
#[derive(Debug, Default)]
pub struct PendingAudit {
    records: Mutex<VecDeque<AuditRecord>>,
}

impl PendingAudit {
    /// Adds a record; the oldest is dropped where there are too many.
    pub fn push(&self, record: AuditRecord) {
        let mut records = self.records();
        records.push_back(record);
        if records.len() > PENDING_LIMIT {
            records.pop_front();
        }
    }

    /// The oldest.
    pub fn first(&self) -> Option<AuditRecord> {
        self.records().front().cloned()
    }

    /// Removes a record that the store has taken.
    pub fn remove(&self, written: &AuditRecord) {
        self.records().retain(|record| record != written);
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.records().len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.records().is_empty()
    }

    fn records(&self) -> MutexGuard<'_, VecDeque<AuditRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
