//! Trait for the platform's list of live and leaving hosts.

use std::collections::BTreeMap;
use std::fmt;

use async_trait::async_trait;
use identity::HostId;
use serde::{Deserialize, Serialize};

/// State of a host in the host list. A host that is not listed no longer exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is up, as far as the list shows.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// The host list could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostListError(pub String);

impl fmt::Display for HostListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "host list: {}", self.0)
    }
}

impl std::error::Error for HostListError {}

/// The platform's host list. It lags behind the actual state of the hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the current list.
    async fn read(&self) -> Result<BTreeMap<HostId, HostState>, HostListError>;
}
