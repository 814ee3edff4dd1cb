//! A customer's allowance holds over all entries, and is used up.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gateway::allowance::{
    Acquisition, BucketOwner, BucketRole, BucketTerms, CreditReply, CreditRequest, CustomerId,
    LocalCredit, Tolerance, request_cost,
};
use gateway::model::{Allowance, AllowanceUnit, RequestMetadata};

const WINDOW: Duration = Duration::from_secs(8);
const TOLERANCE: Tolerance = Tolerance { window: WINDOW, slack: 140_000.0 };
const OVERSHOOT: f64 = 0.1;
const ALLOWANCE: Allowance = Allowance {
    unit: AllowanceUnit::Tokens { plain_tokens: 200 },
    per_second: 280_000.0,
    burst: 280_000.0,
};
const STEP: Duration = Duration::from_millis(10);
const STEPS: usize = 3_000;

/// Steps after which an entry asks again, and after which it gives up waiting for a keeper's answer.
const ASK_AGAIN: usize = 4;
const PATIENCE: usize = 12;

fn customer() -> CustomerId {
    CustomerId::of("seller")
}

fn terms(share: f64) -> BucketTerms {
    BucketTerms { allowance: ALLOWANCE, tolerance: TOLERANCE, share, gateway_count: 30 }
}

fn request_of(needed: f64) -> CreditRequest {
    CreditRequest { customer: customer(), number: 1, needed, prefetch: 0.0, unreported: 0.0 }
}

/// The operators' bound on any window.
fn bound() -> f64 {
    let base = ALLOWANCE.per_second * WINDOW.as_secs_f64() + ALLOWANCE.burst;
    base * (1.0 + OVERSHOOT) + TOLERANCE.slack
}

/// What happens to entries and the paths between them.
#[derive(Debug, Clone, Copy, Default)]
struct Troubles {
    /// Steps that a message takes.
    delay: usize,
    /// Every so many messages one is lost.
    lose_every: Option<usize>,
    /// The keeper's process dies at this step; the others know of it after the second number of
    /// steps.
    kill_owner: Option<(usize, usize)>,
    /// The keeper leaves in order at this step; the others know of it after the second number of
    /// steps.
    stop_owner: Option<(usize, usize)>,
    /// All processes are replaced at this step.
    replace_all: Option<usize>,
    /// From this step on so many entries can't reach the keeper; both sides notice after a while.
    cut: Option<(usize, usize)>,
    /// Between these steps so many entries take the keeper for silent, while it hears all.
    doubt: Option<(usize, usize, usize)>,
}

/// How long silence lasts before it is noticed, before it no longer counts for a keeper's share, and
/// before the next entry stands in for a keeper.
const NOTICED: usize = 170;
const NOT_COUNTED: usize = 100;
const STANDS_IN_AFTER: usize = 60;

/// Between copies of a keeper's buckets.
const COPIED_EVERY: usize = 25;

#[derive(Debug, Clone, Copy)]
enum Sent {
    CreditRequest { gateway: usize, bucket_owner: usize, request: CreditRequest },
    CreditReply { gateway: usize, request: CreditRequest, reply: CreditReply },
}

/// A request whose draw is not answered yet.
#[derive(Debug)]
struct Asking {
    gateway: usize,
    bucket_owner: usize,
    request: CreditRequest,
    cost: f64,
    until: usize,
}

struct Fleet {
    troubles: Troubles,
    gateways: usize,
    start: Instant,
    step: usize,
    local_credits: Vec<LocalCredit>,
    bucket_owners: Vec<BucketOwner>,
    /// The entry that each entry takes for the keeper.
    owner_of: Vec<usize>,
    under_way: VecDeque<(usize, Sent)>,
    sent: usize,
    asking: Vec<Asking>,
    granted: f64,
}

