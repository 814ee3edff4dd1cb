//! Takes in what stands in the store.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};

use super::Directory;
use super::state::{InForce, Shared};
use crate::allowance::CustomerId;
use crate::customers::KeyRing;
use crate::model::{Configuration, Customer, Upstream};
use crate::peers::Member;
use crate::roster::RosterChange;
use crate::routes::RouteTable;

impl Directory for Shared {
    fn configure(&self, configuration: Configuration, asked_at: Duration) {
        let before = self.in_force.borrow().as_ref().map_or(0, |known| known.version);
        if configuration.version < before {
            warn!("configuration.older offered={} kept={before}", configuration.version);
            return;
        }
        self.confirm_known(asked_at);
        if configuration.version == before && before != 0 {
            return;
        }
        let routes = RouteTable::new(&configuration.routes);
        let (version, route_count) = (configuration.version, routes.len());
        let engines = configuration.engines.into_iter();
        let allowance_of =
            |customer: &Customer| Some((CustomerId::of(&customer.name), customer.allowance?));
        let in_force = InForce {
            version,
            routes,
            tokens_per_event: engines
                .map(|engine| (engine.service, engine.tokens_per_event))
                .collect(),
            allowances: configuration.customers.iter().filter_map(allowance_of).collect(),
            keys: KeyRing::new(&configuration.customers),
            asks_for_keys: !configuration.customers.is_empty(),
            limits: configuration.caller_limits,
        };
        *self.in_force.borrow_mut() = Some(Rc::new(in_force));
        self.metrics.show_version(version);
        let customers = configuration.customers.len();
        info!(
            "configuration.changed version={version} before={before} routes={route_count} customers={customers}"
        );
    }

    fn confirm(&self, asked_at: Duration) {
        self.apply_roster();
        self.readings.borrow_mut().note_read(asked_at);
        self.confirm_known(asked_at);
    }

    fn is_reading_due(&self) -> bool {
        let uptime = self.clock.uptime();
        self.readings.borrow().is_due(self.freshness.get().age(uptime), uptime)
    }

    fn announce(&self, upstream: Upstream) {
        let change = self.roster.borrow_mut().announce(upstream);
        self.note_roster(change);
    }

    fn withdraw(&self, instance: &str) {
        let change = self.roster.borrow_mut().withdraw(instance, self.clock.now());
        info!("upstream.withdrawn instance={instance} kept={}", change == RosterChange::None);
        self.note_roster(change);
    }

    fn replace_upstreams(&self, listed: Vec<Upstream>) {
        let change = self.roster.borrow_mut().replace_all(listed, self.clock.now());
        self.note_roster(change);
    }

    fn set_members(&self, members: Vec<Member>) {
        let now = self.clock.now();
        self.members_fingerprint.set(members.iter().fold(0, |sum, member| sum ^ member.id));
        let others: Vec<Member> =
            members.into_iter().filter(|member| !self.is_own(member)).collect();
        let mut peers = self.peers.borrow_mut();
        peers.set_members(&others, now);
        info!("members.changed others={} counted={}", others.len(), peers.entries());
        drop(peers);
        self.note_candidates();
    }

    fn lose_store(&self, reason: &str) {
        self.roster.borrow_mut().lose_store();
        let age_ms = self.confirmation_age_ms();
        warn!("store.lost reason={reason:?} confirmation_age_ms={age_ms}");
    }

    fn regain_store(&self) {
        self.roster.borrow_mut().regain_store(self.clock.now());
        let age_ms = self.confirmation_age_ms();
        info!("store.regained confirmation_age_ms={age_ms}");
    }
}

impl Shared {
    /// Notes what a change did to the roster, until the reading that brought it is taken in whole.
    pub(super) fn note_roster(&self, change: RosterChange) {
        if change == RosterChange::Usable {
            self.upstreams_changed.set(true);
        }
    }

    /// Hands the usable upstreams on, if they changed.
    pub(super) fn apply_roster(&self) {
        if !self.upstreams_changed.take() {
            return;
        }
        let usable = self.roster.borrow().usable();
        let draining = usable.iter().filter(|upstream| upstream.draining).count();
        info!("upstreams.changed known={} draining={draining}", usable.len());
        let now = self.clock.now();
        self.take_upstreams(&usable);
        let replies = self.broker.borrow_mut().set_upstreams(&usable, now);
        self.send_replies(replies);
    }

    /// Replaces the upstreams that may be used; connections to those that are gone are closed.
    fn take_upstreams(&self, usable: &[Upstream]) {
        let known = usable.iter().map(|upstream| (upstream.id(), upstream.clone())).collect();
        let before = self.upstreams.replace(known);
        let upstreams = self.upstreams.borrow();
        for (id, upstream) in before {
            if !upstreams.contains_key(&id) {
                self.pool.close_idle(upstream.address);
            }
        }
        self.contacts.borrow_mut().keep(|id| upstreams.contains_key(&id));
    }

    /// Whether a member is this process, or the one that was at its address before.
    fn is_own(&self, member: &Member) -> bool {
        let own = self.socket.local_addr().ok();
        member.id == self.process_id || Some(member.address) == own
    }
}
