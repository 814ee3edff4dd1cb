//! Interleavings of entries, agents and store around one idempotency key, drawn by seed.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use agent::controllers::call_ledger::{CallAdmission, CallLedger, CallStatus};
use agent::core::{Action, Core, RequestStatus, UpstreamEvent};
use bytes::Bytes;
use clock::{Clock, ManualClock};
use entry::controllers::claims::{
    CLAIMED_EPOCH, Claim, ClaimAcquisition, ClaimRequest, ClaimState, ClaimStatus, Event, NextStep,
    RAN_CLAIM_RETENTION, Writer, call_digest, is_expired,
};
use errors::{Outcome, Refusal, ResultCode};
use identity::{ConfigVersion, CustomerId, ProcessId, ServiceId, Tier, UpstreamId};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use store::{Revision, StoreError, SwapResult};
use wire::{Dispatch, RequestKey, ServiceCall, Work};

const ENTRIES: usize = 3;
const AGENTS: usize = 2;
const STEPS: usize = 160;
const RUNS: usize = 3_000;

/// Calls that an agent remembers; small, so that some are forgotten.
const AGENT_CAPACITY: usize = 3;

/// The mechanism that is left out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    /// Hands over whatever the write came to.
    Claim,
    /// Takes an agent's word whichever process gives it.
    ProcessCheck,
    /// The agent forgets what it refused when it was asked.
    Tombstone,
    /// Takes a write without a reply for one that took effect.
    ReadBack,
}

/// How often each thing happened.
type Counts = BTreeMap<&'static str, u64>;

struct SimAgent {
    process: ProcessId,
    call_ledger: CallLedger,
    core: Core,
    running: Vec<RequestKey>,
}

struct Requester {
    acquisition: ClaimAcquisition,
    next: NextStep,
    /// Identities that this request may have had handed over.
    dispatched: HashSet<RequestKey>,
    following: Option<(usize, Box<Claim>, Revision)>,
}

struct World {
    rng: ChaCha8Rng,
    without: Without,
    clock: ManualClock,
    held: Option<(Revision, Claim)>,
    revision: u64,
    late_writes: Vec<(Claim, Option<Revision>)>,
    late_dispatches: Vec<(usize, Dispatch, wire::Claim)>,
    agents: Vec<SimAgent>,
    entries: Vec<Option<Requester>>,
    processes: u64,
    /// Handed to the service, and not known to have failed to reach it.
    started: Vec<RequestKey>,
    /// Promised never to be handed over.
    promised: HashSet<RequestKey>,
    counts: Counts,
}

fn call() -> ServiceCall {
    ServiceCall {
        service: ServiceId::new("desk"),
        method: "POST".to_owned(),
        target: "/bookings".to_owned(),
        content_type: String::new(),
        idempotency_key: "pitch-a17".to_owned(),
        body: Bytes::from_static(b"{}"),
    }
}

fn unknown() -> StoreError {
    StoreError::Unknown("no reply".to_owned())
}

impl World {
    fn new(seed: u64, without: Without) -> World {
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            without,
            clock: ManualClock::new(),
            held: None,
            revision: 10,
            late_writes: Vec::new(),
            late_dispatches: Vec::new(),
            agents: Vec::new(),
            entries: (0..ENTRIES).map(|_| None).collect(),
            processes: 0,
            started: Vec::new(),
            promised: HashSet::new(),
            counts: Counts::default(),
        };
        for _ in 0..AGENTS {
            let agent = world.new_agent();
            world.agents.push(agent);
        }
        world
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn draw(&mut self, below: usize) -> usize {
        self.rng.next_u32() as usize % below
    }

    fn chance(&mut self, one_in: usize) -> bool {
        self.draw(one_in) == 0
    }

    fn new_process(&mut self) -> ProcessId {
        self.processes += 1;
        ProcessId::new(format!("p{}", self.processes))
    }

    fn new_agent(&mut self) -> SimAgent {
        let process = self.new_process();
        let call_ledger = CallLedger::new(process.clone(), AGENT_CAPACITY);
        SimAgent { process, call_ledger, core: Core::new(2), running: Vec::new() }
    }

    fn step(&mut self) -> Result<(), String> {
        match self.draw(20) {
            0 => self.apply_late_write(),
            1 => self.deliver_late_dispatch()?,
            2 | 3 => self.finish_call(),
            4 if self.chance(6) => {
                self.count("agent_deaths");
                let index = self.draw(AGENTS);
                self.agents[index] = self.new_agent();
            }
            5 if self.chance(4) => {
                self.count("entry_deaths");
                let index = self.draw(ENTRIES);
                self.entries[index] = None;
            }
            6 => self.clock.advance(Duration::from_millis(300)),
            _ => {
                let entry = self.draw(ENTRIES);
                self.step_entry(entry)?;
            }
        }
        Ok(())
    }