impl Fleet {
    fn new(gateways: usize, troubles: Troubles) -> Fleet {
        let start = Instant::now();
        Fleet {
            troubles,
            gateways,
            start,
            step: 0,
            local_credits: (0..gateways).map(|_| LocalCredit::new(start)).collect(),
            bucket_owners: (0..gateways).map(|_| BucketOwner::new(start)).collect(),
            owner_of: vec![0; gateways],
            under_way: VecDeque::new(),
            sent: 0,
            asking: Vec::new(),
            granted: 0.0,
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    fn is_cut(&self, gateway: usize, bucket_owner: usize) -> bool {
        let is_in = |gateway: usize, many: usize| gateway + many >= self.gateways;
        self.troubles.cut.is_some_and(|(at, many)| {
            self.step >= at && is_in(gateway, many) != is_in(bucket_owner, many)
        })
    }

    /// The part of all entries that a keeper hears.
    fn reachable_share(&self, bucket_owner: usize) -> f64 {
        match self.troubles.cut {
            Some((at, many)) if self.step >= at + NOT_COUNTED => {
                let far = many as f64 / self.gateways as f64;
                if bucket_owner + many >= self.gateways { far } else { 1.0 - far }
            }
            _ => 1.0,
        }
    }

    fn doubts(&self, gateway: usize) -> bool {
        self.troubles.doubt.is_some_and(|(from, to, many)| {
            (from..to).contains(&self.step) && gateway + many >= self.gateways
        })
    }

    fn is_dead(&self, gateway: usize) -> bool {
        gateway == 0 && self.troubles.kill_owner.is_some_and(|(at, _)| self.step >= at)
    }

    fn role(&self, gateway: usize) -> BucketRole {
        let left = self.troubles.stop_owner.is_some_and(|(at, _)| self.step >= at);
        let killed_at = self.troubles.kill_owner.map(|(at, _)| at);
        let cut_at = self.troubles.cut.filter(|(_, many)| many + 1 == self.gateways);
        let silent_at = killed_at.or(cut_at.map(|(at, _)| at));
        let silent = silent_at.is_some_and(|at| self.step >= at + STANDS_IN_AFTER);
        match gateway {
            0 if !left => BucketRole::Owner,
            1 if self.owner_of[1] == 1 => BucketRole::Owner,
            1 if silent => BucketRole::Standby,
            _ => BucketRole::Other,
        }
    }

    fn send(&mut self, sent: Sent) {
        self.sent += 1;
        let lost = self.troubles.lose_every.is_some_and(|every| self.sent.is_multiple_of(every));
        let (gateway, bucket_owner) = match sent {
            Sent::CreditRequest { gateway, bucket_owner, .. } => (gateway, bucket_owner),
            Sent::CreditReply { gateway, .. } => (gateway, self.owner_of[gateway]),
        };
        if !lost && !self.is_cut(gateway, bucket_owner) {
            self.under_way.push_back((self.step + self.troubles.delay, sent));
        }
    }

    fn deliver(&mut self) {
        while self.under_way.front().is_some_and(|(at, _)| *at <= self.step) {
            let Some((_, sent)) = self.under_way.pop_front() else { return };
            match sent {
                Sent::CreditRequest { gateway, bucket_owner, request } => {
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
                    self.send(Sent::CreditReply { gateway, request, reply });
                }
                Sent::CreditReply { gateway, request, reply } => {
                    self.receive_reply(gateway, request, reply)
                }
            }
        }
    }

    fn receive_reply(&mut self, gateway: usize, request: CreditRequest, reply: CreditReply) {
        let now = self.now();
        let same =
            |asking: &Asking| asking.gateway == gateway && asking.request.number == request.number;
        let Some(position) = self.asking.iter().position(same) else { return };
        let asked = self.asking.swap_remove(position);
        self.local_credits[gateway].apply_reply(&request, Some(reply), now);
        if reply == CreditReply::NotOwner {
            self.pass_on(gateway, request, &asked);
        } else if self.local_credits[gateway].acquire(customer(), asked.cost, now)
            == Acquisition::Granted
        {
            self.granted += asked.cost;
        }
    }

    /// Asks the one that stands in for the keeper, or goes by the even share.
    fn pass_on(&mut self, gateway: usize, request: CreditRequest, asked: &Asking) {
        if asked.bucket_owner != 0 || self.gateways == 1 {
            self.acquire_from_share(gateway, asked.cost);
            return;
        }
        let until = self.step + PATIENCE;
        self.asking.push(Asking { bucket_owner: 1, until, ..*asked });
        self.send(Sent::CreditRequest { gateway, bucket_owner: 1, request });
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

    fn ask(&mut self, gateway: usize, cost: f64) {
        let now = self.now();
        self.local_credits[gateway].record_demand(customer(), cost, now);
        match self.local_credits[gateway].acquire(customer(), cost, now) {
            Acquisition::Granted => self.granted += cost,
            Acquisition::Refused(_) => {}
            Acquisition::RequestCredit(request) if self.doubts(gateway) => {
                self.local_credits[gateway].apply_reply(&request, None, now);
                self.acquire_from_share(gateway, cost);
            }
            Acquisition::RequestCredit(request) => {
                let until = self.step + PATIENCE;
                let bucket_owner = self.owner_of[gateway];
                self.asking.push(Asking { gateway, bucket_owner, request, cost, until });
                self.send(Sent::CreditRequest { gateway, bucket_owner, request });
            }
        }
    }

    fn ask_again(&mut self) {
        let again: Vec<(usize, usize, CreditRequest)> = self
            .asking
            .iter()
            .filter(|asked| {
                let waited = self.step + PATIENCE - asked.until;
                waited > 0 && waited.is_multiple_of(ASK_AGAIN)
            })
            .map(|asked| (asked.gateway, asked.bucket_owner, asked.request))
            .collect();
        for (gateway, bucket_owner, request) in again {
            self.send(Sent::CreditRequest { gateway, bucket_owner, request });
        }
    }

    fn give_up(&mut self) {
        let (step, now) = (self.step, self.now());
        let given_up: Vec<Asking> =
            self.asking.extract_if(.., |asked| asked.until <= step).collect();
        for asked in given_up {
            self.local_credits[asked.gateway].apply_reply(&asked.request, None, now);
            self.pass_on(asked.gateway, asked.request, &asked);
        }
    }

    fn trouble(&mut self) {
        let now = self.now();
        if self.troubles.replace_all == Some(self.step) {
            self.local_credits = (0..self.gateways).map(|_| LocalCredit::new(now)).collect();
            self.bucket_owners = (0..self.gateways).map(|_| BucketOwner::new(now)).collect();
            self.asking.clear();
        }
        let alive = !self.is_dead(0) && self.role(0) == BucketRole::Owner;
        if self.gateways > 1 && alive && self.step.is_multiple_of(COPIED_EVERY) {
            let levels = self.bucket_owners[0].active_levels(now);
            self.bucket_owners[1].store_replicas(&levels, now);
        }
        if self.troubles.stop_owner.is_some_and(|(at, _)| self.step == at) {
            let handed_over = self.bucket_owners[0].update_members(|_| BucketRole::Other, now);
            assert!(!handed_over.is_empty(), "its bucket was drawn on");
            self.bucket_owners[1].accept_handover(&handed_over, now);
        }
        let cut_at = self.troubles.cut.filter(|(_, many)| many + 1 == self.gateways);
        let taken_over = cut_at.map(|(at, _)| (at + NOTICED, 1));
        let Some((at, known_after)) =
            self.troubles.kill_owner.or(self.troubles.stop_owner).or(taken_over)
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

/// Units granted in each step, where every entry asks for `demand` units a second in requests of
/// `size`.
fn play(gateways: usize, demand: f64, size: f64, troubles: Troubles) -> Vec<f64> {
    let mut fleet = Fleet::new(gateways, troubles);
    let stagger = |gateway| size * gateway as f64 / gateways as f64;
    let mut pending: Vec<f64> = (0..gateways).map(stagger).collect();
    let mut granted = Vec::new();
    for step in 0..STEPS {
        fleet.step = step;
        fleet.granted = 0.0;
        fleet.trouble();
        fleet.deliver();
        fleet.give_up();
        fleet.ask_again();
        for (gateway, pending) in pending.iter_mut().enumerate() {
            *pending += demand / gateways as f64 * STEP.as_secs_f64();
            while *pending >= size {
                *pending -= size;
                fleet.ask(gateway, size);
            }
        }
        fleet.deliver();
        granted.push(fleet.granted);
    }
    granted
}

fn most_in_a_window(granted: &[f64]) -> f64 {
    let steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
    granted.windows(steps).map(|window| window.iter().sum()).fold(0.0, f64::max)
}

/// What is granted of the allowance, from five seconds on.
fn used_share(granted: &[f64]) -> f64 {
    let total: f64 = granted[500..].iter().sum();
    total / (ALLOWANCE.per_second * (granted.len() - 500) as f64 * STEP.as_secs_f64())
}

#[test]
fn no_window_exceeds_the_bound_whatever_is_asked() {
    for gateways in [1, 4, 6, 30] {
        for demand in [1.0, 2.0, 6.0, 20.0] {
            for size in [1_000.0, 5_000.0, 60_000.0] {
                let troubles = Troubles { delay: 1, ..Troubles::default() };
                let granted = play(gateways, demand * ALLOWANCE.per_second, size, troubles);
                let most = most_in_a_window(&granted);
                let what = format!("{gateways} entries, {demand} times, {size} each");
                assert!(most <= bound(), "{what}: {most} of {}", bound());
            }
        }
    }
}

#[test]
fn no_window_exceeds_the_bound_whatever_happens() {
    let troubles = [
        Troubles { delay: 2, lose_every: Some(7), ..Troubles::default() },
        Troubles { delay: 1, kill_owner: Some((1_200, 300)), ..Troubles::default() },
        Troubles { delay: 1, stop_owner: Some((1_200, 300)), ..Troubles::default() },
        Troubles { delay: 1, replace_all: Some(1_200), ..Troubles::default() },
        Troubles { delay: 1, cut: Some((1_200, 10)), ..Troubles::default() },
        Troubles { delay: 1, cut: Some((1_200, 29)), ..Troubles::default() },
        Troubles { delay: 1, doubt: Some((1_200, 1_400, 15)), ..Troubles::default() },
        Troubles { delay: 15, ..Troubles::default() },
    ];
    for troubles in troubles {
        for demand in [2.0, 8.0] {
            let granted = play(30, demand * ALLOWANCE.per_second, 5_000.0, troubles);
            let most = most_in_a_window(&granted);
            assert!(most <= bound(), "{troubles:?}, {demand} times: {most} of {}", bound());
        }
    }
}

#[test]
fn what_is_allowed_is_granted_in_a_shortage() {
    for gateways in [1, 4, 6, 30] {
        for size in [5_000.0, 30_000.0] {
            let troubles = Troubles { delay: 1, ..Troubles::default() };
            let granted = play(gateways, 2.0 * ALLOWANCE.per_second, size, troubles);
            let share = used_share(&granted);
            assert!(share >= 0.95, "{gateways} entries, {size} each: {share}");
        }
    }
}

#[test]
fn below_its_allowance_a_customer_is_not_refused() {
    for gateways in [1, 4, 30] {
        let troubles = Troubles { delay: 1, ..Troubles::default() };
        let demand = 0.8 * ALLOWANCE.per_second;
        let share = used_share(&play(gateways, demand, 5_000.0, troubles));
        assert!(share >= 0.99 * 0.8, "{gateways} entries: {share}");
    }
}

#[test]
fn a_customer_below_its_allowance_hardly_notices_that_its_keeper_is_gone() {
    let troubles = [
        Troubles { delay: 1, kill_owner: Some((1_200, 300)), ..Troubles::default() },
        Troubles { delay: 1, stop_owner: Some((1_200, 300)), ..Troubles::default() },
    ];
    for troubles in troubles {
        let granted = play(6, 0.8 * ALLOWANCE.per_second, 5_000.0, troubles);
        let after: f64 = granted[1_200..1_500].iter().sum();
        let asked = 0.8 * ALLOWANCE.per_second * 3.0;
        assert!(after >= 0.9 * asked, "{troubles:?}: {after} of {asked} in three seconds");
    }
}

#[test]
fn only_the_keeper_grants_while_it_is_heard() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let request = CreditRequest {
        customer: customer(),
        number: 1,
        needed: 100.0,
        prefetch: 0.0,
        unreported: 0.0,
    };
    let mut bucket_owner = BucketOwner::new(start);
    assert_eq!(
        bucket_owner.handle_request(1, request, terms(1.0), BucketRole::Owner, now),
        CreditReply::Granted(request.needed)
    );
    let mut next = BucketOwner::new(start);
    next.store_replicas(&bucket_owner.active_levels(now), now);
    let ask = |next: &mut BucketOwner, number, role| {
        next.handle_request(1, CreditRequest { number, ..request }, terms(1.0), role, now)
    };
    assert_eq!(ask(&mut next, 2, BucketRole::Other), CreditReply::NotOwner);
    assert_eq!(ask(&mut next, 3, BucketRole::Standby), CreditReply::Granted(request.needed));
    let mut without_copy = BucketOwner::new(start);
    assert_eq!(ask(&mut without_copy, 4, BucketRole::Standby), CreditReply::NotOwner);
    let handed_over = bucket_owner.update_members(|_| BucketRole::Other, now);
    without_copy.accept_handover(&handed_over, now);
    assert_eq!(ask(&mut without_copy, 5, BucketRole::Other), CreditReply::Granted(request.needed));
}

#[test]
fn what_another_entry_remembers_does_not_fill_a_keepers_bucket() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let full = CreditRequest {
        customer: customer(),
        number: 1,
        needed: ALLOWANCE.burst,
        prefetch: 0.0,
        unreported: 0.0,
    };
    let mut bucket_owner = BucketOwner::new(start);
    let mut other = BucketOwner::new(start);
    let small = CreditRequest { needed: 1.0, ..full };
    other.handle_request(1, small, terms(1.0), BucketRole::Owner, now);
    let remembered = other.active_levels(now);
    assert_eq!(
        bucket_owner.handle_request(1, full, terms(1.0), BucketRole::Owner, now),
        CreditReply::Granted(ALLOWANCE.burst)
    );
    bucket_owner.store_replicas(&remembered, now);
    bucket_owner.accept_handover(&remembered, now);
    let again = CreditRequest { number: 2, ..full };
    let reply = bucket_owner.handle_request(1, again, terms(1.0), BucketRole::Owner, now);
    assert!(matches!(reply, CreditReply::Exhausted(_)), "{reply:?}");
}

#[test]
fn a_bucket_that_another_entry_has_kept_meanwhile_is_not_refilled() {
    let start = Instant::now();
    let mut bucket_owner = BucketOwner::new(start);
    let now = start + Duration::from_secs(5);
    let granted = bucket_owner.handle_request(
        1,
        request_of(ALLOWANCE.burst),
        terms(1.0),
        BucketRole::Owner,
        now,
    );
    assert_eq!(granted, CreditReply::Granted(ALLOWANCE.burst));
    bucket_owner.update_members(|_| BucketRole::Other, now);
    let back = now + Duration::from_secs(3);
    bucket_owner.update_members(|_| BucketRole::Owner, back);
    let again = CreditRequest { number: 2, ..request_of(ALLOWANCE.burst * 0.9) };
    let reply = bucket_owner.handle_request(1, again, terms(1.0), BucketRole::Owner, back);
    assert_eq!(reply, CreditReply::NotOwner, "the entry before may still grant");
    let later = back + Duration::from_secs(1);
    let reply = bucket_owner.handle_request(
        1,
        CreditRequest { number: 3, ..again },
        terms(1.0),
        BucketRole::Owner,
        later,
    );
    assert!(matches!(reply, CreditReply::Exhausted(_)), "{reply:?}");
}

#[test]
fn a_keeper_that_has_just_started_counts_what_was_regained_while_it_waited() {
    let start = Instant::now();
    let mut bucket_owner = BucketOwner::new(start);
    let known = start + Duration::from_millis(200);
    bucket_owner.update_members(|_| BucketRole::Owner, known);
    let half = request_of(ALLOWANCE.per_second * 0.5);
    let early = known + Duration::from_millis(500);
    let reply = bucket_owner.handle_request(1, half, terms(1.0), BucketRole::Owner, early);
    assert_eq!(reply, CreditReply::NotOwner);
    let now = known + Duration::from_millis(600);
    let told =
        CreditRequest { number: 2, needed: 0.0, unreported: ALLOWANCE.per_second / 60.0, ..half };
    bucket_owner.handle_request(2, told, terms(1.0), BucketRole::Owner, now);
    let reply = bucket_owner.handle_request(
        1,
        CreditRequest { number: 3, ..half },
        terms(1.0),
        BucketRole::Owner,
        now,
    );
    assert_eq!(reply, CreditReply::Granted(half.needed));
    let left = bucket_owner.active_levels(now)[0].units / ALLOWANCE.per_second;
    assert!((0.08..0.14).contains(&left), "{left} s of the allowance");
}

#[test]
fn who_stands_in_grants_of_the_copy_at_half_the_pace() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let mut bucket_owner = BucketOwner::new(start);
    bucket_owner.handle_request(1, request_of(ALLOWANCE.burst), terms(1.0), BucketRole::Owner, now);
    let mut next = BucketOwner::new(start);
    next.store_replicas(&bucket_owner.active_levels(now), now);
    let mut ask = |number, seconds| {
        let request = CreditRequest { number, ..request_of(ALLOWANCE.per_second * 0.4) };
        next.handle_request(
            1,
            request,
            terms(1.0),
            BucketRole::Standby,
            now + Duration::from_secs_f64(seconds),
        )
    };
    assert!(matches!(ask(2, 0.6), CreditReply::Exhausted(_)), "nothing for the time before");
    assert!(matches!(ask(3, 1.1), CreditReply::Exhausted(_)), "a quarter of a second's worth");
    assert!(matches!(ask(4, 1.5), CreditReply::Granted(_)));
    let mut late = BucketOwner::new(start);
    late.store_replicas(&bucket_owner.active_levels(now), now);
    let later = now + Duration::from_secs(3);
    let reply = late.handle_request(1, request_of(1.0), terms(1.0), BucketRole::Standby, later);
    assert_eq!(reply, CreditReply::NotOwner, "its copy is old");
}

#[test]
fn what_entries_granted_beside_the_keeper_is_counted_afterwards() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let mut local_credit = LocalCredit::new(start);
    let cost = ALLOWANCE.per_second / 30.0 / 2.0;
    assert_eq!(
        local_credit.acquire_from_share(customer(), ALLOWANCE, cost, 30, now),
        Acquisition::Granted
    );
    let Acquisition::RequestCredit(unheard) = local_credit.acquire(customer(), cost, now) else {
        panic!("there is no credit");
    };
    assert_eq!(unheard.unreported, cost);
    local_credit.apply_reply(&unheard, None, now);
    let Acquisition::RequestCredit(heard) = local_credit.acquire(customer(), cost, now) else {
        panic!("there is no credit");
    };
    assert_eq!(heard.unreported, cost, "told again, as nobody heard it");
    let mut bucket_owner = BucketOwner::new(start);
    bucket_owner.handle_request(2, request_of(0.0), terms(1.0), BucketRole::Owner, now);
    let before = bucket_owner.active_levels(now)[0].units;
    let later = now + Duration::from_millis(1);
    bucket_owner.handle_request(
        1,
        CreditRequest { needed: 0.0, ..heard },
        terms(0.0),
        BucketRole::Owner,
        later,
    );
    let counted = before - bucket_owner.active_levels(later)[0].units;
    assert!((counted - cost).abs() < 0.001, "{counted} of {cost}");
    local_credit.apply_reply(&heard, Some(CreditReply::Granted(0.0)), later);
    let Acquisition::RequestCredit(next) = local_credit.acquire(customer(), cost, later) else {
        panic!("there is no credit");
    };
    assert_eq!(next.unreported, 0.0);
}

#[test]
fn a_question_that_comes_again_gets_the_same_answer() {
    let start = Instant::now();
    let mut bucket_owner = BucketOwner::new(start);
    let now = start + Duration::from_secs(5);
    let request = CreditRequest {
        customer: customer(),
        number: 1,
        needed: ALLOWANCE.burst,
        prefetch: 0.0,
        unreported: 0.0,
    };
    let mut ask = |number| {
        let request = CreditRequest { number, ..request };
        bucket_owner.handle_request(1, request, terms(1.0), BucketRole::Owner, now)
    };
    assert_eq!(ask(1), CreditReply::Granted(ALLOWANCE.burst));
    assert_eq!(ask(1), CreditReply::Granted(ALLOWANCE.burst));
    assert!(matches!(ask(2), CreditReply::Exhausted(_)));
}

#[test]
fn credit_is_not_granted_long_after_it_was_drawn() {
    let now = Instant::now();
    let mut local_credit = LocalCredit::new(now);
    local_credit.apply_reply(&request_of(0.0), Some(CreditReply::Granted(9_000.0)), now);
    assert_eq!(local_credit.acquire(customer(), 5_000.0, now), Acquisition::Granted);
    let later = now + Duration::from_millis(1_100);
    assert!(matches!(
        local_credit.acquire(customer(), 3_000.0, later),
        Acquisition::RequestCredit(_)
    ));
}

#[test]
fn what_is_given_back_can_be_granted_again() {
    let now = Instant::now();
    let mut local_credit = LocalCredit::new(now);
    local_credit.apply_reply(&request_of(0.0), Some(CreditReply::Granted(5_000.0)), now);
    assert_eq!(local_credit.acquire(customer(), 5_000.0, now), Acquisition::Granted);
    assert!(matches!(
        local_credit.acquire(customer(), 5_000.0, now),
        Acquisition::RequestCredit(_)
    ));
    local_credit.refund(customer(), 5_000.0, now);
    assert_eq!(local_credit.acquire(customer(), 5_000.0, now), Acquisition::Granted);
}

#[test]
fn a_request_costs_its_tokens_or_the_plain_ones() {
    let tokens = AllowanceUnit::Tokens { plain_tokens: 200 };
    let model = RequestMetadata {
        prompt_tokens: Some(1_460),
        max_output_tokens: 80,
        ..RequestMetadata::default()
    };
    assert_eq!(request_cost(tokens, &model), 1_540.0);
    assert_eq!(request_cost(tokens, &RequestMetadata::default()), 200.0);
    assert_eq!(request_cost(AllowanceUnit::Requests, &model), 1.0);
}
