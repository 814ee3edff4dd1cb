//! The replay: events in the order of simulated time.

mod endings;
mod entry;
mod faults;
mod upstream;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use agent::core::{Action, Admission, AgentRules, UpstreamEvent};
use bytes::Bytes;
use identity::{CustomerId, RequestId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schedule::placement::PlacementRules;
use wire::{LoadDigest, RequestKey};

use crate::engine::Output;
use crate::figures::{Figures, Recorder, RequestOutcome};
use crate::policy::Policy;
use crate::trace::Trace;
use entry::EntryState;
use upstream::{UpstreamState, dispatch_of};

/// How often an agent is told the time.
const TICK_US: u64 = 100_000;

/// How often load is sampled for reports.
const SAMPLE_US: u64 = 1_000_000;

/// Time for a message from an entry to an agent.
const HOP_US: u64 = 500;

/// Time until the entries know that an upstream does not answer.
const DETECTION_US: u64 = 2_000_000;

/// How often a request may be placed.
const PLACEMENT_LIMIT: u32 = 4;

/// How a trace is replayed.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Who places.
    pub policy: Policy,
    /// Age of a load report when entries read it.
    pub report_age: Duration,
    /// Entry hosts.
    pub entries: usize,
    /// Rules of placement.
    pub placement_rules: PlacementRules,
    /// Rules of the agents.
    pub agent_rules: AgentRules,
    /// Seed of what is drawn during the replay.
    pub seed: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Fault(usize),
    Unreachable(usize),
    Step(usize),
    Reach { request: usize, upstream: usize },
    Deadline(usize),
    Arrive(usize),
    Tick,
    Sample,
    Report(usize),
}

/// A request during the replay.
#[derive(Debug, Clone, Default)]
struct Run {
    entry: usize,
    upstream: Option<usize>,
    excluded: Vec<usize>,
    placements: u32,
    last_token_us: Option<u64>,
    ended: bool,
}

struct Simulation<'a> {
    trace: &'a Trace,
    options: Options,
    origin: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    upstreams: Vec<UpstreamState>,
    entries: Vec<EntryState>,
    runs: Vec<Run>,
    samples: Vec<(u64, Vec<LoadDigest>)>,
    /// Tokens of each session's prefix that were computed anywhere.
    computed_prefixes: HashMap<u32, u32>,
    recorder: Recorder,
}

/// Replays a trace and measures.
pub fn replay(trace: &Trace, options: Options) -> Figures {
    let mut simulation = Simulation::new(trace, options);
    simulation.run();
    simulation.recorder.figures()
}

impl<'a> Simulation<'a> {
    fn new(trace: &'a Trace, options: Options) -> Simulation<'a> {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        let runs = trace
            .requests
            .iter()
            .map(|_| Run { entry: random.random_range(0..options.entries), ..Run::default() })
            .collect();
        let entry = |index: usize| EntryState::new(&trace.upstreams, index as u64, options);
        let mut simulation = Simulation {
            trace,
            options,
            origin: Instant::now(),
            now_us: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            upstreams: trace
                .upstreams
                .iter()
                .map(|spec| UpstreamState::new(spec, options))
                .collect(),
            entries: (0..options.entries).map(entry).collect(),
            runs,
            samples: Vec::new(),
            computed_prefixes: HashMap::new(),
            recorder: Recorder::new(),
        };
        simulation.push_first_events();
        simulation
    }

    fn push_first_events(&mut self) {
        for (index, request) in self.trace.requests.iter().enumerate() {
            self.push(request.at_us, Event::Arrive(index));
            self.push(request.at_us + request.deadline_ms * 1_000, Event::Deadline(index));
        }
        for (index, fault) in self.trace.faults.iter().enumerate() {
            self.push(fault.at_us, Event::Fault(index));
        }
        self.push(0, Event::Sample);
        self.push(TICK_US, Event::Tick);
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_micros(self.now_us)
    }

    fn run(&mut self) {
        let last =
            self.trace.requests.iter().map(|request| request.at_us + request.deadline_ms * 1_000);
        let end_us = last.max().unwrap_or(0);
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.place(request),
            Event::Reach { request, upstream } => self.reach(request, upstream),
            Event::Step(upstream) => self.end_step(upstream),
            Event::Deadline(request) => self.cut(request),
            Event::Tick => self.tick(),
            Event::Sample => self.sample(),
            Event::Report(sample) => self.report(sample),
            Event::Fault(index) => self.fault(self.trace.faults[index].what),
            Event::Unreachable(upstream) => {
                for entry in &mut self.entries {
                    entry.mark_unreachable(upstream);
                }
            }
        }
    }

    fn place(&mut self, request: usize) {
        let now = self.now();
        let spec = &self.trace.requests[request];
        let run = &mut self.runs[request];
        if run.placements >= PLACEMENT_LIMIT {
            return self.end(request, RequestOutcome::Shed);
        }
        run.placements += 1;
        let Some(upstream) = self.entries[run.entry].place(spec, &run.excluded, now) else {
            return self.end(request, RequestOutcome::Shed);
        };
        run.upstream = Some(upstream);
        self.push(self.now_us + HOP_US, Event::Reach { request, upstream });
    }

    fn place_again(&mut self, request: usize, upstream: usize) {
        let run = &mut self.runs[request];
        run.excluded.push(upstream);
        run.upstream = None;
        self.entries[run.entry].left(upstream);
        self.place(request);
    }

