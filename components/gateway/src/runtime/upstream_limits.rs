//! Applies the rates that upstreams name, in responses to this gateway or to others.

use std::collections::HashMap;
use std::time::Instant;

use log::info;

use super::log_fields::or_none;
use super::slot_guard::SlotGuard;
use super::state::Shared;
use crate::model::{PeerId, ResponseMetadata, ServiceId, UpstreamId};
use crate::upstream_limits::{AssigningRole, LimitChange, LimitNews};

impl Shared {
    /// Records the rate that a response names. One that another instance sent says nothing of the
    /// upstream that the request was meant for.
    pub(super) fn record_stated_limit(&self, slot: &SlotGuard, metadata: &ResponseMetadata) {
        if metadata.other_instance {
            return;
        }
        let now = self.clock.now();
        let change = self.upstream_limits.borrow_mut().record_response(
            slot.upstream().id(),
            metadata.limit,
            slot.assigned_at(),
            now,
        );
        if let Some(change) = change {
            self.log_limit_change(change, "own");
            self.apply_limits(now);
        }
    }

    /// Applies what another gateway knows of limits.
    pub(super) fn handle_limits(&self, from: PeerId, news: &[LimitNews]) {
        let now = self.clock.now();
        let changes = self.upstream_limits.borrow_mut().apply_news(news, now);
        for change in &changes {
            self.log_limit_change(*change, &from.to_string());
        }
        if !changes.is_empty() {
            self.apply_limits(now);
        }
    }

    fn log_limit_change(&self, LimitChange { upstream, per_second }: LimitChange, source: &str) {
        let upstreams = self.upstreams.borrow();
        let instance = upstreams.get(&upstream).map(|upstream| upstream.instance.clone());
        info!(
            "upstream.limit instance={} per_second={} by={source}",
            or_none(instance),
            or_none(per_second),
        );
    }

    /// Tells this gateway's broker at which rates it may assign requests to upstreams with a limit.
    /// The rates also depend on which gateways can be reached.
    pub(super) fn apply_limits(&self, now: Instant) {
        let rates = self.assignable_rates(now);
        if rates.is_empty() && !self.has_rates.replace(false) {
            return;
        }
        self.has_rates.set(!rates.is_empty());
        self.broker.borrow_mut().set_rates(&rates, now);
    }

    fn assignable_rates(&self, now: Instant) -> HashMap<UpstreamId, f64> {
        let limits = self.upstream_limits.borrow();
        let upstreams = self.upstreams.borrow();
        let assignable = |(upstream, per_second): (UpstreamId, f64)| {
            let service = ServiceId::of(&upstreams.get(&upstream)?.service);
            let role = self.assigning_role(service, now);
            Some((upstream, role.assignable_per_second(per_second)))
        };
        limits.limits().filter_map(assignable).collect()
    }

    fn assigning_role(&self, service: ServiceId, now: Instant) -> AssigningRole {
        let is_broker = self.is_broker_of(service);
        let peers = self.peers.borrow();
        if is_broker {
            AssigningRole::Broker { reachable_share: peers.reachable_share(now) }
        } else {
            AssigningRole::Substitute { gateway_count: peers.gateway_count() }
        }
    }
}
