//! Numbered result codes and the error responses that carry them.
//!
//! `ResultCode` is the only definition of the numbers, names and descriptions. A test compares the
//! table in `docs/ERRORS.md` with it.

mod code;
mod refusal;

pub use code::{Outcome, ResultCode};
pub use refusal::{ErrorBody, Refusal};
