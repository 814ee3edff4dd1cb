//! Discrete-event simulation that replays a trace: events are handled in the order of simulated
//! time.

mod entry;
mod faults;
mod outcomes;
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
use upstream::{UpstreamState, build_dispatch};

/// Interval of the agents' ticks.
const AGENT_TICK_INTERVAL_US: u64 = 100_000;

/// Interval at which the load of all upstreams is sampled for reports.
const LOAD_SAMPLE_INTERVAL_US: u64 = 1_000_000;

/// Latency of a message from an entry to an agent.
const DISPATCH_LATENCY_US: u64 = 500;

/// Time until the entries regard a lost upstream as unreachable.
const FAILURE_DETECTION_DELAY_US: u64 = 2_000_000;

/// Largest number of placements of one request.
const MAX_PLACEMENTS: u32 = 4;

/// Options of a replay.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Placement policy.
    pub policy: Policy,
    /// Age at which load reports reach the entries.
    pub report_age: Duration,
    /// Number of entry hosts.
    pub entries: usize,
    /// Rules of the production scheduler that are switched on.
    pub placement_rules: PlacementRules,
    /// Rules of the agents that are switched on.
    pub agent_rules: AgentRules,
    /// Seed of all random choices during the replay.
    pub seed: u64,
}

/// A simulated event; requests, upstreams, faults and load samples are given by their index.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FaultBegins(usize),
    UnreachableDetected(usize),
    StepEnds(usize),
    DispatchReceived { request: usize, upstream: usize },
    DeadlineReached(usize),
    RequestArrives(usize),
    AgentTick,
    LoadSampled,
    LoadReported(usize),
}

/// State of a request during the replay.
#[derive(Debug, Clone, Default)]
struct RequestState {
    entry: usize,
    upstream: Option<usize>,
    excluded: Vec<usize>,
    placements: u32,
    last_token_us: Option<u64>,
    is_finished: bool,
}

struct Simulation<'a> {
    trace: &'a Trace,
    options: Options,
    started_at: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events scheduled so far; orders events of the same time.
    event_count: u64,
    upstreams: Vec<UpstreamState>,
    entries: Vec<EntryState>,
    requests: Vec<RequestState>,
    /// Time of each load sample, and the load of each upstream then.
    load_samples: Vec<(u64, Vec<LoadDigest>)>,
    /// Prefix tokens of each session that any upstream has computed.
    computed_prefixes: HashMap<u32, u32>,
    recorder: Recorder,
}

/// Replays a trace and returns its figures.
pub fn replay(trace: &Trace, options: Options) -> Figures {
    let mut simulation = Simulation::new(trace, options);
    simulation.run();
    simulation.recorder.compute_figures()
}

