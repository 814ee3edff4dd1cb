//! The configuration in the platform's store: reading it, patching it, its audit trail.

mod audit;
mod collect;
mod read;
mod submit;

pub use audit::{AuditOutcome, AuditRecord, read_audit, record_audit};
pub use read::{ReadError, read_index, read_log, read_newer};
pub use submit::{AcceptedPatch, Submission, check_patch, submit_patch};
