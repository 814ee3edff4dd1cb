//! Conversions between wire messages and the registry's forms.

use identity::{DispatchEpoch, ProcessId, UpstreamId};
use wire::{RequestKey, WireError, v1};

use crate::Placed;

/// The wire form of a placement.
pub fn to_entry(key: &RequestKey, placed: &Placed) -> v1::HeldEntry {
    v1::HeldEntry {
        key: Some(key.into()),
        upstream: placed.upstream.to_string(),
        dispatch_epoch: placed.epoch.0,
        upstream_process: placed.process.to_string(),
    }
}

/// The placement of a wire form.
pub fn from_entry(entry: v1::HeldEntry) -> Result<(RequestKey, Placed), WireError> {
    let key = entry.key.ok_or(WireError::Missing("key"))?.into();
    let placed = Placed {
        upstream: UpstreamId::new(entry.upstream),
        process: ProcessId::new(entry.upstream_process),
        epoch: DispatchEpoch(entry.dispatch_epoch),
    };
    Ok((key, placed))
}
