//! Applies what the adapter reports from the store: configuration, upstreams and members.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};

use super::Directory;
use super::state::{ActiveConfiguration, Shared};
use crate::allowance::CustomerId;
use crate::customers::CustomerKeys;
use crate::key_confirmation::KeyConfirmation;
use crate::model::{Configuration, Customer, Position, ServiceId, Upstream};
use crate::peers::{Candidate, Member};
use crate::routes::{RouteTable, resumable_services, stream_lifetime};
use crate::shared_read::{SharedChange, SharedRead, SharedReadReceiver};
use crate::stream_versions::{Marker, StreamRecordStore};
use crate::upstream_table::UpstreamTableChange;

/// Time without a confirmation by the store, be it to a peer, after which the store counts as lost.
/// It must pass before the announcements of running upstreams expire because they cannot be
/// renewed, which takes about three seconds.
pub(super) const STORE_LOST_AFTER: Duration = Duration::from_millis(2_000);

impl Directory for Shared {
    fn configure(&self, configuration: Configuration, queried_at: Duration) {
        let previous =
            self.active_configuration.borrow().as_ref().map_or(0, |active| active.version);
        if configuration.version < previous {
            warn!("configuration.older offered={} kept={previous}", configuration.version);
            return;
        }
        self.record_own_read(queried_at);
        if configuration.version == previous && previous != 0 {
            return;
        }
        let routes = RouteTable::new(&configuration.routes);
        let (version, route_count) = (configuration.version, routes.len());
        let engines = configuration.engines.into_iter();
        let allowance_of =
            |customer: &Customer| Some((CustomerId::of(&customer.name), customer.allowance?));
        let active_configuration = ActiveConfiguration {
            version,
            routes,
            tokens_per_event: engines
                .map(|engine| (engine.service, engine.tokens_per_event))
                .collect(),
            allowances: configuration.customers.iter().filter_map(allowance_of).collect(),
            keys: CustomerKeys::new(&configuration.customers),
            requires_keys: !configuration.customers.is_empty(),
            limits: configuration.caller_limits,
            resumable_services: resumable_services(&configuration.routes),
            stream_lifetime: stream_lifetime(&configuration.routes),
        };
        *self.active_configuration.borrow_mut() = Some(Rc::new(active_configuration));
        self.metrics.set_configuration_version(version);
        let customers = configuration.customers.len();
        info!(
            "configuration.changed version={version} before={previous} routes={route_count} customers={customers}"
        );
    }

    fn confirm(&self, queried_at: Duration, position: Position) {
        self.apply_upstream_changes();
        self.read_schedule.borrow_mut().record_read(queried_at, position);
        self.record_own_read(queried_at);
        self.announce_read();
    }

    fn known_position(&self) -> Option<Position> {
        self.read_schedule.borrow().position()
    }

    fn is_read_due(&self) -> bool {
        let uptime = self.clock.uptime();
        let rank = self.rank_in_zone();
        let age = self.freshness.get().age(uptime);
        // The others of the zone learn it from the first one's digest.
        let keys_await_read = rank == 0 && self.key_confirmation.get().awaits_read(uptime);
        keys_await_read || self.read_schedule.borrow().is_due(age, rank, uptime)
    }

    fn upsert_upstream(&self, upstream: Upstream) -> bool {
        self.check_version_change(&upstream);
        let change = self.upstream_table.borrow_mut().upsert(upstream);
        self.record_upstream_change(change);
        change == UpstreamTableChange::Usable
    }

    fn remove_upstream(&self, instance: &str) {
        let change = self.upstream_table.borrow_mut().remove(instance, self.clock.now());
        info!(
            "upstream.withdrawn instance={instance} kept={}",
            change == UpstreamTableChange::None
        );
        self.record_upstream_change(change);
    }

    fn record_progress(&self) {
        self.read_schedule.borrow_mut().record_progress(self.clock.uptime());
    }

    fn record_all(&self, items: Vec<SharedChange>, position: Position) {
        self.store_copy.borrow_mut().replace_all(items, position);
    }

    fn share_read(&self, read: SharedRead) {
        self.store_copy.borrow_mut().apply(&read.changes);
        let position = read.position;
        let parts = read.split();
        if let Some(last) = parts.last().filter(|last| last.position < position) {
            info!("shared_read.cut_short shared={} position={position}", last.position);
        }
        for part in parts {
            self.share_with_zone(part);
        }
    }

    fn set_shared_read_receiver(&self, receiver: Rc<dyn SharedReadReceiver>) {
        *self.shared_read_receiver.borrow_mut() = Some(receiver);
    }

    fn apply_shared_read(&self, position: Position) {
        self.apply_upstream_changes();
        self.read_schedule.borrow_mut().record_shared_read(position);
    }

    fn replace_upstreams(&self, listed: Vec<Upstream>) {
        listed.iter().for_each(|upstream| self.check_version_change(upstream));
        let change = self.upstream_table.borrow_mut().replace_all(listed, self.clock.now());
        self.record_upstream_change(change);
    }

