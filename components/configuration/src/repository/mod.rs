//! Reads and patches the configuration in the platform's store and records an audit trail.

mod audit;
mod garbage;
mod read;
mod submit;

pub use audit::{AuditOutcome, AuditRecord, read_audit, record_audit};
pub use read::{RepositoryError, read_index, read_log, read_newer};
pub use submit::{AcceptedPatch, Submission, check_patch, submit_patch};
