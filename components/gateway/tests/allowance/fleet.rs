//! Simulated fleets of gateways under faults: what all of them grant in a window.

use std::collections::VecDeque;
use std::time::Instant;

use gateway::allowance::{
    Acquisition, BucketOwner, BucketRole, CreditReply, CreditRequest, LocalCredit,
};

use crate::{ALLOWANCE, STEP, TOLERANCE, WINDOW, customer, terms};

/// Excess over the allowance and burst of a window that the operators tolerate, as a fraction.
const OVERSHOOT: f64 = 0.1;

/// Number of steps of a simulation: 30 s of simulated time.
const STEPS: usize = 3_000;

/// Steps after which a gateway repeats a credit request.
const RETRANSMIT_STEPS: usize = 4;

/// Steps after which a gateway stops waiting for the reply to a credit request.
const REPLY_TIMEOUT_STEPS: usize = 12;

/// The operators' upper bound for any window.
fn bound() -> f64 {
    let base = ALLOWANCE.per_second * WINDOW.as_secs_f64() + ALLOWANCE.burst;
    base * (1.0 + OVERSHOOT) + TOLERANCE.slack
}

/// Faults of gateways and of the network between them.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// Steps that a datagram is in transit.
    delay: usize,
    /// One of this many datagrams is lost.
    lose_one_in: Option<usize>,
    /// The owner's process is killed at this step; the other gateways learn of it within the second
    /// number of steps.
    kill_owner: Option<(usize, usize)>,
    /// The owner stops gracefully at this step; the other gateways learn of it within the second
    /// number of steps.
    stop_owner: Option<(usize, usize)>,
    /// All processes are replaced at this step.
    replace_all: Option<usize>,
    /// From this step on, this many gateways cannot reach the others. Both sides notice only later.
    partition: Option<(usize, usize)>,
    /// Between these steps, this many gateways take the owner for silent, while it receives all
    /// messages.
    false_suspicion: Option<(usize, usize, usize)>,
}

/// Steps of silence after which a partitioned owner is replaced.
const PARTITION_NOTICED_STEPS: usize = 170;

/// Steps of silence after which a gateway no longer counts towards the owner's share.
const SHARE_TIMEOUT_STEPS: usize = 100;

/// Steps of silence after which the standby acts for the owner.
const STANDBY_AFTER_STEPS: usize = 60;

/// Steps between replications of the owner's buckets.
const REPLICATION_STEPS: usize = 25;

#[derive(Debug, Clone, Copy)]
enum Datagram {
    CreditRequest { gateway: usize, bucket_owner: usize, request: CreditRequest },
    CreditReply { gateway: usize, request: CreditRequest, reply: CreditReply },
}

/// Request whose credit request has not been answered yet.
#[derive(Debug)]
struct PendingRequest {
    gateway: usize,
    bucket_owner: usize,
    request: CreditRequest,
    cost: f64,
    until: usize,
}

struct Fleet {
    faults: Faults,
    gateways: usize,
    start: Instant,
    step: usize,
    local_credits: Vec<LocalCredit>,
    bucket_owners: Vec<BucketOwner>,
    /// Owner of the bucket according to each gateway.
    owner_of: Vec<usize>,
    in_transit: VecDeque<(usize, Datagram)>,
    datagrams_sent: usize,
    pending_requests: Vec<PendingRequest>,
    granted: f64,
}

