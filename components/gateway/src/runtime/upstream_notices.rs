//! Applies what upstreams say of themselves in their responses.

use std::time::Instant;

use log::info;

use super::slot_guard::SlotGuard;
use super::state::Shared;
use crate::model::{PeerId, ResponseMetadata, UpstreamId};

impl Shared {
    /// Records what a response says of its upstream. A leaving one gets no new requests from now
    /// on, and one that asks for a pause gets none of this gateway meanwhile.
    pub(super) fn record_notices(&self, slot: &SlotGuard, metadata: &ResponseMetadata) {
        let (upstream, now) = (slot.upstream(), self.clock.now());
        self.record_stated_limit(slot, metadata);
        if let Some(pause) = metadata.pause {
            info!("upstream.paused instance={} pause_ms={}", upstream.instance, pause.as_millis());
            self.upstream_notices.borrow_mut().record_pause(upstream.id(), pause, now);
        }
        if !metadata.leaving {
            return;
        }
        if self.upstream_notices.borrow_mut().record_leaving(upstream.id(), now) {
            info!("upstream.leaving instance={} by=own", upstream.instance);
            self.apply_notices();
        }
    }

    /// Applies what another gateway knows of leaving upstreams.
    pub(super) fn handle_leaving_upstreams(&self, from: PeerId, leaving: &[UpstreamId]) {
        let now = self.clock.now();
        if self.upstream_notices.borrow_mut().apply_leaving(leaving, now) {
            info!("upstream.leaving reported={} by={from}", leaving.len());
            self.apply_notices();
        }
    }

    fn apply_notices(&self) {
        self.upstreams_changed.set(true);
        self.apply_upstream_changes();
    }

    pub(super) fn expire_upstream_notices(&self, now: Instant) {
        let upstreams = self.upstreams.borrow();
        let is_listed = |upstream: UpstreamId| upstreams.contains_key(&upstream);
        self.upstream_notices.borrow_mut().expire(is_listed, now);
        self.upstream_limits.borrow_mut().expire(is_listed, now);
    }
}
