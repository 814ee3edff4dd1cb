//! Patches of operators: from the submission to the audit trail.

mod pending;

use std::time::SystemTime;

use configuration::Snapshot;
use configuration::repository::{
    AcceptedPatch, AuditOutcome, AuditRecord, Submission, record_audit, submit_patch,
};
use errors::Refusal;
use log::warn;
use store::KeyValueStore;

pub use pending::PendingAudit;

/// Submits a patch and records it in the audit trail, refused or not.
///
/// A record that the store does not take stays in `pending` and is written later.
pub async fn submit(
    store: &dyn KeyValueStore,
    held: Option<&Snapshot>,
    submission: &Submission,
    wall: SystemTime,
    pending: &PendingAudit,
) -> Result<AcceptedPatch, Refusal> {
    let result = submit_patch(store, held, submission, wall).await;
    let outcome = match &result {
        Ok(accepted) => AuditOutcome::Accepted(accepted.version),
        Err(refusal) => AuditOutcome::Refused {
            code: refusal.code.name().to_owned(),
            message: refusal.message.clone(),
        },
    };
    pending.push(AuditRecord::new(submission, outcome, wall));
    flush_audit(store, pending).await;
    result
}

/// Writes the records that wait, the oldest first, until the store fails.
pub async fn flush_audit(store: &dyn KeyValueStore, pending: &PendingAudit) {
    while let Some(record) = pending.first() {
        if let Err(error) = record_audit(store, &record).await {
            warn!("audit record waits: {error}: {record:?}");
            return;
        }
        pending.remove(&record);
    }
}
