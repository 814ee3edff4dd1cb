//! Simulated interleavings of paused holders of one lease and a restarting agent, in front of an
//! engine that ignores fencing tokens; random by seed. They guard against an order of an earlier
//! holder that reaches the engine after one of a later holder.

use std::time::{Duration, Instant};

use agent::controllers::orders::{OrderDecision, OrderSequencer};
use clock::{Clock, ManualClock};
use entry::controllers::leases::{Event, Lease, NextStep};
use identity::{FencingToken, ProcessId};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use store::{LeaseId, Revision, StoreError, SwapResult};

const LEASE_DURATION: Duration = Duration::from_secs(4);
const HOLDERS: usize = 2;
const STEPS_PER_SIMULATION: usize = 400;
const SIMULATIONS: usize = 3_000;

/// The safeguard that is left out, to show that the simulation detects its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DisabledSafeguard {
    None,
    /// The agent forwards orders with any token.
    TokenCheck,
    /// The agent forwards orders that name an earlier agent process.
    ProcessCheck,
    /// A holder keeps sending orders after its lease should have expired by its own clock.
    OwnClockExpiry,
    /// The agent admits an order while another one is admitted but not yet sent to the engine.
    SingleOrderInProgress,
}

/// A process that holds or requests the lease.
struct SimulatedHolder {
    lease: Lease,
    next_step: NextStep,
    /// When the pending call to the store was sent.
    sent_at: Instant,
    wake_at: Instant,
    nonce: u64,
    /// The token of the lease when the holder last found it valid.
    last_token: Option<FencingToken>,
    /// The agent process that the holder looked up for its next order.
    agent: Option<ProcessId>,
}

#[derive(Clone)]
struct Order {
    process: ProcessId,
    token: FencingToken,
}

/// The store, the holders, the agent and the orders between them.
struct Simulation {
    rng: ChaCha8Rng,
    disabled: DisabledSafeguard,
    clock: ManualClock,
    revision: u64,
    /// Expiry of each lease, by its id.
    leases: Vec<Instant>,
    /// The holder's key in the store: revision, lease, and nonce of the write.
    key: Option<(Revision, LeaseId, u64)>,
    holders: Vec<SimulatedHolder>,
    orders_in_flight: Vec<Order>,
    agent: OrderSequencer,
    process_number: u64,
    /// Orders that the agent has admitted and not yet sent to the engine.
    admitted_orders: Vec<Order>,
    /// Tokens of the orders that reached the engine, in this order.
    applied: Vec<FencingToken>,
}

fn process(number: u64) -> ProcessId {
    ProcessId::new(format!("agent-{number}"))
}

impl Simulation {
    fn new(seed: u64, disabled: DisabledSafeguard) -> Simulation {
        let clock = ManualClock::new();
        let holders = (0..HOLDERS).map(|_| SimulatedHolder {
            lease: Lease::new(LEASE_DURATION),
            next_step: NextStep::Wait(Duration::ZERO),
            sent_at: clock.now(),
            wake_at: clock.now(),
            nonce: 0,
            last_token: None,
            agent: None,
        });
        Simulation {
            holders: holders.collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            disabled,
            clock,
            revision: 0,
            leases: Vec::new(),
            key: None,
            orders_in_flight: Vec::new(),
            agent: OrderSequencer::new(process(0)),
            process_number: 0,
            admitted_orders: Vec::new(),
            applied: Vec::new(),
        }
    }

    fn random_below(&mut self, below: usize) -> usize {
        self.rng.next_u32() as usize % below
    }

    fn step(&mut self) -> Result<(), String> {
        match self.random_below(24) {
            0..=5 => self.clock.advance(Duration::from_millis(200)),
            // A holder that takes no step in this time is paused.
            6 => self.clock.advance(LEASE_DURATION),
            7..=9 => self.receive_order(),
            10..=12 => self.forward_order()?,
            13 if self.random_below(4) == 0 => self.restart_agent(),
            14..=18 => {
                let holder = self.random_below(HOLDERS);
                self.send_order(holder);
            }
            _ => {
                let holder = self.random_below(HOLDERS);
                self.step_holder(holder);
            }
        }
        self.expire_lease();
        Ok(())
    }

    fn expire_lease(&mut self) {
        let now = self.clock.now();
        if self.key.is_some_and(|(_, lease, _)| self.leases[lease.0 as usize] <= now) {
            self.key = None;
        }
    }

