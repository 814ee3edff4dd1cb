//! Holders of one lease that are paused, and an agent that restarts, before an engine that ignores
//! fencing tokens; drawn by seed.

use std::time::{Duration, Instant};

use agent::controllers::orders::{OrderDecision, OrderSequencer};
use clock::{Clock, ManualClock};
use entry::controllers::leases::{Event, Lease, NextStep};
use identity::{FencingToken, ProcessId};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use store::{LeaseId, Revision, StoreError, SwapResult};

const LEASE: Duration = Duration::from_secs(4);
const HOLDERS: usize = 2;
const STEPS: usize = 400;
const RUNS: usize = 3_000;

/// The mechanism that is left out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    /// The agent passes on any token.
    TokenCheck,
    /// The agent passes on orders for the process before it.
    ProcessCheck,
    /// A holder acts on for as long as nobody tells it that the lease has lapsed.
    OwnClock,
    /// The agent takes a newer order while an older one is between check and send.
    OneInHand,
}

struct Holder {
    lease: Lease,
    next: NextStep,
    /// A call on its way: when it was sent, and the lease or write that it is about.
    sent_at: Instant,
    wakes_at: Instant,
    nonce: u64,
    token_seen: Option<FencingToken>,
    /// The agent process that it asked for before it acts.
    agent: Option<ProcessId>,
}

#[derive(Clone)]
struct Order {
    process: ProcessId,
    token: FencingToken,
}

struct World {
    rng: ChaCha8Rng,
    without: Without,
    clock: ManualClock,
    revision: u64,
    leases: Vec<Instant>,
    key: Option<(Revision, LeaseId, u64)>,
    holders: Vec<Holder>,
    network: Vec<Order>,
    agent: OrderSequencer,
    process: u64,
    /// Orders between the agent's check and its send.
    in_hand: Vec<Order>,
    applied: Vec<FencingToken>,
}

fn process(number: u64) -> ProcessId {
    ProcessId::new(format!("agent-{number}"))
}

