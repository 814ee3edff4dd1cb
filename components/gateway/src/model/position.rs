//! Position in the store's history.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Position in the store's history. A store that comes back from an older copy begins a new era:
/// its revisions go back, and are given out again for other changes. Whatever its revision, a
/// position of a later era is ahead of one of an earlier era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Position {
    /// Number of times that the store has come back from a copy, as it states itself.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// Text that is not a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsePositionError;

impl fmt::Display for ParsePositionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a position is ERA.REVISION")
    }
}

impl std::error::Error for ParsePositionError {}

impl FromStr for Position {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Position, ParsePositionError> {
        let (era, revision) = text.split_once('.').ok_or(ParsePositionError)?;
        let parse = |number: &str| number.parse().map_err(|_| ParsePositionError);
        Ok(Position { era: parse(era)?, revision: parse(revision)? })
    }
}