    fn apply_late_write(&mut self) {
        let index = self.draw(self.late_writes.len().max(1));
        if index < self.late_writes.len() {
            let (claim, expected) = self.late_writes.swap_remove(index);
            self.swap(claim, expected);
        }
    }

    fn swap(&mut self, claim: Claim, expected: Option<Revision>) -> SwapResult {
        let found = self.held.as_ref().map(|(revision, _)| *revision);
        if found != expected {
            return SwapResult::Conflict(found);
        }
        self.revision += 1;
        self.held = Some((Revision(self.revision), claim));
        SwapResult::Written(Revision(self.revision))
    }

    fn write(
        &mut self,
        claim: Claim,
        expected: Option<Revision>,
    ) -> Result<SwapResult, StoreError> {
        match self.draw(6) {
            0 => {
                self.count("outages");
                Err(StoreError::Unavailable("outage".to_owned()))
            }
            1 => {
                self.count("lost_replies");
                self.swap(claim, expected);
                Err(unknown())
            }
            2 => {
                self.count("late_writes");
                self.late_writes.push((claim, expected));
                Err(unknown())
            }
            _ => Ok(self.swap(claim, expected)),
        }
    }

    fn begin(&mut self) -> Requester {
        self.count("requests");
        let process = self.new_process();
        let request = ClaimRequest {
            customer: CustomerId::new("seller"),
            idempotency_key: call().idempotency_key,
            call_sha256: call_digest(&call()),
            process,
            deadline: self.clock.now() + Duration::from_secs(30),
        };
        let mut acquisition = ClaimAcquisition::new(request, self.clock.now());
        let next = self.place(&mut acquisition);
        Requester { acquisition, next, dispatched: HashSet::new(), following: None }
    }

    fn place(&mut self, acquisition: &mut ClaimAcquisition) -> NextStep {
        if self.chance(12) {
            let refusal = Refusal::not_run(ResultCode::NoUpstream);
            return acquisition.on_event(Event::NoUpstream(refusal), self.clock.now());
        }
        let index = self.draw(AGENTS);
        let event = Event::Placed {
            upstream: UpstreamId::new(index.to_string()),
            agent_process: self.agents[index].process.clone(),
            nonce: self.rng.next_u64(),
            wall_ms: 0,
        };
        acquisition.on_event(event, self.clock.now())
    }

    fn step_entry(&mut self, index: usize) -> Result<(), String> {
        let mut requester = match self.entries[index].take() {
            Some(requester) => requester,
            None => self.begin(),
        };
        if self.advance(&mut requester)? {
            self.entries[index] = Some(requester);
        }
        Ok(())
    }

    /// Does what the request is due next; `false` where it has ended.
    fn advance(&mut self, requester: &mut Requester) -> Result<bool, String> {
        if requester.following.is_some() {
            return Ok(self.follow(requester));
        }
        let event = match requester.next.clone() {
            NextStep::Write { claim, expected } => self.write_event(*claim, expected),
            NextStep::Read if self.chance(8) => Event::Read(Err(unknown())),
            NextStep::Read => {
                let found = self.held.clone();
                Event::Read(Ok(found.map(|(revision, claim)| (revision, Box::new(claim)))))
            }
            NextStep::Pause(pause) => {
                self.clock.advance(pause);
                Event::PauseEnded
            }
            NextStep::QueryAgent { claim, revision } => {
                Event::StatusReceived(self.ask(&claim, revision))
            }
            NextStep::Dispatch { claim, revision } => {
                return self.hand_over(requester, claim, revision);
            }
            NextStep::Attach { claim, revision } => {
                requester.dispatched.insert(claim.request_key(revision));
                requester.following = Some((index_of(&claim), claim, revision));
                return Ok(true);
            }
            NextStep::RecordRan { claim, revision } => {
                self.note(&claim, revision, ClaimState::Ran { answer: None });
                return Ok(false);
            }
            NextStep::Replay(_) | NextStep::Reject(_) => return Ok(false),
        };
        requester.next = requester.acquisition.on_event(event, self.clock.now());
        if let NextStep::Reject(refusal) = &requester.next {
            self.check_answer(requester, refusal)?;
        }
        Ok(true)
    }

    fn write_event(&mut self, claim: Claim, expected: Option<Revision>) -> Event {
        let result = self.write(claim, expected);
        let unread = matches!(result, Err(StoreError::Unknown(_)));
        let assumed = self.without == Without::Claim || self.without == Without::ReadBack && unread;
        if assumed {
            self.revision += 1;
            return Event::Wrote(Ok(SwapResult::Written(Revision(self.revision))));
        }
        Event::Wrote(result)
    }

