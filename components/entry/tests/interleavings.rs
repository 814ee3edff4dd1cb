//! The dispatch tracker of an entry and the cores of agents under random interleavings. They guard
//! against a request that runs twice, a `not_run` reported for a request that ran, and a response
//! that is incomplete or belongs to another request. Lost and delayed messages, repeated events,
//! events of another request, restarts, draining and deadlines bring these about. The seed of a
//! failing case is printed.

use std::time::Duration;

use agent::core::{Action, Admission, Core, Cursor, ReadStep, RequestStatus, UpstreamEvent};
use bytes::Bytes;
use clock::{Clock, ManualClock};
use entry::filters::dispatch::{DispatchStatus, DispatchTracker, Event, NextStep};
use errors::Outcome;
use identity::{ConfigVersion, CustomerId, DispatchEpoch, ModelId, RequestId, Tier};
use wire::{Envelope, LoadDigest, ModelCall, RequestKey, ResponseEvent, Work};

const PROPERTY_CASES: u64 = 20_000;
const AGENTS: usize = 3;
const CHUNKS: u64 = 4;

fn key(id: &str) -> RequestKey {
    RequestKey { customer: CustomerId::new("gate"), request_id: RequestId::new(id) }
}

fn build_dispatch(key: &RequestKey, epoch: DispatchEpoch) -> wire::Dispatch {
    let call =
        ModelCall { model: ModelId::new("m"), body: Bytes::new(), prompt_tokens: 8, max_tokens: 8 };
    wire::Dispatch {
        key: key.clone(),
        epoch,
        tier: Tier(0),
        time_left: Duration::from_secs(30),
        config_version: ConfigVersion(1),
        work: Work::Model(call),
        process: None,
        registration: None,
    }
}

fn response_chunk(key: &RequestKey, number: u64) -> Bytes {
    format!("{}{number};", key.request_id).into()
}

/// An agent process with its upstream.
struct SimulatedAgent {
    core: Core,
    process: u32,
    running: Vec<(RequestKey, u64)>,
}

impl SimulatedAgent {
    fn new(process: u32) -> SimulatedAgent {
        SimulatedAgent { core: Core::new(1), process, running: Vec::new() }
    }
}

/// Progress of the request at the entry.
#[derive(PartialEq)]
enum TrackingState {
    Dispatching,
    Reading(Cursor),
    QueryingAgent,
    Done,
}

/// One entry with one request, the agents, and the dispatches between them.
struct Simulation {
    clock: ManualClock,
    agents: Vec<SimulatedAgent>,
    key: RequestKey,
    tracker: DispatchTracker,
    state: TrackingState,
    /// The agent that the request was dispatched to, and its process at that time.
    agent_index: usize,
    process: u32,
    /// Dispatches in flight, each to one agent process.
    in_flight: Vec<(usize, u32, wire::Dispatch)>,
    last_event: Option<Envelope>,
    starts: u32,
    received_bytes: Vec<u8>,
    result: Option<NextStep>,
}

impl Simulation {
    fn new() -> Simulation {
        let key = key("own");
        let mut simulation = Simulation {
            clock: ManualClock::new(),
            agents: (0..AGENTS).map(|_| SimulatedAgent::new(1)).collect(),
            tracker: DispatchTracker::new(key.clone(), DispatchEpoch(1)),
            key,
            state: TrackingState::Dispatching,
            agent_index: 0,
            process: 1,
            in_flight: Vec::new(),
            last_event: None,
            starts: 0,
            received_bytes: Vec::new(),
            result: None,
        };
        simulation.dispatch_request();
        simulation
    }

    fn step(&mut self, op: u8) {
        let agent = usize::from(op / 16) % AGENTS;
        match op % 16 {
            0 => self.dispatch_request(),
            1 | 2 => self.deliver_dispatch(),
            3..=5 => self.advance_upstream(agent),
            6..=8 => self.read_event(),
            9 if op < 128 => self.repeat_last_event(|last_event| last_event),
            9 => self
                .repeat_last_event(|last_event| Envelope { key: self::key("other"), ..last_event }),
            10 => drop(self.next_envelope()),
            11 => self.on_event(Event::ConnectionLost),
            12 => self.query_agent(),
            13 if op > 200 => {
                self.agents[agent] = SimulatedAgent::new(self.agents[agent].process + 1)
            }
            14 if op > 128 => self.drain_agent(agent),
            15 => self.advance_clock(op),
            _ => self.query_agent(),
        }
    }

