//! Submission of operators' configuration patches, with an audit record for each.

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

/// Submits a patch and writes an audit record of it, whether it is accepted or refused.
///
/// An audit record that cannot be written to the store stays in `pending` until a later call of
/// [`flush_audit`] writes it.
pub async fn submit_audited_patch(
    store: &dyn KeyValueStore,
    active: Option<&Snapshot>,
    submission: &Submission,
    wall: SystemTime,
    pending: &PendingAudit,
) -> Result<AcceptedPatch, Refusal> {
    let result = submit_patch(store, active, submission, wall).await;
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

/// Writes the pending audit records to the store, oldest first, and stops at the first failure.
pub async fn flush_audit(store: &dyn KeyValueStore, pending: &PendingAudit) {
    while let Some(record) = pending.oldest() {
        if let Err(error) = record_audit(store, &record).await {
            warn!("audit record not written, will be retried: {error}: {record:?}");
            return;
        }
        pending.remove(&record);
    }
}
