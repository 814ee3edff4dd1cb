//! Errors of commands, and their exit codes.

use std::fmt;
use std::process::ExitCode;

use errors::{ErrorBody, Outcome, Refusal, ResultCode};
use serde_json::{Value, json};

/// Error of a command.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The command line is invalid.
    Usage(String),
    /// The entry process refused the request.
    Refused(Box<ErrorBody>),
    /// The entry process could not be reached; nothing was changed.
    Unreachable(String),
    /// The outcome is unknown: the entry process may have carried out the request.
    Unknown(String),
    /// Internal error of this program or of the entry process.
    Internal(String),
}

const EXIT_INTERNAL: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_REFUSED: u8 = 3;
const EXIT_VERSION_CONFLICT: u8 = 4;
const EXIT_PATCH_REJECTED: u8 = 5;
const EXIT_NOT_FOUND: u8 = 6;
const EXIT_NOT_AVAILABLE: u8 = 7;
const EXIT_UNKNOWN: u8 = 8;

impl Failure {
    /// Creates a usage error.
    pub(crate) fn usage(error: impl fmt::Display) -> Failure {
        Failure::Usage(format!("{error:#}"))
    }

    /// Creates the error for something that the configuration does not contain.
    pub(crate) fn not_found(what: String) -> Failure {
        let refusal = Refusal::not_run(ResultCode::NotFound);
        let body = refusal.with_message(format!("There is no {what}.")).body();
        Failure::Refused(Box::new(body))
    }

    /// Returns the exit code of the program.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Usage(_) => EXIT_USAGE,
            Failure::Unreachable(_) => EXIT_NOT_AVAILABLE,
            Failure::Unknown(_) => EXIT_UNKNOWN,
            Failure::Internal(_) => EXIT_INTERNAL,
            Failure::Refused(body) => refusal_exit_code(body),
        })
    }

    /// Returns whether the request may have taken effect although it failed.
    pub(crate) fn is_outcome_unknown(&self) -> bool {
        match self {
            Failure::Unknown(_) => true,
            Failure::Refused(body) => body.outcome == Outcome::Unknown,
            _ => false,
        }
    }

    /// Returns whether the patch was based on a version that is no longer the latest.
    pub(crate) fn is_version_conflict(&self) -> bool {
        matches!(
            self,
            Failure::Refused(body) if result_code(body) == Some(ResultCode::VersionConflict)
        )
    }

    /// Converts the error to JSON, for `--json`.
    pub(crate) fn to_json(&self) -> Value {
        match self {
            Failure::Refused(body) => json!(body),
            other => json!({ "message": other.to_string() }),
        }
    }
}

fn result_code(body: &ErrorBody) -> Option<ResultCode> {
    ResultCode::from_number(body.code)
}

fn refusal_exit_code(body: &ErrorBody) -> u8 {
    match result_code(body) {
        _ if body.outcome == Outcome::Unknown => EXIT_UNKNOWN,
        Some(ResultCode::VersionConflict) => EXIT_VERSION_CONFLICT,
        Some(ResultCode::PatchRejected) => EXIT_PATCH_REJECTED,
        Some(ResultCode::NotFound) => EXIT_NOT_FOUND,
        Some(ResultCode::StoreUnavailable | ResultCode::ConfigurationMissing) => EXIT_NOT_AVAILABLE,
        Some(ResultCode::Internal) => EXIT_INTERNAL,
        _ => EXIT_REFUSED,
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(body) => write!(f, "{} {}: {}", body.code, body.name, body.message),
            Failure::Usage(text)
            | Failure::Unreachable(text)
            | Failure::Unknown(text)
            | Failure::Internal(text) => f.write_str(text),
        }
    }
}
