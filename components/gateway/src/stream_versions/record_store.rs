//! Interface to the platform adapter, which keeps markers and records in the store.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;

use super::{Marker, RecordedStreams, StreamRecord};
use crate::model::{Position, ServiceId};

/// Error of a call that reads or writes markers and records. A write may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordStoreError(pub String);

impl fmt::Display for RecordStoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::error::Error for RecordStoreError {}

/// Keeps markers and records in the store.
#[async_trait(?Send)]
pub trait StreamRecordStore {
    /// Replaces the records of this gateway. They lapse when this gateway has ended, but not before
    /// `retention` has passed.
    async fn write_records(
        &self,
        records: &[StreamRecord],
        retention: Duration,
    ) -> Result<(), RecordStoreError>;

    /// Writes the marker of a service, and returns the position at which it was written. A marker
    /// that names a version is written only if the store holds the marker of `replaces`, or none.
    async fn write_marker(
        &self,
        service: ServiceId,
        marker: Marker,
        replaces: Option<Position>,
    ) -> Result<Position, RecordStoreError>;

    /// Reads all markers and records.
    async fn read(&self) -> Result<RecordedStreams, RecordStoreError>;
}
