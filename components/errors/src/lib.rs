//! The numbered result codes of the system and the answers made of them.
//!
//! `ResultCode` is the one source of numbers, names and sentences; the table in
//! `docs/ERRORS.md` is printed from it and a test keeps the two alike.

mod code;
mod refusal;

pub use code::{Outcome, ResultCode};
pub use refusal::{ErrorBody, Refusal};
