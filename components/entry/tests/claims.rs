//! Simulated interleavings of entries, agents and the store around one idempotency key, random by
//! seed. They guard against a call that runs twice, and against a `not_run` reported for a call
//! that ran. Store outages, lost replies, delayed writes and dispatches, restarted agents and
//! crashed entries bring these about.

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
const STEPS_PER_SIMULATION: usize = 160;
const SIMULATIONS: usize = 3_000;

/// Number of calls that an agent's ledger keeps; small, so that some are evicted.
const CALL_LEDGER_CAPACITY: usize = 3;

/// The safeguard that is left out, to show that the simulation detects its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DisabledSafeguard {
    None,
    /// Dispatches whatever the result of the claim write.
    Claim,
    /// Accepts the status of a call from any agent process, not only from the claim's.
    ProcessCheck,
    /// The agent does not remember which calls it withdrew on a query.
    Tombstone,
    /// Assumes that a write without a reply took effect.
    ReadBack,
}

/// Number of occurrences of each kind of event.
type Counts = BTreeMap<&'static str, u64>;

/// An agent process.
struct SimulatedAgent {
    process: ProcessId,
    call_ledger: CallLedger,
    core: Core,
    running: Vec<RequestKey>,
}

/// A request at an entry.
struct SimulatedRequest {
    acquisition: ClaimAcquisition,
    next_step: NextStep,
    /// Keys of the dispatches that this request may have caused.
    dispatched: HashSet<RequestKey>,
    tracked_dispatch: Option<(usize, Box<Claim>, Revision)>,
}

/// All processes, the store and the network between them.
struct Simulation {
    rng: ChaCha8Rng,
    disabled: DisabledSafeguard,
    clock: ManualClock,
    /// The claim in the store.
    stored_claim: Option<(Revision, Claim)>,
    revision: u64,
    delayed_writes: Vec<(Claim, Option<Revision>)>,
    delayed_dispatches: Vec<(usize, Dispatch, wire::Claim)>,
    agents: Vec<SimulatedAgent>,
    entries: Vec<Option<SimulatedRequest>>,
    process_count: u64,
    /// Calls sent to the service, except those known not to have reached it.
    started: Vec<RequestKey>,
    /// Calls reported to a caller as not run; they must never start.
    reported_not_run: HashSet<RequestKey>,
    counts: Counts,
}

fn booking_call() -> ServiceCall {
    ServiceCall {
        service: ServiceId::new("desk"),
        method: "POST".to_owned(),
        target: "/bookings".to_owned(),
        content_type: String::new(),
        idempotency_key: "pitch-a17".to_owned(),
        body: Bytes::from_static(b"{}"),
    }
}

fn lost_reply() -> StoreError {
    StoreError::Unknown("no reply".to_owned())
}