impl<'a> Simulation<'a> {
    fn new(trace: &'a Trace, options: Options) -> Simulation<'a> {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let requests = trace
            .requests
            .iter()
            .map(|_| RequestState {
                entry: rng.random_range(0..options.entries),
                ..RequestState::default()
            })
            .collect();
        let new_entry = |index: usize| EntryState::new(&trace.upstreams, index as u64, options);
        let mut simulation = Simulation {
            trace,
            options,
            started_at: Instant::now(),
            now_us: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            upstreams: trace
                .upstreams
                .iter()
                .map(|spec| UpstreamState::new(spec, options))
                .collect(),
            entries: (0..options.entries).map(new_entry).collect(),
            requests,
            load_samples: Vec::new(),
            computed_prefixes: HashMap::new(),
            recorder: Recorder::new(),
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for (index, request) in self.trace.requests.iter().enumerate() {
            self.schedule_event(request.at_us, Event::RequestArrives(index));
            self.schedule_event(
                request.at_us + request.deadline_ms * 1_000,
                Event::DeadlineReached(index),
            );
        }
        for (index, fault) in self.trace.faults.iter().enumerate() {
            self.schedule_event(fault.at_us, Event::FaultBegins(index));
        }
        self.schedule_event(0, Event::LoadSampled);
        self.schedule_event(AGENT_TICK_INTERVAL_US, Event::AgentTick);
    }

    fn schedule_event(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn now(&self) -> Instant {
        self.started_at + Duration::from_micros(self.now_us)
    }

    fn run(&mut self) {
        let deadlines_us =
            self.trace.requests.iter().map(|request| request.at_us + request.deadline_ms * 1_000);
        let end_us = deadlines_us.max().unwrap_or(0);
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrives(request) => self.place_request(request),
            Event::DispatchReceived { request, upstream } => {
                self.deliver_dispatch(request, upstream)
            }
            Event::StepEnds(upstream) => self.end_step(upstream),
            Event::DeadlineReached(request) => self.handle_deadline(request),
            Event::AgentTick => self.tick_agents(),
            Event::LoadSampled => self.sample_loads(),
            Event::LoadReported(sample) => self.deliver_load_report(sample),
            Event::FaultBegins(index) => self.apply_fault(self.trace.faults[index].what),
            Event::UnreachableDetected(upstream) => {
                for entry in &mut self.entries {
                    entry.mark_unreachable(upstream);
                }
            }
        }
    }

    fn place_request(&mut self, request: usize) {
        let now = self.now();
        let spec = &self.trace.requests[request];
        let state = &mut self.requests[request];
        if state.placements >= MAX_PLACEMENTS {
            return self.finish_request(request, RequestOutcome::Shed);
        }
        state.placements += 1;
        let Some(upstream) = self.entries[state.entry].place_request(spec, &state.excluded, now)
        else {
            return self.finish_request(request, RequestOutcome::Shed);
        };
        state.upstream = Some(upstream);
        self.schedule_event(
            self.now_us + DISPATCH_LATENCY_US,
            Event::DispatchReceived { request, upstream },
        );
    }

    fn retry_elsewhere(&mut self, request: usize, upstream: usize) {
        let state = &mut self.requests[request];
        state.excluded.push(upstream);
        state.upstream = None;
        self.entries[state.entry].release_request(upstream);
        self.place_request(request);
    }

    fn deliver_dispatch(&mut self, request: usize, upstream: usize) {
        if self.requests[request].is_finished {
            return;
        }
        if self.upstreams[upstream].is_lost {
            return self.retry_elsewhere(request, upstream);
        }
        let spec = &self.trace.requests[request];
        let time_left_us = (spec.at_us + spec.deadline_ms * 1_000).saturating_sub(self.now_us);
        let key = request_key(spec.customer, request);
        let dispatch = build_dispatch(key.clone(), spec, time_left_us);
        let now = self.now();
        let core = &mut self.upstreams[upstream].core;
        let (admission, actions) = core.dispatch(dispatch, now);
        core.add_reader(&key);
        self.perform_actions(upstream, actions, None);
        if let Admission::Refused(refusal) = admission {
            self.handle_refusal(request, upstream, &refusal);
        }
    }

    /// Performs the actions of an agent core. Readers of `triggered_by`, the request whose own
    /// event caused the actions, are not woken: its outcome is handled by the caller.
    fn perform_actions(
        &mut self,
        upstream: usize,
        actions: Vec<Action>,
        triggered_by: Option<usize>,
    ) {
        for action in actions {
            match action {
                Action::Start(dispatch) => {
                    self.start_request(upstream, request_index(&dispatch.key))
                }
                Action::Abort(key) => self.abort_request(upstream, request_index(&key)),
                Action::WakeReaders(key) if Some(request_index(&key)) == triggered_by => {}
                Action::WakeReaders(key) => {
                    if let Some(refusal) = self.upstreams[upstream].final_refusal(&key) {
                        self.handle_refusal(request_index(&key), upstream, &refusal);
                    }
                }
            }
        }
    }

    fn start_request(&mut self, upstream: usize, request: usize) {
        let state = &mut self.upstreams[upstream];
        state.engine.add_request(request, &self.trace.requests[request]);
        self.begin_step(upstream);
    }

    fn begin_step(&mut self, upstream: usize) {
        let state = &mut self.upstreams[upstream];
        if state.in_step || state.engine.is_idle() {
            return;
        }
        state.in_step = true;
        let step_us = state.engine.begin_step();
        self.schedule_event(self.now_us + step_us, Event::StepEnds(upstream));
    }

    fn end_step(&mut self, upstream: usize) {
        let now = self.now();
        if self.upstreams[upstream].is_lost {
            return;
        }
        self.upstreams[upstream].in_step = false;
        for output in self.upstreams[upstream].engine.end_step() {
            let (Output::Token(request) | Output::Last(request)) = output;
            if self.requests[request].is_finished {
                continue;
            }
            let key = request_key(self.trace.requests[request].customer, request);
            let is_first = self.record_token(request);
            let core = &mut self.upstreams[upstream].core;
            if is_first {
                core.on_upstream_event(&key, stream_started(), now);
            }
            let data = UpstreamEvent::Data(Bytes::from_static(b"t"));
            let mut actions = core.on_upstream_event(&key, data, now);
            if matches!(output, Output::Last(_)) {
                actions.extend(core.on_upstream_event(&key, UpstreamEvent::Finished, now));
                self.record_prefill(upstream, request, true);
                self.finish_request(request, RequestOutcome::InTime);
            }
            self.perform_actions(upstream, actions, Some(request));
        }
        self.upstreams[upstream].engine.remove_finished();
        self.begin_step(upstream);
    }

    /// Records the latency of a token; returns whether it is the first of its request.
    fn record_token(&mut self, request: usize) -> bool {
        let spec = &self.trace.requests[request];
        let last = self.requests[request].last_token_us.replace(self.now_us);
        match last {
            _ if spec.service => {}
            None => self.recorder.record_first_token(spec.tier, self.now_us - spec.at_us),
            Some(last) => self.recorder.record_token_gap(spec.tier, self.now_us - last),
        }
        last.is_none()
    }

    fn abort_request(&mut self, upstream: usize, request: usize) {
        let prefill = self.upstreams[upstream].engine.abort_request(request);
        self.recorder.computed_prefill_tokens += u64::from(prefill.computed);
        self.recorder.wasted_prefill_tokens += u64::from(prefill.computed);
    }

    fn tick_agents(&mut self) {
        let now = self.now();
        for upstream in 0..self.upstreams.len() {
            let actions = self.upstreams[upstream].core.on_tick(now);
            self.perform_actions(upstream, actions, None);
        }
        self.schedule_event(self.now_us + AGENT_TICK_INTERVAL_US, Event::AgentTick);
    }

    fn sample_loads(&mut self) {
        let loads = self.upstreams.iter().map(|upstream| upstream.core.load()).collect();
        self.load_samples.push((self.now_us, loads));
        let age_us = self.options.report_age.as_micros() as u64;
        self.schedule_event(self.now_us + age_us, Event::LoadReported(self.load_samples.len() - 1));
        self.schedule_event(self.now_us + LOAD_SAMPLE_INTERVAL_US, Event::LoadSampled);
    }

    fn deliver_load_report(&mut self, sample: usize) {
        let (at_us, loads) = &self.load_samples[sample];
        let at = self.started_at + Duration::from_micros(*at_us);
        for entry in &mut self.entries {
            for (upstream, load) in loads.iter().enumerate() {
                entry.update_load(upstream, *load, at);
            }
        }
    }
}

fn request_key(customer: u8, request: usize) -> RequestKey {
    RequestKey {
        customer: CustomerId::new(customer.to_string()),
        request_id: RequestId::new(request.to_string()),
    }
}

fn request_index(key: &RequestKey) -> usize {
    key.request_id.as_str().parse().expect("request ids of the replay are numbers")
}

fn stream_started() -> UpstreamEvent {
    UpstreamEvent::Started { status: 200, content_type: "text/event-stream".to_owned() }
}
