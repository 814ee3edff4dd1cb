//! Controllers guard what must not happen twice or too late; each is a file.

pub mod call_ledger;
pub mod orders;