impl Simulation {
    fn new(seed: u64, disabled: DisabledSafeguard) -> Simulation {
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            disabled,
            clock: ManualClock::new(),
            stored_claim: None,
            revision: 10,
            delayed_writes: Vec::new(),
            delayed_dispatches: Vec::new(),
            agents: Vec::new(),
            entries: (0..ENTRIES).map(|_| None).collect(),
            process_count: 0,
            started: Vec::new(),
            reported_not_run: HashSet::new(),
            counts: Counts::default(),
        };
        for _ in 0..AGENTS {
            let agent = simulation.new_agent();
            simulation.agents.push(agent);
        }
        simulation
    }

    fn count(&mut self, event: &'static str) {
        *self.counts.entry(event).or_default() += 1;
    }

    fn random_below(&mut self, below: usize) -> usize {
        self.rng.next_u32() as usize % below
    }

    fn happens_one_in(&mut self, one_in: usize) -> bool {
        self.random_below(one_in) == 0
    }

    fn new_process(&mut self) -> ProcessId {
        self.process_count += 1;
        ProcessId::new(format!("p{}", self.process_count))
    }

    fn new_agent(&mut self) -> SimulatedAgent {
        let process = self.new_process();
        let call_ledger = CallLedger::new(process.clone(), CALL_LEDGER_CAPACITY);
        SimulatedAgent { process, call_ledger, core: Core::new(2), running: Vec::new() }
    }

    fn step(&mut self) -> Result<(), String> {
        match self.random_below(20) {
            0 => self.apply_delayed_write(),
            1 => self.deliver_delayed_dispatch()?,
            2 | 3 => self.finish_call(),
            4 if self.happens_one_in(6) => {
                self.count("agent_restarts");
                let index = self.random_below(AGENTS);
                self.agents[index] = self.new_agent();
            }
            5 if self.happens_one_in(4) => {
                self.count("entry_crashes");
                let index = self.random_below(ENTRIES);
                self.entries[index] = None;
            }
            6 => self.clock.advance(Duration::from_millis(300)),
            _ => {
                let entry = self.random_below(ENTRIES);
                self.step_entry(entry)?;
            }
        }
        Ok(())
    }

    fn apply_delayed_write(&mut self) {
        let index = self.random_below(self.delayed_writes.len().max(1));
        if index < self.delayed_writes.len() {
            let (claim, expected) = self.delayed_writes.swap_remove(index);
            self.compare_and_swap(claim, expected);
        }
    }

    fn compare_and_swap(&mut self, claim: Claim, expected: Option<Revision>) -> SwapResult {
        let found = self.stored_claim.as_ref().map(|(revision, _)| *revision);
        if found != expected {
            return SwapResult::Conflict(found);
        }
        self.revision += 1;
        self.stored_claim = Some((Revision(self.revision), claim));
        SwapResult::Written(Revision(self.revision))
    }

    fn write(
        &mut self,
        claim: Claim,
        expected: Option<Revision>,
    ) -> Result<SwapResult, StoreError> {
        match self.random_below(6) {
            0 => {
                self.count("outages");
                Err(StoreError::Unavailable("outage".to_owned()))
            }
            1 => {
                self.count("lost_replies");
                self.compare_and_swap(claim, expected);
                Err(lost_reply())
            }
            2 => {
                self.count("delayed_writes");
                self.delayed_writes.push((claim, expected));
                Err(lost_reply())
            }
            _ => Ok(self.compare_and_swap(claim, expected)),
        }
    }

    fn start_request(&mut self) -> SimulatedRequest {
        self.count("requests");
        let process = self.new_process();
        let request = ClaimRequest {
            customer: CustomerId::new("seller"),
            idempotency_key: booking_call().idempotency_key,
            call_sha256: call_digest(&booking_call()),
            process,
            deadline: self.clock.now() + Duration::from_secs(30),
        };
        let mut acquisition = ClaimAcquisition::new(request, self.clock.now());
        let next_step = self.place_request(&mut acquisition);
        SimulatedRequest {
            acquisition,
            next_step,
            dispatched: HashSet::new(),
            tracked_dispatch: None,
        }
    }

    fn place_request(&mut self, acquisition: &mut ClaimAcquisition) -> NextStep {
        if self.happens_one_in(12) {
            let refusal = Refusal::not_run(ResultCode::NoUpstream);
            return acquisition.on_event(Event::NoUpstream(refusal), self.clock.now());
        }
        let index = self.random_below(AGENTS);
        let event = Event::Placed {
            upstream: UpstreamId::new(index.to_string()),
            agent_process: self.agents[index].process.clone(),
            nonce: self.rng.next_u64(),
            wall_ms: 0,
        };
        acquisition.on_event(event, self.clock.now())
    }

    fn step_entry(&mut self, index: usize) -> Result<(), String> {
        let mut request = match self.entries[index].take() {
            Some(request) => request,
            None => self.start_request(),
        };
        if self.advance_request(&mut request)? {
            self.entries[index] = Some(request);
        }
        Ok(())
    }

    /// Carries out the next step of the request; returns `false` if the request has ended.
    fn advance_request(&mut self, request: &mut SimulatedRequest) -> Result<bool, String> {
        if request.tracked_dispatch.is_some() {
            return Ok(self.poll_dispatch(request));
        }
        let event = match request.next_step.clone() {
            NextStep::Write { claim, expected } => self.write_claim_event(*claim, expected),
            NextStep::Read if self.happens_one_in(8) => Event::Read(Err(lost_reply())),
            NextStep::Read => {
                let found = self.stored_claim.clone();
                Event::Read(Ok(found.map(|(revision, claim)| (revision, Box::new(claim)))))
            }
            NextStep::Pause(pause) => {
                self.clock.advance(pause);
                Event::PauseEnded
            }
            NextStep::QueryAgent { claim, revision } => {
                Event::StatusReceived(self.query_agent(&claim, revision))
            }
            NextStep::Dispatch { claim, revision } => {
                return self.dispatch_call(request, claim, revision);
            }
            NextStep::Attach { claim, revision } => {
                request.dispatched.insert(claim.request_key(revision));
                request.tracked_dispatch = Some((agent_index(&claim), claim, revision));
                return Ok(true);
            }
            NextStep::RecordRan { claim, revision } => {
                self.record_outcome(&claim, revision, ClaimState::Ran { answer: None });
                return Ok(false);
            }
            NextStep::Replay(_) | NextStep::Reject(_) => return Ok(false),
        };
        request.next_step = request.acquisition.on_event(event, self.clock.now());
        if let NextStep::Reject(refusal) = &request.next_step {
            self.check_refusal(request, refusal)?;
        }
        Ok(true)
    }

    fn write_claim_event(&mut self, claim: Claim, expected: Option<Revision>) -> Event {
        let result = self.write(claim, expected);
        let reply_lost = matches!(result, Err(StoreError::Unknown(_)));
        let assume_written = self.disabled == DisabledSafeguard::Claim
            || self.disabled == DisabledSafeguard::ReadBack && reply_lost;
        if assume_written {
            self.revision += 1;
            return Event::Wrote(Ok(SwapResult::Written(Revision(self.revision))));
        }
        Event::Wrote(result)
    }

    fn dispatch_call(
        &mut self,
        request: &mut SimulatedRequest,
        claim: Box<Claim>,
        revision: Revision,
    ) -> Result<bool, String> {
        let index = agent_index(&claim);
        let key = claim.request_key(revision);
        request.dispatched.insert(key.clone());
        let message = build_dispatch(&key);
        let agent_claim = claim.to_agent_claim(revision);
        let is_delayed = self.happens_one_in(5);
        if is_delayed {
            self.count("delayed_dispatches");
            self.delayed_dispatches.push((index, message.clone(), agent_claim.clone()));
        }
        if is_delayed || self.deliver_dispatch(index, message, agent_claim)? {
            request.tracked_dispatch = Some((index, claim, revision));
        } else {
            request.next_step = self.place_request(&mut request.acquisition);
        }
        Ok(true)
    }

    fn deliver_delayed_dispatch(&mut self) -> Result<(), String> {
        if self.delayed_dispatches.is_empty() {
            return Ok(());
        }
        let at = self.random_below(self.delayed_dispatches.len());
        let (index, message, claim) = self.delayed_dispatches.swap_remove(at);
        self.deliver_dispatch(index, message, claim).map(|_| ())
    }

    /// Admits a dispatch as the agent's runtime does; returns `false` if it is refused.
    fn deliver_dispatch(
        &mut self,
        index: usize,
        message: Dispatch,
        mut claim: wire::Claim,
    ) -> Result<bool, String> {
        let now = self.clock.now();
        let agent = &mut self.agents[index];
        if self.disabled == DisabledSafeguard::ProcessCheck {
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
            self.start_call(key)?;
        }
        Ok(true)
    }

    fn start_call(&mut self, key: RequestKey) -> Result<(), String> {
        if self.reported_not_run.contains(&key) {
            return Err(format!("{} ran after it was reported as not_run", key.request_id));
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
        let index = self.random_below(AGENTS);
        let Some(key) = self.agents[index].running.pop() else { return };
        let event = match self.random_below(4) {
            0 => UpstreamEvent::NotReached("refused".to_owned()),
            1 => UpstreamEvent::Failed("connection reset".to_owned()),
            _ => UpstreamEvent::Finished,
        };
        if matches!(event, UpstreamEvent::NotReached(_)) {
            self.started.retain(|started| *started != key);
            self.count("not_reached");
        }
        self.agents[index].call_ledger.on_upstream_event(&key, &event);
        self.agents[index].core.on_upstream_event(&key, event, now);
        if self.happens_one_in(3) {
            // After this time, the core has dropped the response and its record.
            self.clock.advance(Duration::from_secs(1000));
            self.agents[index].core.on_tick(self.clock.now());
        }
    }

    fn query_agent(&mut self, claim: &Claim, revision: Revision) -> ClaimStatus {
        if self.happens_one_in(6) {
            return ClaimStatus::Unreachable;
        }
        let now = self.clock.now();
        let key = claim.request_key(revision);
        let disabled = self.disabled;
        let agent = &mut self.agents[agent_index(claim)];
        let process = match disabled {
            DisabledSafeguard::ProcessCheck => claim.agent_process.clone(),
            _ => agent.process.clone(),
        };
        let core = agent.core.status_or_withdraw(&key, CLAIMED_EPOCH, now);
        let status =
            agent.call_ledger.status_or_withdraw(&key, &claim.to_agent_claim(revision), core);
        if disabled == DisabledSafeguard::Tombstone
            && status == CallStatus::Known(RequestStatus::Withdrawn)
        {
            agent.call_ledger = CallLedger::new(agent.process.clone(), CALL_LEDGER_CAPACITY);
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

    /// Queries the status of a dispatched request once; returns `false` if the request has ended.
    fn poll_dispatch(&mut self, request: &mut SimulatedRequest) -> bool {
        let Some((index, claim, revision)) = request.tracked_dispatch.clone() else { return true };
        let status = self.query_agent(&claim, revision);
        match status {
            ClaimStatus::Held(process) if process == claim.agent_process => {
                if self.agents[index].running.contains(&claim.request_key(revision)) {
                    return true;
                }
                self.record_outcome(&claim, revision, ClaimState::Ran { answer: None });
                false
            }
            ClaimStatus::NotRun(process) if process == claim.agent_process => {
                request.tracked_dispatch = None;
                request.next_step = self.place_request(&mut request.acquisition);
                true
            }
            ClaimStatus::Unreachable => true,
            _ => false,
        }
    }

    fn record_outcome(&mut self, claim: &Claim, revision: Revision, state: ClaimState) {
        let writer = Writer { process: self.new_process(), nonce: 0 };
        let updated = claim.with_state(state, writer);
        let _ = self.write(updated, Some(revision));
    }

    fn check_refusal(
        &mut self,
        request: &SimulatedRequest,
        refusal: &Refusal,
    ) -> Result<(), String> {
        if refusal.outcome != Outcome::NotRun {
            return Ok(());
        }
        self.count("not_run");
        self.reported_not_run.extend(request.dispatched.iter().cloned());
        let own_ran = self.started.iter().any(|key| request.dispatched.contains(key));
        // While the store is down, the outcome of an earlier request with the key is not known.
        let any_ran = refusal.code != ResultCode::StoreUnavailable && !self.started.is_empty();
        if own_ran || any_ran {
            return Err(format!("{refusal} was reported as not_run although the call ran"));
        }
        if let Some((revision, claim)) = request.acquisition.held_claim() {
            self.record_outcome(&claim.clone(), revision, ClaimState::NotRun);
        }
        if let Some(claim) = request.acquisition.abandoned_claim() {
            self.release_claim(&claim.clone());
        }
        Ok(())
    }

    fn release_claim(&mut self, claim: &Claim) {
        let Some((revision, found)) = self.stored_claim.clone() else { return };
        if found.writer == claim.writer && found.state == ClaimState::Claimed {
            self.record_outcome(&found, revision, ClaimState::NotRun);
        }
    }
}

fn agent_index(claim: &Claim) -> usize {
    claim.upstream.as_str().parse().expect("upstreams are numbered")
}

fn build_dispatch(key: &RequestKey) -> Dispatch {
    Dispatch {
        key: key.clone(),
        epoch: CLAIMED_EPOCH,
        tier: Tier(1),
        time_left: Duration::from_secs(30),
        config_version: ConfigVersion(1),
        work: Work::Service(booking_call()),
        process: None,
        registration: None,
    }
}

fn run_simulation(seed: u64, disabled: DisabledSafeguard) -> Result<Counts, String> {
    let mut simulation = Simulation::new(seed, disabled);
    for _ in 0..STEPS_PER_SIMULATION {
        simulation.step().map_err(|fault| format!("seed {seed}: {fault}"))?;
    }
    Ok(simulation.counts)
}

/// Runs the seeds below `SIMULATIONS` and returns the first violation that is found.
fn first_fault(disabled: DisabledSafeguard) -> Option<String> {
    (0..SIMULATIONS as u64).find_map(|seed| run_simulation(seed, disabled).err())
}

/// Guards against a second run of a call, and against a run after `not_run` was reported.
#[test]
fn call_runs_at_most_once_and_never_after_not_run_in_seeded_interleavings() {
    let mut total = Counts::default();
    for seed in 0..SIMULATIONS as u64 {
        for (event, count) in run_simulation(seed, DisabledSafeguard::None).unwrap() {
            *total.entry(event).or_default() += count;
        }
    }
    println!("{SIMULATIONS} interleavings: {total:?}");
    assert!(total["runs"] > SIMULATIONS as u64 / 4, "{total:?}");
}

/// The same check with other seeds, generated by bolero.
#[test]
fn call_runs_at_most_once_and_never_after_not_run_in_generated_interleavings() {
    property::check(SIMULATIONS as u64, |seed: &u64| {
        run_simulation(*seed, DisabledSafeguard::None).unwrap();
    });
}

/// Guards against removing an open claim, after which its call could run again.
#[test]
fn open_claim_never_expires_and_settled_claim_expires_after_its_retention() {
    let mut simulation = Simulation::new(0, DisabledSafeguard::None);
    let NextStep::Write { claim, .. } = simulation.start_request().next_step else {
        panic!("no write")
    };
    let writer = claim.writer.clone();
    let age_after = |retention: Duration| retention.as_millis() as u64 + 1;
    assert!(!is_expired(&claim, u64::MAX));
    let ran = claim.with_state(ClaimState::Ran { answer: None }, writer.clone());
    assert!(!is_expired(&ran, age_after(RAN_CLAIM_RETENTION) - 1));
    assert!(is_expired(&ran, age_after(RAN_CLAIM_RETENTION)));
    assert!(is_expired(
        &claim.with_state(ClaimState::NotRun, writer),
        age_after(RAN_CLAIM_RETENTION)
    ));
}

/// Guards against a simulation that passes because it never reaches the critical interleavings.
#[test]
fn simulation_detects_a_violation_when_a_safeguard_is_disabled() {
    for disabled in [
        DisabledSafeguard::Claim,
        DisabledSafeguard::ProcessCheck,
        DisabledSafeguard::Tombstone,
        DisabledSafeguard::ReadBack,
    ] {
        let fault = first_fault(disabled);
        println!("{disabled:?}: {fault:?}");
        assert!(fault.is_some(), "{disabled:?}");
    }
}
