//! The platform's list of live and leaving hosts as a trait.

use std::collections::BTreeMap;
use std::fmt;

use async_trait::async_trait;
use identity::HostId;
use serde::{Deserialize, Serialize};

/// What the list says of a host. A host that is not listed is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Up, as far as the list knows.
    Live,
    /// On its way out.
    Leaving,
}

/// The list could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostListError(pub String);

impl fmt::Display for HostListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "host list: {}", self.0)
    }
}

impl std::error::Error for HostListError {}

/// The platform's list of hosts; it lags behind.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the list as it stands.
    async fn read(&self) -> Result<BTreeMap<HostId, HostState>, HostListError>;
}
