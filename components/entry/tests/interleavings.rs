//! The entry's and the agents' cores under random interleavings of loss, delay, repetition,
//! crossing, restart, draining and deadlines. A failing seed is printed by bolero.

use std::time::Duration;

use agent::core::{Action, Admission, Core, Cursor, ReadStep, RequestStatus, UpstreamEvent};
use bytes::Bytes;
use clock::{Clock, ManualClock};
use entry::filters::dispatch::{DispatchStatus, DispatchTracker, Event, NextStep};
use errors::Outcome;
use identity::{ConfigVersion, CustomerId, DispatchEpoch, ModelId, RequestId, Tier};
use wire::{Envelope, LoadDigest, ModelCall, RequestKey, ResponseEvent, Work};

const ITERATIONS: u64 = 20_000;
const AGENTS: usize = 3;
const PIECES: u64 = 4;

fn key(id: &str) -> RequestKey {
    RequestKey { customer: CustomerId::new("gate"), request_id: RequestId::new(id) }
}

fn message(key: &RequestKey, epoch: DispatchEpoch) -> wire::Dispatch {
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

fn piece(key: &RequestKey, at: u64) -> Bytes {
    format!("{}{at};", key.request_id).into()
}

/// An agent with its upstream.
struct Host {
    core: Core,
    process: u32,
    running: Vec<(RequestKey, u64)>,
}

impl Host {
    fn new(process: u32) -> Host {
        Host { core: Core::new(1), process, running: Vec::new() }
    }
}

/// Where the entry is with its request.
#[derive(PartialEq)]
enum Doing {
    HandingOver,
    Following(Cursor),
    Asking,
    Done,
}

struct World {
    clock: ManualClock,
    hosts: Vec<Host>,
    key: RequestKey,
    dispatch: DispatchTracker,
    doing: Doing,
    at: usize,
    process: u32,
    /// Hand-overs on their way, each to one process.
    in_flight: Vec<(usize, u32, wire::Dispatch)>,
    last: Option<Envelope>,
    starts: u32,
    taken: Vec<u8>,
    result: Option<NextStep>,
}

impl World {
    fn new() -> World {
        let key = key("own");
        let mut world = World {
            clock: ManualClock::new(),
            hosts: (0..AGENTS).map(|_| Host::new(1)).collect(),
            dispatch: DispatchTracker::new(key.clone(), DispatchEpoch(1)),
            key,
            doing: Doing::HandingOver,
            at: 0,
            process: 1,
            in_flight: Vec::new(),
            last: None,
            starts: 0,
            taken: Vec::new(),
            result: None,
        };
        world.hand_over();
        world
    }

    fn step(&mut self, op: u8) {
        let host = usize::from(op / 16) % AGENTS;
        match op % 16 {
            0 => self.hand_over(),
            1 | 2 => self.deliver_first(),
            3..=5 => self.work(host),
            6..=8 => self.read(),
            9 if op < 128 => self.repeat(|last| last),
            9 => self.repeat(|last| Envelope { key: self::key("other"), ..last }),
            10 => drop(self.next_envelope()),
            11 => self.on_event(Event::ConnectionLost),
            12 => self.ask(),
            13 if op > 200 => self.hosts[host] = Host::new(self.hosts[host].process + 1),
            14 if op > 128 => self.drain(host),
            15 => self.pass_time(op),
            _ => self.ask(),
        }
    }

    fn hand_over(&mut self) {
        if self.doing != Doing::HandingOver {
            return;
        }
        self.process = self.hosts[self.at].process;
        let sent = message(&self.key, self.dispatch.epoch());
        self.in_flight.push((self.at, self.process, sent));
        self.doing = Doing::Following(Cursor::default());
        self.on_event(Event::Sent);
    }

    fn deliver_first(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let (at, process, sent) = self.in_flight.remove(0);
        if self.hosts[at].process != process {
            return;
        }
        let epoch = sent.epoch;
        let (admission, actions) = self.hosts[at].core.dispatch(sent, self.clock.now());
        self.perform(at, actions);
        if let Admission::Refused(refusal) = admission
            && matches!(self.doing, Doing::Following(_))
        {
            let event = ResponseEvent::Refused(refusal);
            self.say(Envelope {
                key: self.key.clone(),
                epoch,
                load: Some(LoadDigest::default()),
                event,
            });
        }
    }

    fn perform(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(started) => {
                    self.starts += 1;
                    self.hosts[at].running.push((started.key, 0));
                }
                Action::Abort(key) => self.hosts[at].running.retain(|(held, _)| *held != key),
                Action::WakeReaders(_) => {}
            }
        }
    }

    /// The upstream of one agent goes one step on.
    fn work(&mut self, at: usize) {
        let Some((key, done)) = self.hosts[at].running.first().cloned() else { return };
        let event = match done {
            0 => UpstreamEvent::Started { status: 200, content_type: String::new() },
            PIECES => UpstreamEvent::Finished,
            done => UpstreamEvent::Data(piece(&key, done)),
        };
        self.hosts[at].running[0].1 += 1;
        if done == PIECES {
            self.hosts[at].running.remove(0);
        }
        let actions = self.hosts[at].core.on_upstream_event(&key, event, self.clock.now());
        self.perform(at, actions);
    }

    fn next_envelope(&mut self) -> Option<Envelope> {
        let Doing::Following(cursor) = &mut self.doing else { return None };
        let host = &self.hosts[self.at];
        if host.process != self.process {
            return None;
        }
        let epoch = self.dispatch.epoch();
        let ReadStep::Event(event) = host.core.read(&self.key, epoch, cursor) else { return None };
        Some(Envelope { key: self.key.clone(), epoch, load: Some(LoadDigest::default()), event })
    }

    fn read(&mut self) {
        if let Some(envelope) = self.next_envelope() {
            self.say(envelope);
        }
    }

    fn say(&mut self, envelope: Envelope) {
        self.last = Some(envelope.clone());
        self.on_event(Event::Received(envelope));
    }

    /// The last event comes once more, altered.
    fn repeat(&mut self, alter: impl FnOnce(Envelope) -> Envelope) {
        if let (Some(last), Doing::Following(_)) = (self.last.clone(), &self.doing) {
            let mut altered = alter(last);
            if altered.key != self.key
                && let ResponseEvent::Data { offset_bytes, bytes } = &mut altered.event
            {
                *offset_bytes += bytes.len() as u64;
            }
            self.on_event(Event::Received(altered));
        }
    }

    fn ask(&mut self) {
        if self.doing == Doing::Asking {
            let status = self.settle(false);
            self.on_event(Event::StatusReceived(status));
        }
    }

    fn settle(&mut self, cancel: bool) -> DispatchStatus {
        let host = &mut self.hosts[self.at];
        if host.process != self.process {
            return DispatchStatus::ProcessGone;
        }
        let (epoch, now) = (self.dispatch.epoch(), self.clock.now());
        let (status, actions) = if cancel {
            host.core.cancel(&self.key, epoch, now)
        } else {
            (host.core.status_or_withdraw(&self.key, epoch, now), Vec::new())
        };
        self.perform(self.at, actions);
        match status {
            RequestStatus::Withdrawn | RequestStatus::NotRun => DispatchStatus::NotRun,
            RequestStatus::Queued if cancel => DispatchStatus::NotRun,
            RequestStatus::Queued => DispatchStatus::Held,
            RequestStatus::Running => DispatchStatus::Running,
            RequestStatus::Finished => DispatchStatus::Finished,
        }
    }

    fn drain(&mut self, at: usize) {
        let actions = self.hosts[at].core.drain(self.clock.now());
        self.perform(at, actions);
    }

    fn pass_time(&mut self, op: u8) {
        self.clock.advance(Duration::from_secs(u64::from(op / 16)));
        for at in 0..AGENTS {
            let actions = self.hosts[at].core.on_tick(self.clock.now());
            self.perform(at, actions);
        }
        if op > 0xE0 && matches!(self.doing, Doing::Following(_) | Doing::Asking) {
            let status = self.settle(true);
            self.on_event(Event::DeadlinePassed(Some(status)));
        }
    }

    fn on_event(&mut self, event: Event) {
        if matches!(self.doing, Doing::Done | Doing::HandingOver) {
            return;
        }
        match self.dispatch.on_event(event) {
            NextStep::Wait | NextStep::Head { .. } => {}
            NextStep::Data(bytes) => self.taken.extend_from_slice(&bytes),
            NextStep::QueryAgent { .. } => self.doing = Doing::Asking,
            NextStep::Attach { offset_bytes } => {
                self.doing = Doing::Following(Cursor::at(offset_bytes))
            }
            NextStep::PlaceAgain | NextStep::RegisterAgain => {
                self.at = (self.at + 1) % AGENTS;
                self.dispatch.track_dispatch(DispatchEpoch(self.dispatch.epoch().0 + 1));
                self.doing = Doing::HandingOver;
            }
            end @ (NextStep::Complete | NextStep::Reject(_)) => {
                self.result = Some(end);
                self.doing = Doing::Done;
            }
        }
    }

    /// Whatever is still on its way arrives, and whatever waits gets its turn.
    fn check(&mut self) {
        while !self.in_flight.is_empty() {
            self.deliver_first();
        }
        for at in 0..AGENTS {
            (0..=PIECES).for_each(|_| self.work(at));
        }
        assert!(self.starts <= 1, "started {} times", self.starts);
        match &self.result {
            Some(NextStep::Reject(refusal)) if refusal.outcome == Outcome::NotRun => {
                assert_eq!(self.starts, 0, "not_run that ran: {refusal}");
            }
            Some(NextStep::Complete) => {
                let whole: Vec<u8> = (1..PIECES).flat_map(|at| piece(&self.key, at)).collect();
                assert_eq!(self.taken, whole, "an answer that is not whole or not its own");
            }
            _ => {}
        }
    }
}

#[test]
fn a_request_runs_at_most_once_and_its_answer_is_whole_and_its_own() {
    property::check(ITERATIONS, |ops: &Vec<u8>| {
        let mut world = World::new();
        ops.iter().for_each(|op| world.step(*op));
        world.check();
    });
}
