//! What gateways tell each other about causes.

use serde::{Deserialize, Serialize};

use crate::model::UpstreamId;

/// An attempt that is evidence against a cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenAttempt<C> {
    /// What it may have broken under.
    pub cause: C,
    /// Upstream at which it broke.
    pub upstream: UpstreamId,
    /// Milliseconds since then.
    pub ms_ago: u32,
}

/// A cause whose requests are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedCause<C> {
    /// The cause.
    pub cause: C,
    /// Number of tests so far.
    pub tests: u32,
    /// Milliseconds until the next test.
    pub next_test_ms: u32,
}

/// What a gateway tells the others about causes of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews<C> {
    /// Evidence that this gateway has collected itself.
    pub broken: Vec<BrokenAttempt<C>>,
    /// Causes with evidence against them that are sound.
    pub sound: Vec<C>,
    /// Causes whose requests this gateway refuses.
    pub quarantined: Vec<QuarantinedCause<C>>,
}

impl<C> Default for QuarantineNews<C> {
    fn default() -> QuarantineNews<C> {
        QuarantineNews { broken: Vec::new(), sound: Vec::new(), quarantined: Vec::new() }
    }
}
