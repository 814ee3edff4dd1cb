//! A final answer other than the one asked for.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Outcome, ResultCode};

/// Why a request ends without its answer, and what became of its work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered code.
    pub code: ResultCode,
    /// Whether the work ran.
    pub outcome: Outcome,
    /// A sentence with the particulars.
    pub message: String,
    /// When the caller may usefully ask again.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of work that never ran, with the code's own description.
    pub fn not_run(code: ResultCode) -> Refusal {
        Refusal::new(code, Outcome::NotRun)
    }

    /// A refusal with the code's own description.
    pub fn new(code: ResultCode, outcome: Outcome) -> Refusal {
        Refusal { code, outcome, message: code.description().to_owned(), retry_after: None }
    }

    /// Replaces the description by a message with particulars.
    pub fn with_message(mut self, message: impl Into<String>) -> Refusal {
        self.message = message.into();
        self
    }

    /// Says when to come back.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Refusal {
        self.retry_after = Some(retry_after);
        self
    }

    /// The JSON form for callers.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            code: self.code.number(),
            name: self.code.name().to_owned(),
            message: self.message.clone(),
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code.number(), self.code.name(), self.message)
    }
}

impl std::error::Error for Refusal {}

/// The body of every error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The number of the result code.
    pub code: u32,
    /// The name of the result code.
    pub name: String,
    /// A plain sentence.
    pub message: String,
    /// Whether the work ran.
    pub outcome: Outcome,
    /// When to come back, in milliseconds; absent where asking again is of no use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
