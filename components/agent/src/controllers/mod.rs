//! Controllers that guard against running a call twice and against applying an outdated order.

pub mod call_ledger;
pub mod orders;