    fn step_holder(&mut self, index: usize) {
        let now = self.clock.now();
        let (next, sent_at) = (self.holders[index].next_step, self.holders[index].sent_at);
        let event = match next {
            NextStep::Wait(_) if now < self.holders[index].wake_at => return,
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
        holder.next_step = holder.lease.on_event(event, now);
        holder.sent_at = now;
        if let NextStep::Wait(pause) = holder.next_step {
            holder.wake_at = now + pause;
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
        if self.random_below(3) == 0 {
            return Event::Wrote(Err(StoreError::Unknown("no reply".to_owned())));
        }
        Event::Wrote(Ok(SwapResult::Written(Revision(self.revision))))
    }

    fn renew(&mut self, lease: LeaseId, sent_at: Instant) -> Event {
        let now = self.clock.now();
        let is_valid = self.leases[lease.0 as usize] > now;
        if is_valid {
            self.leases[lease.0 as usize] = now + LEASE_DURATION;
        }
        match self.random_below(4) {
            0 => Event::Renewed(sent_at, Err(StoreError::Unknown("no reply".to_owned()))),
            _ => Event::Renewed(sent_at, Ok(is_valid)),
        }
    }

    /// Takes one of two alternating steps of a holder: it first looks up the agent process, and
    /// later checks its lease and sends an order to that process.
    fn send_order(&mut self, index: usize) {
        let now = self.clock.now();
        let running = process(self.process_number);
        let holder = &mut self.holders[index];
        if let Some(token) = holder.lease.fencing_token(now) {
            holder.last_token = Some(token);
        }
        let Some(agent_process) = holder.agent.take() else {
            holder.agent = Some(running);
            return;
        };
        let token = match self.disabled {
            DisabledSafeguard::OwnClockExpiry => holder.last_token,
            _ => holder.lease.fencing_token(now),
        };
        if let Some(token) = token {
            self.orders_in_flight.push(Order { process: agent_process, token });
        }
    }

    fn receive_order(&mut self) {
        if self.orders_in_flight.is_empty() {
            return;
        }
        let at = self.random_below(self.orders_in_flight.len());
        let order = self.orders_in_flight.swap_remove(at);
        let running = process(self.process_number);
        let named_process = match self.disabled {
            DisabledSafeguard::ProcessCheck => &running,
            _ => &order.process,
        };
        let decision = self.agent.admit_order(named_process, order.token);
        let unchecked = self.disabled == DisabledSafeguard::TokenCheck && *named_process == running;
        let accept_while_busy = self.disabled == DisabledSafeguard::SingleOrderInProgress
            && decision == OrderDecision::Busy;
        if decision == OrderDecision::Forward
            || accept_while_busy
            || (unchecked && self.admitted_orders.is_empty())
        {
            self.admitted_orders.push(order);
        }
    }

    fn forward_order(&mut self) -> Result<(), String> {
        if self.admitted_orders.is_empty() {
            return Ok(());
        }
        let at = self.random_below(self.admitted_orders.len());
        let order = self.admitted_orders.swap_remove(at);
        self.applied.push(order.token);
        self.agent.complete_order(order.token);
        if self.applied.is_sorted() {
            return Ok(());
        }
        Err(format!("{} applied after a newer one: {:?}", order.token, self.applied))
    }

    fn restart_agent(&mut self) {
        self.process_number += 1;
        self.agent = OrderSequencer::new(process(self.process_number));
        self.admitted_orders.clear();
    }
}

fn run_simulation(seed: u64, disabled: DisabledSafeguard) -> Result<usize, String> {
    let mut simulation = Simulation::new(seed, disabled);
    for _ in 0..STEPS_PER_SIMULATION {
        simulation.step().map_err(|fault| format!("seed {seed}: {fault}"))?;
    }
    let mut tokens = simulation.applied;
    tokens.dedup();
    Ok(tokens.len())
}

/// Guards against a paused holder whose late order undoes that of its successor.
#[test]
fn no_order_is_applied_after_one_with_a_newer_token_in_seeded_interleavings() {
    let tokens: usize = (0..SIMULATIONS as u64)
        .map(|seed| run_simulation(seed, DisabledSafeguard::None).unwrap())
        .sum();
    println!("{SIMULATIONS} interleavings, {tokens} holders acted");
    assert!(tokens > SIMULATIONS, "{tokens}");
}

/// The same check with other seeds, generated by bolero.
#[test]
fn no_order_is_applied_after_one_with_a_newer_token_in_generated_interleavings() {
    property::check(SIMULATIONS as u64, |seed: &u64| {
        run_simulation(*seed, DisabledSafeguard::None).unwrap();
    });
}

/// Guards against a simulation that passes because it never reaches the critical interleavings.
#[test]
fn simulation_detects_a_violation_when_a_safeguard_is_disabled() {
    let safeguards = [
        DisabledSafeguard::TokenCheck,
        DisabledSafeguard::ProcessCheck,
        DisabledSafeguard::OwnClockExpiry,
    ];
    for disabled in safeguards.into_iter().chain([DisabledSafeguard::SingleOrderInProgress]) {
        let fault = (0..SIMULATIONS as u64).find_map(|seed| run_simulation(seed, disabled).err());
        println!("{disabled:?}: {fault:?}");
        assert!(fault.is_some(), "{disabled:?}");
    }
}

/// Guards against a holder that still acts when the store may already have granted the lease to
/// another.
#[test]
fn lease_holder_stops_by_its_own_clock_before_the_lease_expires() {
    let clock = ManualClock::new();
    let sent_at = clock.now();
    let mut lease = Lease::new(LEASE_DURATION);
    assert_eq!(lease.on_event(Event::Tick, sent_at), NextStep::Grant(LEASE_DURATION));
    // The store measures the lease from a later time than this.
    lease.on_event(Event::Granted(sent_at, Ok(LeaseId(1))), clock.now());
    lease.on_event(Event::Wrote(Ok(SwapResult::Written(Revision(7)))), clock.now());
    assert_eq!(lease.fencing_token(clock.now()), Some(FencingToken(7)));
    clock.advance(LEASE_DURATION - Duration::from_millis(1));
    assert_eq!(lease.fencing_token(clock.now()), None);
    // A reply to a renewal does not make the lease valid again after its holder was paused.
    lease.on_event(Event::Renewed(sent_at, Ok(true)), clock.now());
    assert_eq!(lease.fencing_token(clock.now()), None);
}
