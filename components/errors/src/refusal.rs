//! Refusals: why a request ends without the requested response.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Outcome, ResultCode};

/// Reason why a request ends without the requested response, and the outcome of its work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// Whether the work ran.
    pub outcome: Outcome,
    /// Human-readable message.
    pub message: String,
    /// Time after which a retry may succeed; `None` if a retry is of no use.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of work that did not run, with the description of the code as message.
    pub fn not_run(code: ResultCode) -> Refusal {
        Refusal::new(code, Outcome::NotRun)
    }

    /// Creates a refusal with the description of the code as message.
    pub fn new(code: ResultCode, outcome: Outcome) -> Refusal {
        Refusal { code, outcome, message: code.description().to_owned(), retry_after: None }
    }

    /// Replaces the message by a more specific one.
    pub fn with_message(mut self, message: impl Into<String>) -> Refusal {
        self.message = message.into();
        self
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Refusal {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the body of the error response to the caller.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            code: self.code.number(),
            name: self.code.name().to_owned(),
            message: self.message.clone(),
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as u64),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code.number(), self.code.name(), self.message)
    }
}

impl std::error::Error for Refusal {}

/// JSON body of every error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Number of the result code.
    pub code: u32,
    /// Name of the result code.
    pub name: String,
    /// Human-readable message.
    pub message: String,
    /// Whether the work ran.
    pub outcome: Outcome,
    /// Time after which the caller may retry, in milliseconds; absent if a retry is of no use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