    fn hand_over(
        &mut self,
        requester: &mut Requester,
        claim: Box<Claim>,
        revision: Revision,
    ) -> Result<bool, String> {
        let index = index_of(&claim);
        let key = claim.request_key(revision);
        requester.dispatched.insert(key.clone());
        let message = dispatch_of(&key);
        let for_agent = claim.to_agent_claim(revision);
        let late = self.chance(5);
        if late {
            self.count("late_dispatches");
            self.late_dispatches.push((index, message.clone(), for_agent.clone()));
        }
        if late || self.deliver(index, message, for_agent)? {
            requester.following = Some((index, claim, revision));
        } else {
            requester.next = self.place(&mut requester.acquisition);
        }
        Ok(true)
    }

    fn deliver_late_dispatch(&mut self) -> Result<(), String> {
        if self.late_dispatches.is_empty() {
            return Ok(());
        }
        let at = self.draw(self.late_dispatches.len());
        let (index, message, claim) = self.late_dispatches.swap_remove(at);
        self.deliver(index, message, claim).map(|_| ())
    }

    /// Admits a dispatch as the agent's runtime does; `false` where it is refused.
    fn deliver(
        &mut self,
        index: usize,
        message: Dispatch,
        mut claim: wire::Claim,
    ) -> Result<bool, String> {
        let now = self.clock.now();
        let agent = &mut self.agents[index];
        if self.without == Without::ProcessCheck {
            claim.agent_process = agent.process.clone();
        }
        match agent.call_ledger.admit(&message.key, &claim) {
            CallAdmission::Rejected(_) => return Ok(false),
            CallAdmission::Duplicate => return Ok(true),
            CallAdmission::New => {}
        }
        let (_, actions) = agent.core.dispatch(message, now);
        let starts = actions.into_iter().filter_map(|action| match action {
            Action::Start(dispatch) => Some(dispatch.key.clone()),
            _ => None,
        });
        for key in starts.collect::<Vec<_>>() {
            self.agents[index].call_ledger.record_start(&key);
            self.agents[index].running.push(key.clone());
            self.start(key)?;
        }
        Ok(true)
    }

    fn start(&mut self, key: RequestKey) -> Result<(), String> {
        if self.promised.contains(&key) {
            return Err(format!("{} ran after not_run", key.request_id));
        }
        self.started.push(key);
        if self.started.len() > 1 {
            return Err(format!("ran twice: {:?}", self.started));
        }
        self.count("runs");
        Ok(())
    }

    fn finish_call(&mut self) {
        let now = self.clock.now();
        let index = self.draw(AGENTS);
        let Some(key) = self.agents[index].running.pop() else { return };
        let event = match self.draw(4) {
            0 => UpstreamEvent::NotReached("refused".to_owned()),
            1 => UpstreamEvent::Failed("broke off".to_owned()),
            _ => UpstreamEvent::Finished,
        };
        if matches!(event, UpstreamEvent::NotReached(_)) {
            self.started.retain(|started| *started != key);
            self.count("not_reached");
        }
        self.agents[index].call_ledger.on_upstream_event(&key, &event);
        self.agents[index].core.on_upstream_event(&key, event, now);
        if self.chance(3) {
            // The agent holds answers for a while only.
            self.clock.advance(Duration::from_secs(1000));
            self.agents[index].core.on_tick(self.clock.now());
        }
    }

    fn ask(&mut self, claim: &Claim, revision: Revision) -> ClaimStatus {
        if self.chance(6) {
            return ClaimStatus::Unreachable;
        }
        let now = self.clock.now();
        let key = claim.request_key(revision);
        let without = self.without;
        let agent = &mut self.agents[index_of(claim)];
        let process = match without {
            Without::ProcessCheck => claim.agent_process.clone(),
            _ => agent.process.clone(),
        };
        let core = agent.core.status_or_withdraw(&key, CLAIMED_EPOCH, now);
        let status =
            agent.call_ledger.status_or_withdraw(&key, &claim.to_agent_claim(revision), core);
        if without == Without::Tombstone && status == CallStatus::Known(RequestStatus::Withdrawn) {
            agent.call_ledger = CallLedger::new(agent.process.clone(), AGENT_CAPACITY);
            agent.core = Core::new(2);
        }
        match status {
            CallStatus::Known(RequestStatus::Withdrawn | RequestStatus::NotRun) => {
                ClaimStatus::NotRun(process)
            }
            CallStatus::Known(_) => ClaimStatus::Held(process),
            CallStatus::Ran => ClaimStatus::Ran(process),
            CallStatus::Unknown => ClaimStatus::Unknown(process),
        }
    }

