//! Why a command failed, and its exit code.

use std::fmt;
use std::process::ExitCode;

use errors::{ErrorBody, Outcome, Refusal, ResultCode};
use serde_json::{Value, json};

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The command line is wrong.
    Usage(String),
    /// The entry process refused.
    Refused(Box<ErrorBody>),
    /// The entry process was not reached; nothing was changed.
    NotReached(String),
    /// The entry process may have done what was asked.
    Unknown(String),
    /// Something this program does not handle.
    Internal(String),
}

const INTERNAL: u8 = 1;
const USAGE: u8 = 2;
const REFUSED: u8 = 3;
const VERSION_CONFLICT: u8 = 4;
const PATCH_REJECTED: u8 = 5;
const NOT_FOUND: u8 = 6;
const NOT_AVAILABLE: u8 = 7;
const UNKNOWN: u8 = 8;

impl Failure {
    /// A wrong command line.
    pub(crate) fn usage(error: impl fmt::Display) -> Failure {
        Failure::Usage(format!("{error:#}"))
    }

    /// Something that the configuration does not hold.
    pub(crate) fn not_found(what: String) -> Failure {
        let refusal = Refusal::not_run(ResultCode::NotFound);
        let body = refusal.with_message(format!("There is no {what}.")).body();
        Failure::Refused(Box::new(body))
    }

    /// The code that the program exits with.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Usage(_) => USAGE,
            Failure::NotReached(_) => NOT_AVAILABLE,
            Failure::Unknown(_) => UNKNOWN,
            Failure::Internal(_) => INTERNAL,
            Failure::Refused(body) => refused_code(body),
        })
    }

    /// Whether the patch may have taken effect.
    pub(crate) fn is_unknown(&self) -> bool {
        match self {
            Failure::Unknown(_) => true,
            Failure::Refused(body) => body.outcome == Outcome::Unknown,
            _ => false,
        }
    }

    /// Whether another version was in force.
    pub(crate) fn is_conflict(&self) -> bool {
        matches!(self, Failure::Refused(body) if code_of(body) == Some(ResultCode::VersionConflict))
    }

    /// The form for scripts.
    pub(crate) fn to_json(&self) -> Value {
        match self {
            Failure::Refused(body) => json!(body),
            other => json!({ "message": other.to_string() }),
        }
    }
}

fn code_of(body: &ErrorBody) -> Option<ResultCode> {
    ResultCode::from_number(body.code)
}

fn refused_code(body: &ErrorBody) -> u8 {
    match code_of(body) {
        _ if body.outcome == Outcome::Unknown => UNKNOWN,
        Some(ResultCode::VersionConflict) => VERSION_CONFLICT,
        Some(ResultCode::PatchRejected) => PATCH_REJECTED,
        Some(ResultCode::NotFound) => NOT_FOUND,
        Some(ResultCode::StoreUnavailable | ResultCode::ConfigurationMissing) => NOT_AVAILABLE,
        Some(ResultCode::Internal) => INTERNAL,
        _ => REFUSED,
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(body) => write!(f, "{} {}: {}", body.code, body.name, body.message),
            Failure::Usage(text)
            | Failure::NotReached(text)
            | Failure::Unknown(text)
            | Failure::Internal(text) => f.write_str(text),
        }
    }
}
