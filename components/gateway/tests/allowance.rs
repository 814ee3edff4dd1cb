//! A customer's allowance holds over all entries, and is used up.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gateway::allowance::{
    Credit, CustomerId, Draw, Keeper, Purse, Standing, Take, Terms, Tolerance, cost,
};
use gateway::model::{Allowance, AllowanceUnit, RequestFacts};

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

fn terms(share: f64) -> Terms {
    Terms { allowance: ALLOWANCE, tolerance: TOLERANCE, share, entries: 30 }
}

fn draw_of(needed: f64) -> Draw {
    Draw { customer: customer(), number: 1, needed, wanted: 0.0, owed: 0.0 }
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
    kill_keeper: Option<(usize, usize)>,
    /// The keeper leaves in order at this step; the others know of it after the second number of
    /// steps.
    stop_keeper: Option<(usize, usize)>,
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
    Draw { entry: usize, keeper: usize, draw: Draw },
    Credit { entry: usize, draw: Draw, credit: Credit },
}

/// A request whose draw is not answered yet.
#[derive(Debug)]
struct Asking {
    entry: usize,
    keeper: usize,
    draw: Draw,
    cost: f64,
    until: usize,
}

struct Fleet {
    troubles: Troubles,
    entries: usize,
    start: Instant,
    step: usize,
    purses: Vec<Purse>,
    keepers: Vec<Keeper>,
    /// The entry that each entry takes for the keeper.
    keeper_of: Vec<usize>,
    under_way: VecDeque<(usize, Sent)>,
    sent: usize,
    asking: Vec<Asking>,
    granted: f64,
}