impl Fleet {
    fn new(gateways: usize, faults: Faults) -> Fleet {
        let start = Instant::now();
        Fleet {
            faults,
            gateways,
            start,
            step: 0,
            local_credits: (0..gateways).map(|_| LocalCredit::new(0, start)).collect(),
            bucket_owners: (0..gateways).map(|_| BucketOwner::new(start)).collect(),
            owner_of: vec![0; gateways],
            in_transit: VecDeque::new(),
            datagrams_sent: 0,
            pending_requests: Vec::new(),
            granted: 0.0,
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    fn is_partitioned(&self, gateway: usize, bucket_owner: usize) -> bool {
        let is_in = |gateway: usize, many: usize| gateway + many >= self.gateways;
        self.faults.partition.is_some_and(|(at, many)| {
            self.step >= at && is_in(gateway, many) != is_in(bucket_owner, many)
        })
    }

    /// Share of all gateways that an owner can reach.
    fn reachable_share(&self, bucket_owner: usize) -> f64 {
        match self.faults.partition {
            Some((at, many)) if self.step >= at + SHARE_TIMEOUT_STEPS => {
                let unreachable_share = many as f64 / self.gateways as f64;
                if bucket_owner + many >= self.gateways {
                    unreachable_share
                } else {
                    1.0 - unreachable_share
                }
            }
            _ => 1.0,
        }
    }

    fn falsely_suspects_owner(&self, gateway: usize) -> bool {
        self.faults.false_suspicion.is_some_and(|(from, to, many)| {
            (from..to).contains(&self.step) && gateway + many >= self.gateways
        })
    }

    fn is_dead(&self, gateway: usize) -> bool {
        gateway == 0 && self.faults.kill_owner.is_some_and(|(at, _)| self.step >= at)
    }

    fn role(&self, gateway: usize) -> BucketRole {
        let stopped = self.faults.stop_owner.is_some_and(|(at, _)| self.step >= at);
        let killed_at = self.faults.kill_owner.map(|(at, _)| at);
        let partitioned_at = self.faults.partition.filter(|(_, many)| many + 1 == self.gateways);
        let silent_since = killed_at.or(partitioned_at.map(|(at, _)| at));
        let silent = silent_since.is_some_and(|at| self.step >= at + STANDBY_AFTER_STEPS);
        match gateway {
            0 if !stopped => BucketRole::Owner,
            1 if self.owner_of[1] == 1 => BucketRole::Owner,
            1 if silent => BucketRole::Standby,
            _ => BucketRole::Other,
        }
    }

    fn send_datagram(&mut self, datagram: Datagram) {
        self.datagrams_sent += 1;
        let lost =
            self.faults.lose_one_in.is_some_and(|every| self.datagrams_sent.is_multiple_of(every));
        let (gateway, bucket_owner) = match datagram {
            Datagram::CreditRequest { gateway, bucket_owner, .. } => (gateway, bucket_owner),
            Datagram::CreditReply { gateway, .. } => (gateway, self.owner_of[gateway]),
        };
        if !lost && !self.is_partitioned(gateway, bucket_owner) {
            self.in_transit.push_back((self.step + self.faults.delay, datagram));
        }
    }

    fn deliver_datagrams(&mut self) {
        while self.in_transit.front().is_some_and(|(at, _)| *at <= self.step) {
            let Some((_, datagram)) = self.in_transit.pop_front() else { return };
            match datagram {
                Datagram::CreditRequest { gateway, bucket_owner, request } => {
                    let (share, now) = (self.reachable_share(bucket_owner), self.now());
                    if self.is_dead(bucket_owner) {
                        continue;
                    }
                    let role = self.role(bucket_owner);
                    let from = gateway as u64;
                    let reply = self.bucket_owners[bucket_owner].handle_request(
                        from,
                        request,
                        terms(share),
                        role,
                        now,
                    );
                    self.send_datagram(Datagram::CreditReply { gateway, request, reply });
                }
                Datagram::CreditReply { gateway, request, reply } => {
                    self.receive_reply(gateway, request, reply)
                }
            }
        }
    }

    fn receive_reply(&mut self, gateway: usize, request: CreditRequest, reply: CreditReply) {
        let now = self.now();
        let same = |pending: &PendingRequest| {
            pending.gateway == gateway && pending.request.number == request.number
        };
        let Some(position) = self.pending_requests.iter().position(same) else { return };
        let pending = self.pending_requests.swap_remove(position);
        self.local_credits[gateway].apply_reply(&request, Some(reply), now);
        if reply == CreditReply::NotOwner {
            self.fall_back(gateway, request, &pending);
        } else if self.local_credits[gateway].acquire(customer(), pending.cost, now)
            == Acquisition::Granted
        {
            self.granted += pending.cost;
        }
    }

    /// Asks the standby, or uses the even share if the standby has been asked already.
    fn fall_back(&mut self, gateway: usize, request: CreditRequest, pending: &PendingRequest) {
        if pending.bucket_owner != 0 || self.gateways == 1 {
            self.acquire_from_share(gateway, pending.cost);
            return;
        }
        let until = self.step + REPLY_TIMEOUT_STEPS;
        self.pending_requests.push(PendingRequest { bucket_owner: 1, until, ..*pending });
        self.send_datagram(Datagram::CreditRequest { gateway, bucket_owner: 1, request });
    }

    fn acquire_from_share(&mut self, gateway: usize, cost: f64) {
        let now = self.now();
        let share = self.local_credits[gateway].acquire_from_share(
            customer(),
            ALLOWANCE,
            cost,
            self.gateways,
            now,
        );
        if share == Acquisition::Granted {
            self.granted += cost;
        }
    }

    fn submit_request(&mut self, gateway: usize, cost: f64) {
        let now = self.now();
        self.local_credits[gateway].record_demand(customer(), cost, now);
        match self.local_credits[gateway].acquire(customer(), cost, now) {
            Acquisition::Granted => self.granted += cost,
            Acquisition::Refused(_) => {}
            Acquisition::RequestCredit(request) if self.falsely_suspects_owner(gateway) => {
                self.local_credits[gateway].apply_reply(&request, None, now);
                self.acquire_from_share(gateway, cost);
            }
            Acquisition::RequestCredit(request) => {
                let until = self.step + REPLY_TIMEOUT_STEPS;
                let bucket_owner = self.owner_of[gateway];
                self.pending_requests.push(PendingRequest {
                    gateway,
                    bucket_owner,
                    request,
                    cost,
                    until,
                });
                self.send_datagram(Datagram::CreditRequest { gateway, bucket_owner, request });
            }
        }
    }

    fn retransmit_requests(&mut self) {
        let repeated_requests: Vec<(usize, usize, CreditRequest)> = self
            .pending_requests
            .iter()
            .filter(|pending| {
                let waited = self.step + REPLY_TIMEOUT_STEPS - pending.until;
                waited > 0 && waited.is_multiple_of(RETRANSMIT_STEPS)
            })
            .map(|pending| (pending.gateway, pending.bucket_owner, pending.request))
            .collect();
        for (gateway, bucket_owner, request) in repeated_requests {
            self.send_datagram(Datagram::CreditRequest { gateway, bucket_owner, request });
        }
    }

    fn expire_pending(&mut self) {
        let (step, now) = (self.step, self.now());
        let expired: Vec<PendingRequest> =
            self.pending_requests.extract_if(.., |pending| pending.until <= step).collect();
        for pending in expired {
            self.local_credits[pending.gateway].apply_reply(&pending.request, None, now);
            self.fall_back(pending.gateway, pending.request, &pending);
        }
    }

    fn apply_faults(&mut self) {
        let now = self.now();
        if self.faults.replace_all == Some(self.step) {
            self.local_credits = (0..self.gateways).map(|_| LocalCredit::new(0, now)).collect();
            self.bucket_owners = (0..self.gateways).map(|_| BucketOwner::new(now)).collect();
            self.pending_requests.clear();
        }
        let alive = !self.is_dead(0) && self.role(0) == BucketRole::Owner;
        if self.gateways > 1 && alive && self.step.is_multiple_of(REPLICATION_STEPS) {
            let levels = self.bucket_owners[0].active_levels(now);
            self.bucket_owners[1].store_replicas(&levels, now);
        }
        if self.faults.stop_owner.is_some_and(|(at, _)| self.step == at) {
            let handed_over = self.bucket_owners[0].update_members(|_| BucketRole::Other, now);
            assert!(!handed_over.is_empty(), "the bucket was used recently");
            self.bucket_owners[1].accept_handover(&handed_over, now);
        }
        let partitioned_at = self.faults.partition.filter(|(_, many)| many + 1 == self.gateways);
        let taken_over = partitioned_at.map(|(at, _)| (at + PARTITION_NOTICED_STEPS, 1));
        let Some((at, known_after)) =
            self.faults.kill_owner.or(self.faults.stop_owner).or(taken_over)
        else {
            return;
        };
        for gateway in 0..self.gateways {
            if self.step == at + known_after * gateway / self.gateways {
                self.owner_of[gateway] = 1;
            }
        }
        if self.step == at + known_after / self.gateways {
            self.bucket_owners[1].update_members(|_| BucketRole::Owner, now);
        }
    }
}

/// Simulates gateways that together request `demand` units per second, in requests of `size` units.
/// Returns the units granted in each step.
fn simulate(gateways: usize, demand: f64, size: f64, faults: Faults) -> Vec<f64> {
    simulate_varying(gateways, |_| demand, size, faults)
}

/// The same with the demand at each step.
fn simulate_varying(
    gateways: usize,
    demand_at: impl Fn(usize) -> f64,
    size: f64,
    faults: Faults,
) -> Vec<f64> {
    let mut fleet = Fleet::new(gateways, faults);
    let stagger = |gateway| size * gateway as f64 / gateways as f64;
    let mut pending: Vec<f64> = (0..gateways).map(stagger).collect();
    let mut granted = Vec::new();
    for step in 0..STEPS {
        fleet.step = step;
        fleet.granted = 0.0;
        fleet.apply_faults();
        fleet.deliver_datagrams();
        fleet.expire_pending();
        fleet.retransmit_requests();
        for (gateway, pending) in pending.iter_mut().enumerate() {
            *pending += demand_at(step) / gateways as f64 * STEP.as_secs_f64();
            while *pending >= size {
                *pending -= size;
                fleet.submit_request(gateway, size);
            }
        }
        fleet.deliver_datagrams();
        granted.push(fleet.granted);
    }
    granted
}

fn max_in_a_window(granted: &[f64]) -> f64 {
    let steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
    granted.windows(steps).map(|window| window.iter().sum()).fold(0.0, f64::max)
}

/// Share of the allowance that is granted, from five seconds on.
fn granted_share(granted: &[f64]) -> f64 {
    let total: f64 = granted[500..].iter().sum();
    total / (ALLOWANCE.per_second * (granted.len() - 500) as f64 * STEP.as_secs_f64())
}

#[test]
fn no_window_exceeds_the_bound_at_any_demand() {
    for gateways in [1, 4, 6, 30] {
        for demand in [1.0, 2.0, 6.0, 20.0] {
            for size in [1_000.0, 5_000.0, 60_000.0] {
                let faults = Faults { delay: 1, ..Faults::default() };
                let granted = simulate(gateways, demand * ALLOWANCE.per_second, size, faults);
                let max_granted = max_in_a_window(&granted);
                let case = format!("{gateways} gateways, {demand} times, {size} each");
                assert!(max_granted <= bound(), "{case}: {max_granted} of {}", bound());
            }
        }
    }
}

#[test]
fn no_window_exceeds_the_bound_under_faults() {
    let faults = [
        Faults { delay: 2, lose_one_in: Some(7), ..Faults::default() },
        Faults { delay: 1, kill_owner: Some((1_200, 300)), ..Faults::default() },
        Faults { delay: 1, stop_owner: Some((1_200, 300)), ..Faults::default() },
        Faults { delay: 1, replace_all: Some(1_200), ..Faults::default() },
        Faults { delay: 1, partition: Some((1_200, 10)), ..Faults::default() },
        Faults { delay: 1, partition: Some((1_200, 29)), ..Faults::default() },
        Faults { delay: 1, false_suspicion: Some((1_200, 1_400, 15)), ..Faults::default() },
        Faults { delay: 15, ..Faults::default() },
    ];
    for faults in faults {
        for demand in [2.0, 8.0] {
            let granted = simulate(30, demand * ALLOWANCE.per_second, 5_000.0, faults);
            let max_granted = max_in_a_window(&granted);
            assert!(
                max_granted <= bound(),
                "{faults:?}, {demand} times: {max_granted} of {}",
                bound()
            );
        }
    }
}

/// Load pattern: a customer that was quiet, so that its bucket is full, sends many times its usual
/// just before or after the count of the window is lost.
#[test]
fn no_window_exceeds_the_bound_when_a_clump_meets_a_fault() {
    let faults = [
        Faults { delay: 1, kill_owner: Some((1_200, 300)), ..Faults::default() },
        Faults { delay: 1, stop_owner: Some((1_200, 300)), ..Faults::default() },
        Faults { delay: 1, replace_all: Some(1_200), ..Faults::default() },
        Faults { delay: 1, partition: Some((1_200, 10)), ..Faults::default() },
        Faults { delay: 1, partition: Some((1_200, 29)), ..Faults::default() },
        Faults { delay: 1, false_suspicion: Some((1_200, 1_400, 15)), ..Faults::default() },
    ];
    for faults in faults {
        for clump_start in [500, 900, 1_100, 1_180, 1_250] {
            let demand_at = |step| if step < clump_start { 0.1 } else { 6.0 };
            let granted = simulate_varying(
                30,
                |step| demand_at(step) * ALLOWANCE.per_second,
                5_000.0,
                faults,
            );
            let max_granted = max_in_a_window(&granted);
            let case = format!("{faults:?}, clump from step {clump_start}");
            assert!(max_granted <= bound(), "{case}: {max_granted} of {}", bound());
        }
    }
}

/// Load pattern: demand that clumps. The customer's mean is within its allowance, and each window
/// too, but single seconds need twice as much.
#[test]
fn a_clump_within_the_window_is_not_refused() {
    for gateways in [1, 6, 30] {
        let demand_at = |step| if step % 400 < 130 { 2.0 } else { 0.4 };
        let faults = Faults { delay: 1, ..Faults::default() };
        let granted = simulate_varying(
            gateways,
            |step| demand_at(step) * ALLOWANCE.per_second,
            5_000.0,
            faults,
        );
        let requested: f64 = (500..STEPS).map(demand_at).sum::<f64>() / (STEPS - 500) as f64;
        let share = granted_share(&granted);
        assert!(share >= 0.99 * requested, "{gateways} gateways: {share} of {requested}");
    }
}

/// In steady state, a window holds what the operators allow and nothing of their tolerance.
#[test]
fn excess_demand_gets_what_the_operators_allow_for_a_window() {
    let faults = Faults { delay: 1, ..Faults::default() };
    let granted = simulate(6, 3.0 * ALLOWANCE.per_second, 5_000.0, faults);
    let allowed = ALLOWANCE.per_second * WINDOW.as_secs_f64() + ALLOWANCE.burst;
    let max_granted = max_in_a_window(&granted[1_000..]);
    assert!(max_granted <= allowed * 1.02, "{max_granted} of {allowed}");
    assert!(granted_share(&granted) >= 1.05, "{}", granted_share(&granted));
}

#[test]
fn the_allowance_is_used_in_full_under_excess_demand() {
    for gateways in [1, 4, 6, 30] {
        for size in [5_000.0, 30_000.0] {
            let faults = Faults { delay: 1, ..Faults::default() };
            let granted = simulate(gateways, 2.0 * ALLOWANCE.per_second, size, faults);
            let share = granted_share(&granted);
            assert!(share >= 0.95, "{gateways} gateways, {size} each: {share}");
        }
    }
}

#[test]
fn a_customer_below_its_allowance_is_not_refused() {
    for gateways in [1, 4, 30] {
        let faults = Faults { delay: 1, ..Faults::default() };
        let demand = 0.8 * ALLOWANCE.per_second;
        let share = granted_share(&simulate(gateways, demand, 5_000.0, faults));
        assert!(share >= 0.99 * 0.8, "{gateways} gateways: {share}");
    }
}

#[test]
fn a_customer_below_its_allowance_is_served_through_the_loss_of_the_owner() {
    let faults = [
        Faults { delay: 1, kill_owner: Some((1_200, 300)), ..Faults::default() },
        Faults { delay: 1, stop_owner: Some((1_200, 300)), ..Faults::default() },
    ];
    for faults in faults {
        let granted = simulate(6, 0.8 * ALLOWANCE.per_second, 5_000.0, faults);
        let after: f64 = granted[1_200..1_500].iter().sum();
        let requested = 0.8 * ALLOWANCE.per_second * 3.0;
        assert!(after >= 0.9 * requested, "{faults:?}: {after} of {requested} in three seconds");
    }
}