    fn reach(&mut self, request: usize, upstream: usize) {
        if self.runs[request].ended {
            return;
        }
        if self.upstreams[upstream].lost {
            return self.place_again(request, upstream);
        }
        let spec = &self.trace.requests[request];
        let left_us = (spec.at_us + spec.deadline_ms * 1_000).saturating_sub(self.now_us);
        let key = key_of(spec.customer, request);
        let dispatch = dispatch_of(key.clone(), spec, left_us);
        let now = self.now();
        let core = &mut self.upstreams[upstream].core;
        let (admission, actions) = core.dispatch(dispatch, now);
        core.add_reader(&key);
        self.perform(upstream, actions, None);
        if let Admission::Refused(refusal) = admission {
            self.refused(request, upstream, &refusal);
        }
    }

    fn perform(&mut self, upstream: usize, actions: Vec<Action>, speaker: Option<usize>) {
        for action in actions {
            match action {
                Action::Start(dispatch) => self.start(upstream, index_of(&dispatch.key)),
                Action::Abort(key) => self.abort(upstream, index_of(&key)),
                Action::WakeReaders(key) if Some(index_of(&key)) == speaker => {}
                Action::WakeReaders(key) => {
                    if let Some(refusal) = self.upstreams[upstream].final_refusal(&key) {
                        self.refused(index_of(&key), upstream, &refusal);
                    }
                }
            }
        }
    }

    fn start(&mut self, upstream: usize, request: usize) {
        let state = &mut self.upstreams[upstream];
        state.engine.admit(request, &self.trace.requests[request]);
        self.begin_step(upstream);
    }

    fn begin_step(&mut self, upstream: usize) {
        let state = &mut self.upstreams[upstream];
        if state.stepping || state.engine.is_idle() {
            return;
        }
        state.stepping = true;
        let step_us = state.engine.begin_step();
        self.push(self.now_us + step_us, Event::Step(upstream));
    }

    fn end_step(&mut self, upstream: usize) {
        let now = self.now();
        if self.upstreams[upstream].lost {
            return;
        }
        self.upstreams[upstream].stepping = false;
        for output in self.upstreams[upstream].engine.end_step() {
            let (Output::Token(request) | Output::Last(request)) = output;
            if self.runs[request].ended {
                continue;
            }
            let key = key_of(self.trace.requests[request].customer, request);
            let first = self.token(request);
            let core = &mut self.upstreams[upstream].core;
            if first {
                core.on_upstream_event(&key, stream_start(), now);
            }
            let piece = UpstreamEvent::Data(Bytes::from_static(b"t"));
            let mut actions = core.on_upstream_event(&key, piece, now);
            if matches!(output, Output::Last(_)) {
                actions.extend(core.on_upstream_event(&key, UpstreamEvent::Finished, now));
                self.account_prefill(upstream, request, true);
                self.end(request, RequestOutcome::InTime);
            }
            self.perform(upstream, actions, Some(request));
        }
        self.upstreams[upstream].engine.forget_done();
        self.begin_step(upstream);
    }

    /// Records a token; true where it is the first.
    fn token(&mut self, request: usize) -> bool {
        let spec = &self.trace.requests[request];
        let last = self.runs[request].last_token_us.replace(self.now_us);
        match last {
            _ if spec.service => {}
            None => self.recorder.first_token(spec.tier, self.now_us - spec.at_us),
            Some(last) => self.recorder.between_tokens(spec.tier, self.now_us - last),
        }
        last.is_none()
    }

    fn abort(&mut self, upstream: usize, request: usize) {
        let prefill = self.upstreams[upstream].engine.abort(request);
        self.recorder.computed += u64::from(prefill.computed);
        self.recorder.wasted += u64::from(prefill.computed);
    }

    fn tick(&mut self) {
        let now = self.now();
        for upstream in 0..self.upstreams.len() {
            let actions = self.upstreams[upstream].core.on_tick(now);
            self.perform(upstream, actions, None);
        }
        self.push(self.now_us + TICK_US, Event::Tick);
    }

    fn sample(&mut self) {
        let loads = self.upstreams.iter().map(|upstream| upstream.core.load()).collect();
        self.samples.push((self.now_us, loads));
        let age_us = self.options.report_age.as_micros() as u64;
        self.push(self.now_us + age_us, Event::Report(self.samples.len() - 1));
        self.push(self.now_us + SAMPLE_US, Event::Sample);
    }

    fn report(&mut self, sample: usize) {
        let (at_us, loads) = &self.samples[sample];
        let at = self.origin + Duration::from_micros(*at_us);
        for entry in &mut self.entries {
            for (upstream, load) in loads.iter().enumerate() {
                entry.hear(upstream, *load, at);
            }
        }
    }
}

fn key_of(customer: u8, request: usize) -> RequestKey {
    RequestKey {
        customer: CustomerId::new(customer.to_string()),
        request_id: RequestId::new(request.to_string()),
    }
}

fn index_of(key: &RequestKey) -> usize {
    key.request_id.as_str().parse().expect("ids of the replay are numbers")
}

fn stream_start() -> UpstreamEvent {
    UpstreamEvent::Started { status: 200, content_type: "text/event-stream".to_owned() }
}