impl Fleet {
    fn new(entries: usize, troubles: Troubles) -> Fleet {
        let start = Instant::now();
        Fleet {
            troubles,
            entries,
            start,
            step: 0,
            purses: (0..entries).map(|_| Purse::new(start)).collect(),
            keepers: (0..entries).map(|_| Keeper::new(start)).collect(),
            keeper_of: vec![0; entries],
            under_way: VecDeque::new(),
            sent: 0,
            asking: Vec::new(),
            granted: 0.0,
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    fn is_cut(&self, entry: usize, keeper: usize) -> bool {
        let is_in = |entry: usize, many: usize| entry + many >= self.entries;
        self.troubles
            .cut
            .is_some_and(|(at, many)| self.step >= at && is_in(entry, many) != is_in(keeper, many))
    }

    /// The part of all entries that a keeper hears.
    fn heard_share(&self, keeper: usize) -> f64 {
        match self.troubles.cut {
            Some((at, many)) if self.step >= at + NOT_COUNTED => {
                let far = many as f64 / self.entries as f64;
                if keeper + many >= self.entries { far } else { 1.0 - far }
            }
            _ => 1.0,
        }
    }

    fn doubts(&self, entry: usize) -> bool {
        self.troubles.doubt.is_some_and(|(from, to, many)| {
            (from..to).contains(&self.step) && entry + many >= self.entries
        })
    }

    fn is_dead(&self, entry: usize) -> bool {
        entry == 0 && self.troubles.kill_keeper.is_some_and(|(at, _)| self.step >= at)
    }

    fn standing(&self, entry: usize) -> Standing {
        let left = self.troubles.stop_keeper.is_some_and(|(at, _)| self.step >= at);
        let killed_at = self.troubles.kill_keeper.map(|(at, _)| at);
        let cut_at = self.troubles.cut.filter(|(_, many)| many + 1 == self.entries);
        let silent_at = killed_at.or(cut_at.map(|(at, _)| at));
        let silent = silent_at.is_some_and(|at| self.step >= at + STANDS_IN_AFTER);
        match entry {
            0 if !left => Standing::Keeper,
            1 if self.keeper_of[1] == 1 => Standing::Keeper,
            1 if silent => Standing::StandIn,
            _ => Standing::Other,
        }
    }

    fn send(&mut self, sent: Sent) {
        self.sent += 1;
        let lost = self.troubles.lose_every.is_some_and(|every| self.sent.is_multiple_of(every));
        let (entry, keeper) = match sent {
            Sent::Draw { entry, keeper, .. } => (entry, keeper),
            Sent::Credit { entry, .. } => (entry, self.keeper_of[entry]),
        };
        if !lost && !self.is_cut(entry, keeper) {
            self.under_way.push_back((self.step + self.troubles.delay, sent));
        }
    }

    fn deliver(&mut self) {
        while self.under_way.front().is_some_and(|(at, _)| *at <= self.step) {
            let Some((_, sent)) = self.under_way.pop_front() else { return };
            match sent {
                Sent::Draw { entry, keeper, draw } => {
                    let (share, now) = (self.heard_share(keeper), self.now());
                    if self.is_dead(keeper) {
                        continue;
                    }
                    let standing = self.standing(keeper);
                    let from = entry as u64;
                    let credit = self.keepers[keeper].draw(from, draw, terms(share), standing, now);
                    self.send(Sent::Credit { entry, draw, credit });
                }
                Sent::Credit { entry, draw, credit } => self.hear(entry, draw, credit),
            }
        }
    }

    fn hear(&mut self, entry: usize, draw: Draw, credit: Credit) {
        let now = self.now();
        let same = |asking: &Asking| asking.entry == entry && asking.draw.number == draw.number;
        let Some(position) = self.asking.iter().position(same) else { return };
        let asked = self.asking.swap_remove(position);
        self.purses[entry].hear(&draw, Some(credit), now);
        if credit == Credit::NotHere {
            self.pass_on(entry, draw, &asked);
        } else if self.purses[entry].take(customer(), asked.cost, now) == Take::Granted {
            self.granted += asked.cost;
        }
    }

    /// Asks the one that stands in for the keeper, or goes by the even share.
    fn pass_on(&mut self, entry: usize, draw: Draw, asked: &Asking) {
        if asked.keeper != 0 || self.entries == 1 {
            self.take_share(entry, asked.cost);
            return;
        }
        let until = self.step + PATIENCE;
        self.asking.push(Asking { keeper: 1, until, ..*asked });
        self.send(Sent::Draw { entry, keeper: 1, draw });
    }

    fn take_share(&mut self, entry: usize, cost: f64) {
        let now = self.now();
        let share = self.purses[entry].take_share(customer(), ALLOWANCE, cost, self.entries, now);
        if share == Take::Granted {
            self.granted += cost;
        }
    }

    fn ask(&mut self, entry: usize, cost: f64) {
        let now = self.now();
        self.purses[entry].note_demand(customer(), cost, now);
        match self.purses[entry].take(customer(), cost, now) {
            Take::Granted => self.granted += cost,
            Take::Refused(_) => {}
            Take::Ask(draw) if self.doubts(entry) => {
                self.purses[entry].hear(&draw, None, now);
                self.take_share(entry, cost);
            }
            Take::Ask(draw) => {
                let until = self.step + PATIENCE;
                let keeper = self.keeper_of[entry];
                self.asking.push(Asking { entry, keeper, draw, cost, until });
                self.send(Sent::Draw { entry, keeper, draw });
            }
        }
    }

    fn ask_again(&mut self) {
        let again: Vec<(usize, usize, Draw)> = self
            .asking
            .iter()
            .filter(|asked| {
                let waited = self.step + PATIENCE - asked.until;
                waited > 0 && waited.is_multiple_of(ASK_AGAIN)
            })
            .map(|asked| (asked.entry, asked.keeper, asked.draw))
            .collect();
        for (entry, keeper, draw) in again {
            self.send(Sent::Draw { entry, keeper, draw });
        }
    }

    fn give_up(&mut self) {
        let (step, now) = (self.step, self.now());
        let given_up: Vec<Asking> =
            self.asking.extract_if(.., |asked| asked.until <= step).collect();
        for asked in given_up {
            self.purses[asked.entry].hear(&asked.draw, None, now);
            self.pass_on(asked.entry, asked.draw, &asked);
        }
    }

    fn trouble(&mut self) {
        let now = self.now();
        if self.troubles.replace_all == Some(self.step) {
            self.purses = (0..self.entries).map(|_| Purse::new(now)).collect();
            self.keepers = (0..self.entries).map(|_| Keeper::new(now)).collect();
            self.asking.clear();
        }
        let alive = !self.is_dead(0) && self.standing(0) == Standing::Keeper;
        if self.entries > 1 && alive && self.step.is_multiple_of(COPIED_EVERY) {
            let levels = self.keepers[0].levels(now);
            self.keepers[1].copy(&levels, now);
        }
        if self.troubles.stop_keeper.is_some_and(|(at, _)| self.step == at) {
            let handed_over = self.keepers[0].change_members(|_| Standing::Other, now);
            assert!(!handed_over.is_empty(), "its bucket was drawn on");
            self.keepers[1].take_over(&handed_over, now);
        }
        let cut_at = self.troubles.cut.filter(|(_, many)| many + 1 == self.entries);
        let taken_over = cut_at.map(|(at, _)| (at + NOTICED, 1));
        let Some((at, known_after)) =
            self.troubles.kill_keeper.or(self.troubles.stop_keeper).or(taken_over)
        else {
            return;
        };
        for entry in 0..self.entries {
            if self.step == at + known_after * entry / self.entries {
                self.keeper_of[entry] = 1;
            }
        }
        if self.step == at + known_after / self.entries {
            self.keepers[1].change_members(|_| Standing::Keeper, now);
        }
    }
}

/// Units granted in each step, where every entry asks for `demand` units a second in requests of
/// `size`.
fn play(entries: usize, demand: f64, size: f64, troubles: Troubles) -> Vec<f64> {
    let mut fleet = Fleet::new(entries, troubles);
    let stagger = |entry| size * entry as f64 / entries as f64;
    let mut wanted: Vec<f64> = (0..entries).map(stagger).collect();
    let mut granted = Vec::new();
    for step in 0..STEPS {
        fleet.step = step;
        fleet.granted = 0.0;
        fleet.trouble();
        fleet.deliver();
        fleet.give_up();
        fleet.ask_again();
        for (entry, wanted) in wanted.iter_mut().enumerate() {
            *wanted += demand / entries as f64 * STEP.as_secs_f64();
            while *wanted >= size {
                *wanted -= size;
                fleet.ask(entry, size);
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
    for entries in [1, 4, 6, 30] {
        for demand in [1.0, 2.0, 6.0, 20.0] {
            for size in [1_000.0, 5_000.0, 60_000.0] {
                let troubles = Troubles { delay: 1, ..Troubles::default() };
                let granted = play(entries, demand * ALLOWANCE.per_second, size, troubles);
                let most = most_in_a_window(&granted);
                let what = format!("{entries} entries, {demand} times, {size} each");
                assert!(most <= bound(), "{what}: {most} of {}", bound());
            }
        }
    }
}

#[test]
fn no_window_exceeds_the_bound_whatever_happens() {
    let troubles = [
        Troubles { delay: 2, lose_every: Some(7), ..Troubles::default() },
        Troubles { delay: 1, kill_keeper: Some((1_200, 300)), ..Troubles::default() },
        Troubles { delay: 1, stop_keeper: Some((1_200, 300)), ..Troubles::default() },
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
    for entries in [1, 4, 6, 30] {
        for size in [5_000.0, 30_000.0] {
            let troubles = Troubles { delay: 1, ..Troubles::default() };
            let granted = play(entries, 2.0 * ALLOWANCE.per_second, size, troubles);
            let share = used_share(&granted);
            assert!(share >= 0.95, "{entries} entries, {size} each: {share}");
        }
    }
}

#[test]
fn below_its_allowance_a_customer_is_not_refused() {
    for entries in [1, 4, 30] {
        let troubles = Troubles { delay: 1, ..Troubles::default() };
        let demand = 0.8 * ALLOWANCE.per_second;
        let share = used_share(&play(entries, demand, 5_000.0, troubles));
        assert!(share >= 0.99 * 0.8, "{entries} entries: {share}");
    }
}

#[test]
fn a_customer_below_its_allowance_hardly_notices_that_its_keeper_is_gone() {
    let troubles = [
        Troubles { delay: 1, kill_keeper: Some((1_200, 300)), ..Troubles::default() },
        Troubles { delay: 1, stop_keeper: Some((1_200, 300)), ..Troubles::default() },
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
    let draw = Draw { customer: customer(), number: 1, needed: 100.0, wanted: 0.0, owed: 0.0 };
    let mut keeper = Keeper::new(start);
    assert_eq!(
        keeper.draw(1, draw, terms(1.0), Standing::Keeper, now),
        Credit::Granted(draw.needed)
    );
    let mut next = Keeper::new(start);
    next.copy(&keeper.levels(now), now);
    let ask = |next: &mut Keeper, number, standing| {
        next.draw(1, Draw { number, ..draw }, terms(1.0), standing, now)
    };
    assert_eq!(ask(&mut next, 2, Standing::Other), Credit::NotHere);
    assert_eq!(ask(&mut next, 3, Standing::StandIn), Credit::Granted(draw.needed));
    let mut without_copy = Keeper::new(start);
    assert_eq!(ask(&mut without_copy, 4, Standing::StandIn), Credit::NotHere);
    let handed_over = keeper.change_members(|_| Standing::Other, now);
    without_copy.take_over(&handed_over, now);
    assert_eq!(ask(&mut without_copy, 5, Standing::Other), Credit::Granted(draw.needed));
}

#[test]
fn what_another_entry_remembers_does_not_fill_a_keepers_bucket() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let full =
        Draw { customer: customer(), number: 1, needed: ALLOWANCE.burst, wanted: 0.0, owed: 0.0 };
    let mut keeper = Keeper::new(start);
    let mut other = Keeper::new(start);
    let small = Draw { needed: 1.0, ..full };
    other.draw(1, small, terms(1.0), Standing::Keeper, now);
    let remembered = other.levels(now);
    assert_eq!(
        keeper.draw(1, full, terms(1.0), Standing::Keeper, now),
        Credit::Granted(ALLOWANCE.burst)
    );
    keeper.copy(&remembered, now);
    keeper.take_over(&remembered, now);
    let again = Draw { number: 2, ..full };
    let credit = keeper.draw(1, again, terms(1.0), Standing::Keeper, now);
    assert!(matches!(credit, Credit::Empty(_)), "{credit:?}");
}

#[test]
fn a_bucket_that_another_entry_has_kept_meanwhile_is_not_refilled() {
    let start = Instant::now();
    let mut keeper = Keeper::new(start);
    let now = start + Duration::from_secs(5);
    let granted = keeper.draw(1, draw_of(ALLOWANCE.burst), terms(1.0), Standing::Keeper, now);
    assert_eq!(granted, Credit::Granted(ALLOWANCE.burst));
    keeper.change_members(|_| Standing::Other, now);
    let back = now + Duration::from_secs(3);
    keeper.change_members(|_| Standing::Keeper, back);
    let again = Draw { number: 2, ..draw_of(ALLOWANCE.burst * 0.9) };
    let credit = keeper.draw(1, again, terms(1.0), Standing::Keeper, back);
    assert_eq!(credit, Credit::NotHere, "the entry before may still grant");
    let later = back + Duration::from_secs(1);
    let credit = keeper.draw(1, Draw { number: 3, ..again }, terms(1.0), Standing::Keeper, later);
    assert!(matches!(credit, Credit::Empty(_)), "{credit:?}");
}

#[test]
fn a_keeper_that_has_just_started_counts_what_was_regained_while_it_waited() {
    let start = Instant::now();
    let mut keeper = Keeper::new(start);
    let known = start + Duration::from_millis(200);
    keeper.change_members(|_| Standing::Keeper, known);
    let half = draw_of(ALLOWANCE.per_second * 0.5);
    let early = known + Duration::from_millis(500);
    let credit = keeper.draw(1, half, terms(1.0), Standing::Keeper, early);
    assert_eq!(credit, Credit::NotHere);
    let now = known + Duration::from_millis(600);
    let told = Draw { number: 2, needed: 0.0, owed: ALLOWANCE.per_second / 60.0, ..half };
    keeper.draw(2, told, terms(1.0), Standing::Keeper, now);
    let credit = keeper.draw(1, Draw { number: 3, ..half }, terms(1.0), Standing::Keeper, now);
    assert_eq!(credit, Credit::Granted(half.needed));
    let left = keeper.levels(now)[0].units / ALLOWANCE.per_second;
    assert!((0.08..0.14).contains(&left), "{left} s of the allowance");
}

#[test]
fn who_stands_in_grants_of_the_copy_at_half_the_pace() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let mut keeper = Keeper::new(start);
    keeper.draw(1, draw_of(ALLOWANCE.burst), terms(1.0), Standing::Keeper, now);
    let mut next = Keeper::new(start);
    next.copy(&keeper.levels(now), now);
    let mut ask = |number, seconds| {
        let draw = Draw { number, ..draw_of(ALLOWANCE.per_second * 0.4) };
        next.draw(1, draw, terms(1.0), Standing::StandIn, now + Duration::from_secs_f64(seconds))
    };
    assert!(matches!(ask(2, 0.6), Credit::Empty(_)), "nothing for the time before");
    assert!(matches!(ask(3, 1.1), Credit::Empty(_)), "a quarter of a second's worth");
    assert!(matches!(ask(4, 1.5), Credit::Granted(_)));
    let mut late = Keeper::new(start);
    late.copy(&keeper.levels(now), now);
    let later = now + Duration::from_secs(3);
    let credit = late.draw(1, draw_of(1.0), terms(1.0), Standing::StandIn, later);
    assert_eq!(credit, Credit::NotHere, "its copy is old");
}

#[test]
fn what_entries_granted_beside_the_keeper_is_counted_afterwards() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let mut purse = Purse::new(start);
    let cost = ALLOWANCE.per_second / 30.0 / 2.0;
    assert_eq!(purse.take_share(customer(), ALLOWANCE, cost, 30, now), Take::Granted);
    let Take::Ask(unheard) = purse.take(customer(), cost, now) else {
        panic!("there is no credit");
    };
    assert_eq!(unheard.owed, cost);
    purse.hear(&unheard, None, now);
    let Take::Ask(heard) = purse.take(customer(), cost, now) else {
        panic!("there is no credit");
    };
    assert_eq!(heard.owed, cost, "told again, as nobody heard it");
    let mut keeper = Keeper::new(start);
    keeper.draw(2, draw_of(0.0), terms(1.0), Standing::Keeper, now);
    let before = keeper.levels(now)[0].units;
    let later = now + Duration::from_millis(1);
    keeper.draw(1, Draw { needed: 0.0, ..heard }, terms(0.0), Standing::Keeper, later);
    let counted = before - keeper.levels(later)[0].units;
    assert!((counted - cost).abs() < 0.001, "{counted} of {cost}");
    purse.hear(&heard, Some(Credit::Granted(0.0)), later);
    let Take::Ask(next) = purse.take(customer(), cost, later) else {
        panic!("there is no credit");
    };
    assert_eq!(next.owed, 0.0);
}

#[test]
fn a_question_that_comes_again_gets_the_same_answer() {
    let start = Instant::now();
    let mut keeper = Keeper::new(start);
    let now = start + Duration::from_secs(5);
    let draw =
        Draw { customer: customer(), number: 1, needed: ALLOWANCE.burst, wanted: 0.0, owed: 0.0 };
    let mut ask = |number| {
        let draw = Draw { number, ..draw };
        keeper.draw(1, draw, terms(1.0), Standing::Keeper, now)
    };
    assert_eq!(ask(1), Credit::Granted(ALLOWANCE.burst));
    assert_eq!(ask(1), Credit::Granted(ALLOWANCE.burst));
    assert!(matches!(ask(2), Credit::Empty(_)));
}

#[test]
fn credit_is_not_granted_long_after_it_was_drawn() {
    let now = Instant::now();
    let mut purse = Purse::new(now);
    purse.hear(&draw_of(0.0), Some(Credit::Granted(9_000.0)), now);
    assert_eq!(purse.take(customer(), 5_000.0, now), Take::Granted);
    let later = now + Duration::from_millis(1_100);
    assert!(matches!(purse.take(customer(), 3_000.0, later), Take::Ask(_)));
}

#[test]
fn what_is_given_back_can_be_granted_again() {
    let now = Instant::now();
    let mut purse = Purse::new(now);
    purse.hear(&draw_of(0.0), Some(Credit::Granted(5_000.0)), now);
    assert_eq!(purse.take(customer(), 5_000.0, now), Take::Granted);
    assert!(matches!(purse.take(customer(), 5_000.0, now), Take::Ask(_)));
    purse.give_back(customer(), 5_000.0, now);
    assert_eq!(purse.take(customer(), 5_000.0, now), Take::Granted);
}

#[test]
fn a_request_costs_its_tokens_or_the_plain_ones() {
    let tokens = AllowanceUnit::Tokens { plain_tokens: 200 };
    let model = RequestFacts {
        prompt_tokens: Some(1_460),
        max_output_tokens: 80,
        ..RequestFacts::default()
    };
    assert_eq!(cost(tokens, &model), 1_540.0);
    assert_eq!(cost(tokens, &RequestFacts::default()), 200.0);
    assert_eq!(cost(AllowanceUnit::Requests, &model), 1.0);
}