impl World {
    fn new(seed: u64, without: Without) -> World {
        let clock = ManualClock::new();
        let holders = (0..HOLDERS).map(|_| Holder {
            lease: Lease::new(LEASE),
            next: NextStep::Wait(Duration::ZERO),
            sent_at: clock.now(),
            wakes_at: clock.now(),
            nonce: 0,
            token_seen: None,
            agent: None,
        });
        World {
            holders: holders.collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            without,
            clock,
            revision: 0,
            leases: Vec::new(),
            key: None,
            network: Vec::new(),
            agent: OrderSequencer::new(process(0)),
            process: 0,
            in_hand: Vec::new(),
            applied: Vec::new(),
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.rng.next_u32() as usize % below
    }

    fn step(&mut self) -> Result<(), String> {
        match self.draw(24) {
            0..=5 => self.clock.advance(Duration::from_millis(200)),
            // A holder that is not stepped through this is paused.
            6 => self.clock.advance(LEASE),
            7..=9 => self.receive(),
            10..=12 => self.send_on()?,
            13 if self.draw(4) == 0 => self.restart_agent(),
            14..=18 => {
                let holder = self.draw(HOLDERS);
                self.act(holder);
            }
            _ => {
                let holder = self.draw(HOLDERS);
                self.step_holder(holder);
            }
        }
        self.lapse();
        Ok(())
    }

    fn lapse(&mut self) {
        let now = self.clock.now();
        if self.key.is_some_and(|(_, lease, _)| self.leases[lease.0 as usize] <= now) {
            self.key = None;
        }
    }

    fn step_holder(&mut self, index: usize) {
        let now = self.clock.now();
        let (next, sent_at) = (self.holders[index].next, self.holders[index].sent_at);
        let event = match next {
            NextStep::Wait(_) if now < self.holders[index].wakes_at => return,
            NextStep::Wait(_) => Event::Tick,
            NextStep::Grant(duration) => {
                self.leases.push(now + duration);
                Event::Granted(sent_at, Ok(LeaseId(self.leases.len() as u64 - 1)))
            }
            NextStep::Write(lease) => self.write(index, lease),
            NextStep::Read => {
                let nonce = self.holders[index].nonce;
                Event::Read(Ok(self.key.map(|(revision, _, by)| (revision, by == nonce))))
            }
            NextStep::Renew(lease) => self.renew(lease, sent_at),
        };
        let holder = &mut self.holders[index];
        holder.next = holder.lease.on_event(event, now);
        holder.sent_at = now;
        if let NextStep::Wait(pause) = holder.next {
            holder.wakes_at = now + pause;
        }
    }

    fn write(&mut self, index: usize, lease: LeaseId) -> Event {
        let nonce = self.rng.next_u64();
        self.holders[index].nonce = nonce;
        if self.leases[lease.0 as usize] <= self.clock.now() {
            return Event::Wrote(Err(StoreError::Unavailable("no such lease".to_owned())));
        }
        if let Some((revision, _, _)) = self.key {
            return Event::Wrote(Ok(SwapResult::Conflict(Some(revision))));
        }
        self.revision += 1;
        self.key = Some((Revision(self.revision), lease, nonce));
        if self.draw(3) == 0 {
            return Event::Wrote(Err(StoreError::Unknown("no reply".to_owned())));
        }
        Event::Wrote(Ok(SwapResult::Written(Revision(self.revision))))
    }

    fn renew(&mut self, lease: LeaseId, sent_at: Instant) -> Event {
        let now = self.clock.now();
        let good = self.leases[lease.0 as usize] > now;
        if good {
            self.leases[lease.0 as usize] = now + LEASE;
        }
        match self.draw(4) {
            0 => Event::Renewed(sent_at, Err(StoreError::Unknown("no reply".to_owned()))),
            _ => Event::Renewed(sent_at, Ok(good)),
        }
    }

    /// A holder asks for the agent's process first, and looks at its lease after that.
    fn act(&mut self, index: usize) {
        let now = self.clock.now();
        let running = process(self.process);
        let holder = &mut self.holders[index];
        if let Some(token) = holder.lease.fencing_token(now) {
            holder.token_seen = Some(token);
        }
        let Some(asked) = holder.agent.take() else {
            holder.agent = Some(running);
            return;
        };
        let token = match self.without {
            Without::OwnClock => holder.token_seen,
            _ => holder.lease.fencing_token(now),
        };
        if let Some(token) = token {
            self.network.push(Order { process: asked, token });
        }
    }

    fn receive(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let at = self.draw(self.network.len());
        let order = self.network.swap_remove(at);
        let running = process(self.process);
        let named = match self.without {
            Without::ProcessCheck => &running,
            _ => &order.process,
        };
        let verdict = self.agent.admit_order(named, order.token);
        let unchecked = self.without == Without::TokenCheck && *named == running;
        let overtakes = self.without == Without::OneInHand && verdict == OrderDecision::Busy;
        if verdict == OrderDecision::Forward || overtakes || (unchecked && self.in_hand.is_empty())
        {
            self.in_hand.push(order);
        }
    }

    fn send_on(&mut self) -> Result<(), String> {
        if self.in_hand.is_empty() {
            return Ok(());
        }
        let at = self.draw(self.in_hand.len());
        let order = self.in_hand.swap_remove(at);
        self.applied.push(order.token);
        self.agent.complete_order(order.token);
        if self.applied.is_sorted() {
            return Ok(());
        }
        Err(format!("{} applied after a newer one: {:?}", order.token, self.applied))
    }

    fn restart_agent(&mut self) {
        self.process += 1;
        self.agent = OrderSequencer::new(process(self.process));
        self.in_hand.clear();
    }
}

fn run(seed: u64, without: Without) -> Result<usize, String> {
    let mut world = World::new(seed, without);
    for _ in 0..STEPS {
        world.step().map_err(|fault| format!("seed {seed}: {fault}"))?;
    }
    let mut tokens = world.applied;
    tokens.dedup();
    Ok(tokens.len())
}

#[test]
fn an_older_token_is_never_passed_on_after_a_newer_one() {
    let tokens: usize = (0..RUNS as u64).map(|seed| run(seed, Without::Nothing).unwrap()).sum();
    println!("{RUNS} interleavings, {tokens} holders acted");
    assert!(tokens > RUNS, "{tokens}");
}

#[test]
fn drawn_interleavings_hold_too() {
    property::check(RUNS as u64, |seed: &u64| {
        run(*seed, Without::Nothing).unwrap();
    });
}

#[test]
fn the_interleavings_find_an_older_token_where_a_mechanism_is_left_out() {
    let mechanisms = [Without::TokenCheck, Without::ProcessCheck, Without::OwnClock];
    for without in mechanisms.into_iter().chain([Without::OneInHand]) {
        let fault = (0..RUNS as u64).find_map(|seed| run(seed, without).err());
        println!("{without:?}: {fault:?}");
        assert!(fault.is_some(), "{without:?}");
    }
}

#[test]
fn a_holder_stops_by_its_own_clock_before_its_lease_can_lapse() {
    let clock = ManualClock::new();
    let sent_at = clock.now();
    let mut lease = Lease::new(LEASE);
    assert_eq!(lease.on_event(Event::Tick, sent_at), NextStep::Grant(LEASE));
    // The store counts from a time after this one.
    lease.on_event(Event::Granted(sent_at, Ok(LeaseId(1))), clock.now());
    lease.on_event(Event::Wrote(Ok(SwapResult::Written(Revision(7)))), clock.now());
    assert_eq!(lease.fencing_token(clock.now()), Some(FencingToken(7)));
    clock.advance(LEASE - Duration::from_millis(1));
    assert_eq!(lease.fencing_token(clock.now()), None);
    // A renewal that comes back to a holder that was paused does not bring it back.
    lease.on_event(Event::Renewed(sent_at, Ok(true)), clock.now());
    assert_eq!(lease.fencing_token(clock.now()), None);
}
