//! Conversions between placement records and wire messages.

use identity::{DispatchEpoch, ProcessId, UpstreamId};
use wire::{RequestKey, WireError, v1};

use crate::PlacementRecord;

/// Converts a placement record to its wire message.
pub fn to_held_entry(key: &RequestKey, placement: &PlacementRecord) -> v1::HeldEntry {
    v1::HeldEntry {
        key: Some(key.into()),
        upstream: placement.upstream.to_string(),
        dispatch_epoch: placement.epoch.0,
        upstream_process: placement.process.to_string(),
    }
}

/// Converts a wire message to a request key and its placement record.
pub fn from_held_entry(entry: v1::HeldEntry) -> Result<(RequestKey, PlacementRecord), WireError> {
    let key = entry.key.ok_or(WireError::Missing("key"))?.into();
    let placement = PlacementRecord {
        upstream: UpstreamId::new(entry.upstream),
        process: ProcessId::new(entry.upstream_process),
        epoch: DispatchEpoch(entry.dispatch_epoch),
    };
    Ok((key, placement))
}