    /// One look at a request that was handed over; `false` where it has ended.
    fn follow(&mut self, requester: &mut Requester) -> bool {
        let Some((index, claim, revision)) = requester.following.clone() else { return true };
        let status = self.ask(&claim, revision);
        match status {
            ClaimStatus::Held(process) if process == claim.agent_process => {
                if self.agents[index].running.contains(&claim.request_key(revision)) {
                    return true;
                }
                self.note(&claim, revision, ClaimState::Ran { answer: None });
                false
            }
            ClaimStatus::NotRun(process) if process == claim.agent_process => {
                requester.following = None;
                requester.next = self.place(&mut requester.acquisition);
                true
            }
            ClaimStatus::Unreachable => true,
            _ => false,
        }
    }

    fn note(&mut self, claim: &Claim, revision: Revision, state: ClaimState) {
        let writer = Writer { process: self.new_process(), nonce: 0 };
        let moved = claim.with_state(state, writer);
        let _ = self.write(moved, Some(revision));
    }

    fn check_answer(&mut self, requester: &Requester, refusal: &Refusal) -> Result<(), String> {
        if refusal.outcome != Outcome::NotRun {
            return Ok(());
        }
        self.count("not_run");
        self.promised.extend(requester.dispatched.iter().cloned());
        let own = self.started.iter().any(|key| requester.dispatched.contains(key));
        // With the store down nothing is known of an earlier request with the key.
        let any = refusal.code != ResultCode::StoreUnavailable && !self.started.is_empty();
        if own || any {
            return Err(format!("{refusal} was said not_run and ran"));
        }
        if let Some((revision, claim)) = requester.acquisition.held_claim() {
            self.note(&claim.clone(), revision, ClaimState::NotRun);
        }
        if let Some(claim) = requester.acquisition.abandoned_claim() {
            self.release(&claim.clone());
        }
        Ok(())
    }

    fn release(&mut self, claim: &Claim) {
        let Some((revision, found)) = self.held.clone() else { return };
        if found.writer == claim.writer && found.state == ClaimState::Claimed {
            self.note(&found, revision, ClaimState::NotRun);
        }
    }
}

fn index_of(claim: &Claim) -> usize {
    claim.upstream.as_str().parse().expect("upstreams are numbered")
}

fn dispatch_of(key: &RequestKey) -> Dispatch {
    Dispatch {
        key: key.clone(),
        epoch: CLAIMED_EPOCH,
        tier: Tier(1),
        time_left: Duration::from_secs(30),
        config_version: ConfigVersion(1),
        work: Work::Service(call()),
        process: None,
        registration: None,
    }
}

fn run(seed: u64, without: Without) -> Result<Counts, String> {
    let mut world = World::new(seed, without);
    for _ in 0..STEPS {
        world.step().map_err(|fault| format!("seed {seed}: {fault}"))?;
    }
    Ok(world.counts)
}

/// Seeds below this are run each time; `bolero` draws others.
fn first_fault(without: Without) -> Option<String> {
    (0..RUNS as u64).find_map(|seed| run(seed, without).err())
}

#[test]
fn a_key_runs_at_most_once_and_not_run_is_true_in_every_interleaving() {
    let mut total = Counts::default();
    for seed in 0..RUNS as u64 {
        for (what, count) in run(seed, Without::Nothing).unwrap() {
            *total.entry(what).or_default() += count;
        }
    }
    println!("{RUNS} interleavings: {total:?}");
    assert!(total["runs"] > RUNS as u64 / 4, "{total:?}");
}

#[test]
fn drawn_interleavings_hold_too() {
    property::check(RUNS as u64, |seed: &u64| {
        run(*seed, Without::Nothing).unwrap();
    });
}

#[test]
fn an_open_claim_is_never_swept_and_a_settled_one_is_in_time() {
    let mut world = World::new(0, Without::Nothing);
    let NextStep::Write { claim, .. } = world.begin().next else { panic!("no write") };
    let writer = claim.writer.clone();
    let after = |keep: Duration| keep.as_millis() as u64 + 1;
    assert!(!is_expired(&claim, u64::MAX));
    let ran = claim.with_state(ClaimState::Ran { answer: None }, writer.clone());
    assert!(!is_expired(&ran, after(RAN_CLAIM_RETENTION) - 1));
    assert!(is_expired(&ran, after(RAN_CLAIM_RETENTION)));
    assert!(is_expired(&claim.with_state(ClaimState::NotRun, writer), after(RAN_CLAIM_RETENTION)));
}

#[test]
fn the_interleavings_find_a_second_run_where_a_mechanism_is_left_out() {
    for without in [Without::Claim, Without::ProcessCheck, Without::Tombstone, Without::ReadBack] {
        let fault = first_fault(without);
        println!("{without:?}: {fault:?}");
        assert!(fault.is_some(), "{without:?}");
    }
}