    fn dispatch_request(&mut self) {
        if self.state != TrackingState::Dispatching {
            return;
        }
        self.process = self.agents[self.agent_index].process;
        let sent = build_dispatch(&self.key, self.tracker.epoch());
        self.in_flight.push((self.agent_index, self.process, sent));
        self.state = TrackingState::Reading(Cursor::default());
        self.on_event(Event::Sent);
    }

    fn deliver_dispatch(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let (agent_index, process, sent) = self.in_flight.remove(0);
        if self.agents[agent_index].process != process {
            return;
        }
        let epoch = sent.epoch;
        let (admission, actions) = self.agents[agent_index].core.dispatch(sent, self.clock.now());
        self.apply_actions(agent_index, actions);
        if let Admission::Refused(refusal) = admission
            && matches!(self.state, TrackingState::Reading(_))
        {
            let event = ResponseEvent::Refused(refusal);
            self.receive_event(Envelope {
                key: self.key.clone(),
                epoch,
                load: Some(LoadDigest::default()),
                event,
            });
        }
    }

    fn apply_actions(&mut self, agent_index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(started) => {
                    self.starts += 1;
                    self.agents[agent_index].running.push((started.key, 0));
                }
                Action::Abort(key) => {
                    self.agents[agent_index].running.retain(|(held, _)| *held != key)
                }
                Action::WakeReaders(_) => {}
            }
        }
    }

    /// The upstream of one agent produces its next event.
    fn advance_upstream(&mut self, agent_index: usize) {
        let Some((key, done)) = self.agents[agent_index].running.first().cloned() else { return };
        let event = match done {
            0 => UpstreamEvent::Started { status: 200, content_type: String::new() },
            CHUNKS => UpstreamEvent::Finished,
            done => UpstreamEvent::Data(response_chunk(&key, done)),
        };
        self.agents[agent_index].running[0].1 += 1;
        if done == CHUNKS {
            self.agents[agent_index].running.remove(0);
        }
        let actions =
            self.agents[agent_index].core.on_upstream_event(&key, event, self.clock.now());
        self.apply_actions(agent_index, actions);
    }

    fn next_envelope(&mut self) -> Option<Envelope> {
        let TrackingState::Reading(cursor) = &mut self.state else { return None };
        let agent = &self.agents[self.agent_index];
        if agent.process != self.process {
            return None;
        }
        let epoch = self.tracker.epoch();
        let ReadStep::Event(event) = agent.core.read(&self.key, epoch, cursor) else { return None };
        Some(Envelope { key: self.key.clone(), epoch, load: Some(LoadDigest::default()), event })
    }

    fn read_event(&mut self) {
        if let Some(envelope) = self.next_envelope() {
            self.receive_event(envelope);
        }
    }

    fn receive_event(&mut self, envelope: Envelope) {
        self.last_event = Some(envelope.clone());
        self.on_event(Event::Received(envelope));
    }

    /// Delivers the last event again, altered.
    fn repeat_last_event(&mut self, alter: impl FnOnce(Envelope) -> Envelope) {
        if let (Some(last_event), TrackingState::Reading(_)) =
            (self.last_event.clone(), &self.state)
        {
            let mut altered = alter(last_event);
            if altered.key != self.key
                && let ResponseEvent::Data { offset_bytes, bytes } = &mut altered.event
            {
                *offset_bytes += bytes.len() as u64;
            }
            self.on_event(Event::Received(altered));
        }
    }

    fn query_agent(&mut self) {
        if self.state == TrackingState::QueryingAgent {
            let status = self.query_status(false);
            self.on_event(Event::StatusReceived(status));
        }
    }

    fn query_status(&mut self, cancel: bool) -> DispatchStatus {
        let agent = &mut self.agents[self.agent_index];
        if agent.process != self.process {
            return DispatchStatus::ProcessGone;
        }
        let (epoch, now) = (self.tracker.epoch(), self.clock.now());
        let (status, actions) = if cancel {
            agent.core.cancel(&self.key, epoch, now)
        } else {
            (agent.core.status_or_withdraw(&self.key, epoch, now), Vec::new())
        };
        self.apply_actions(self.agent_index, actions);
        match status {
            RequestStatus::Withdrawn | RequestStatus::NotRun => DispatchStatus::NotRun,
            RequestStatus::Queued if cancel => DispatchStatus::NotRun,
            RequestStatus::Queued => DispatchStatus::Held,
            RequestStatus::Running => DispatchStatus::Running,
            RequestStatus::Finished => DispatchStatus::Finished,
        }
    }

    fn drain_agent(&mut self, agent_index: usize) {
        let actions = self.agents[agent_index].core.drain(self.clock.now());
        self.apply_actions(agent_index, actions);
    }

    fn advance_clock(&mut self, op: u8) {
        self.clock.advance(Duration::from_secs(u64::from(op / 16)));
        for agent_index in 0..AGENTS {
            let actions = self.agents[agent_index].core.on_tick(self.clock.now());
            self.apply_actions(agent_index, actions);
        }
        if op > 0xE0
            && matches!(self.state, TrackingState::Reading(_) | TrackingState::QueryingAgent)
        {
            let status = self.query_status(true);
            self.on_event(Event::DeadlinePassed(Some(status)));
        }
    }

    fn on_event(&mut self, event: Event) {
        if matches!(self.state, TrackingState::Done | TrackingState::Dispatching) {
            return;
        }
        match self.tracker.on_event(event) {
            NextStep::Wait | NextStep::Head { .. } => {}
            NextStep::Data(bytes) => self.received_bytes.extend_from_slice(&bytes),
            NextStep::QueryAgent { .. } => self.state = TrackingState::QueryingAgent,
            NextStep::Attach { offset_bytes } => {
                self.state = TrackingState::Reading(Cursor::at(offset_bytes))
            }
            NextStep::PlaceAgain | NextStep::RegisterAgain => {
                self.agent_index = (self.agent_index + 1) % AGENTS;
                self.tracker.track_dispatch(DispatchEpoch(self.tracker.epoch().0 + 1));
                self.state = TrackingState::Dispatching;
            }
            result @ (NextStep::Complete | NextStep::Reject(_)) => {
                self.result = Some(result);
                self.state = TrackingState::Done;
            }
        }
    }

    /// Delivers all dispatches in flight, lets every queued request run, and checks the invariants.
    fn check_invariants(&mut self) {
        while !self.in_flight.is_empty() {
            self.deliver_dispatch();
        }
        for agent_index in 0..AGENTS {
            (0..=CHUNKS).for_each(|_| self.advance_upstream(agent_index));
        }
        assert!(self.starts <= 1, "started {} times", self.starts);
        match &self.result {
            Some(NextStep::Reject(refusal)) if refusal.outcome == Outcome::NotRun => {
                assert_eq!(self.starts, 0, "reported as not_run although it ran: {refusal}");
            }
            Some(NextStep::Complete) => {
                let expected: Vec<u8> =
                    (1..CHUNKS).flat_map(|number| response_chunk(&self.key, number)).collect();
                assert_eq!(
                    self.received_bytes, expected,
                    "response is incomplete or belongs to another request"
                );
            }
            _ => {}
        }
    }
}

/// Guards against a second run, a wrong `not_run` and a wrong or incomplete response.
#[test]
fn request_runs_at_most_once_and_gets_its_own_complete_response() {
    property::check(PROPERTY_CASES, |ops: &Vec<u8>| {
        let mut simulation = Simulation::new();
        ops.iter().for_each(|op| simulation.step(*op));
        simulation.check_invariants();
    });
}