    fn set_members(&self, members: Vec<Member>) {
        let now = self.clock.now();
        self.members_fingerprint.set(members.iter().fold(0, |sum, member| sum ^ member.id));
        let others: Vec<Member> =
            members.into_iter().filter(|member| !self.is_own(member)).collect();
        let mut peers = self.peers.borrow_mut();
        peers.set_members(&others, now);
        info!("members.changed others={} counted={}", others.len(), peers.gateway_count());
        drop(peers);
        self.update_candidates();
    }

    fn mark_store_restored(&self, era: u64) {
        self.upstream_table.borrow_mut().mark_store_restored(self.clock.now());
        self.mark_copy_possible();
        self.rewrite_stream_records();
        info!("store.restored era={era}");
    }

    fn mark_copy_possible(&self) {
        let uptime = self.clock.uptime();
        self.update_key_confirmation(|confirmation| confirmation.record_restore(uptime));
    }

    fn mark_configuration_written(&self) {
        self.update_key_confirmation(KeyConfirmation::record_configuration_written);
    }

    fn set_stream_record_store(&self, store: Rc<dyn StreamRecordStore>) {
        *self.stream_versions.store.borrow_mut() = Some(store);
    }

    fn apply_version_marker(&self, service: ServiceId, marker: Option<Marker>, position: Position) {
        self.stream_versions.services.borrow_mut().markers_mut().apply(service, marker, position);
        self.record_marker_change();
    }

    fn replace_version_markers(
        &self,
        listed: Vec<(ServiceId, Marker, Position)>,
        position: Position,
    ) {
        self.stream_versions.services.borrow_mut().markers_mut().replace_all(listed, position);
        self.record_marker_change();
    }

    fn mark_stream_records_lost(&self) {
        self.rewrite_stream_records();
    }

    fn record_refused_page(&self) {
        self.metrics.refused_store_pages.inc();
    }

    fn mark_store_lost(&self, reason: &str) {
        self.read_schedule.borrow_mut().set_store_unreachable(true);
        let age = self.freshness.get().age(self.clock.uptime());
        let is_served_to_peers = age.is_some_and(|age| age < STORE_LOST_AFTER);
        if is_served_to_peers || !self.upstream_table.borrow_mut().mark_store_lost() {
            return;
        }
        let age_ms = self.confirmation_age_ms();
        warn!("store.lost reason={reason:?} confirmation_age_ms={age_ms}");
    }

    fn mark_store_regained(&self) {
        self.read_schedule.borrow_mut().set_store_unreachable(false);
        self.end_store_outage();
    }
}

impl Shared {
    /// Ends an outage of the store, as seen here or by a peer.
    pub(super) fn end_store_outage(&self) {
        if !self.upstream_table.borrow_mut().mark_store_regained(self.clock.now()) {
            return;
        }
        let age_ms = self.confirmation_age_ms();
        info!("store.regained confirmation_age_ms={age_ms}");
    }

    /// Records a change of the usable upstreams; the changes of one read of the store are applied
    /// together.
    pub(super) fn record_upstream_change(&self, change: UpstreamTableChange) {
        if change == UpstreamTableChange::Usable {
            self.upstreams_changed.set(true);
        }
    }

    /// Passes the usable upstreams on to the request path and the broker, if they have changed.
    pub(super) fn apply_upstream_changes(&self) {
        if !self.upstreams_changed.take() {
            return;
        }
        let mut usable = self.upstream_table.borrow().usable();
        for upstream in &mut usable {
            upstream.draining |= self.upstream_notices.borrow().is_leaving(upstream.id());
        }
        let draining = usable.iter().filter(|upstream| upstream.draining).count();
        info!("upstreams.changed known={} draining={draining}", usable.len());
        let now = self.clock.now();
        self.stream_versions.services.borrow_mut().set_upstreams(&usable);
        self.set_usable_upstreams(&usable);
        let replies = self.broker.borrow_mut().set_upstreams(&usable, now);
        self.apply_limits(now);
        self.send_replies(replies);
    }

    /// Replaces the usable upstreams, and closes idle connections to those that are gone.
    fn set_usable_upstreams(&self, usable: &[Upstream]) {
        let by_id = usable.iter().map(|upstream| (upstream.id(), upstream.clone())).collect();
        let previous = self.upstreams.replace(by_id);
        let upstreams = self.upstreams.borrow();
        for (id, upstream) in previous {
            if !upstreams.contains_key(&id) {
                self.pool.close_idle(upstream.address);
            }
        }
        self.reachability.borrow_mut().retain(|id| upstreams.contains_key(&id));
    }

    /// Number of gateways of the zone that read the store before this one: those with more CPU
    /// capacity, then those with a lower id.
    fn rank_in_zone(&self) -> u32 {
        let cores = self.settings.borrow().cores;
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let precedes = |peer: &Candidate| {
            peer.cores.total_cmp(&cores).then(self.process_id.cmp(&peer.id)).is_gt()
        };
        peers.candidates_in(&self.own_zone, now).filter(precedes).count() as u32
    }

    /// Whether a member is this process, or an earlier process at the same address.
    fn is_own(&self, member: &Member) -> bool {
        let own_address = self.socket.local_addr().ok();
        member.id == self.process_id || Some(member.address) == own_address
    }
}
