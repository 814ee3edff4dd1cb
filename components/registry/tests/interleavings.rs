//! Senders, homes and upstreams under random interleavings: lost replies, late hand-overs, two
//! restarts. A failing seed is printed by bolero.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bolero::produce;
use identity::{ConfigVersion, CustomerId, DispatchEpoch, ProcessId, RequestId, UpstreamId};
use registry::{Fence, HomeSet, Homes, Index, Placed, Registered, Standing, Wish};
use wire::{Registration, RequestKey};

const ITERATIONS: u64 = 50_000;
const OPS: usize = 160;
const AGENTS: usize = 5;
/// Epochs between one process of a home and the next.
const EPOCHS: u64 = 1000;
const SENDERS: usize = 2;
const RESTARTS: u32 = 2;
const REGISTRATION_LIFETIME: Duration = Duration::from_secs(2);

struct Agent {
    process: u32,
    index: Index,
    fence: Fence,
    held: BTreeMap<DispatchEpoch, ()>,
}

impl Agent {
    fn new(process: u32) -> Agent {
        Agent {
            process,
            index: Index::new(DispatchEpoch(u64::from(process) * EPOCHS)),
            fence: Fence::default(),
            held: BTreeMap::new(),
        }
    }

    fn process_id(&self) -> ProcessId {
        ProcessId::new(self.process.to_string())
    }
}

/// A hand-over that its sender may still send, or that is on its way.
#[derive(Clone)]
struct Permit {
    placed: Placed,
    registration: Registration,
    at: Instant,
}

#[derive(Default)]
struct Sender {
    superseded: Option<Placed>,
    permit: Option<Permit>,
    in_flight: Option<Permit>,
    done: bool,
}

/// A sender that completes the home's index, agent by agent.
struct Filling {
    process: ProcessId,
    set: HomeSet,
    next: usize,
    held: Vec<(RequestKey, Placed)>,
}

struct World {
    now: Instant,
    homes: Homes,
    names: Vec<UpstreamId>,
    key: RequestKey,
    home: usize,
    agents: Vec<Agent>,
    senders: Vec<Sender>,
    filling: Option<Filling>,
    restarts: u32,
    starts: u32,
}

impl World {
    fn new() -> World {
        let now = Instant::now();
        let names: Vec<_> = (0..AGENTS).map(|at| UpstreamId::new(format!("u{at}"))).collect();
        let homes = Homes::new(ConfigVersion(1), names.clone());
        let key = RequestKey { customer: CustomerId::new("c"), request_id: RequestId::new("r") };
        let home = names.iter().position(|name| Some(name) == homes.of(&key)).unwrap();
        World {
            agents: (0..AGENTS).map(|_| Agent::new(1)).collect(),
            senders: (0..SENDERS).map(|_| Sender::default()).collect(),
            now,
            homes,
            names,
            key,
            home,
            filling: None,
            restarts: 0,
            starts: 0,
        }
    }

    fn step(&mut self, op: u8) {
        let sender = usize::from(op / 8) % SENDERS;
        let agent = usize::from(op / 8) % AGENTS;
        match op % 8 {
            0 | 1 => self.register(sender, agent),
            2 => self.fill(),
            3 => (0..=AGENTS).for_each(|_| self.fill()),
            4 => self.send(sender),
            5 => self.deliver(sender),
            6 if op > 200 && self.restarts < RESTARTS => self.restart(agent),
            _ => self.now += Duration::from_millis(u64::from(op / 8) * 50),
        }
    }

    fn register(&mut self, sender: usize, upstream: usize) {
        let idle = &self.senders[sender];
        if idle.done || idle.permit.is_some() || idle.in_flight.is_some() {
            return;
        }
        let wish = Wish {
            key: self.key.clone(),
            upstream: self.names[upstream].clone(),
            process: self.agents[upstream].process_id(),
            superseded: idle.superseded.clone(),
        };
        let home = &mut self.agents[self.home];
        match home.index.register(wish, self.homes.set(), self.now) {
            Registered::Recorded(placed) => {
                let registration = Registration {
                    home: self.names[self.home].clone(),
                    process: home.process_id(),
                    config_version: ConfigVersion(1),
                };
                self.copy(&placed);
                self.senders[sender].permit = Some(Permit { placed, registration, at: self.now });
            }
            Registered::Held(_) => self.senders[sender].done = true,
            Registered::Fill => {
                let process = home.process_id();
                let set = self.homes.set();
                self.filling = Some(Filling { process, set, next: 0, held: Vec::new() });
            }
            Registered::Wait => {}
        }
    }

    fn copy(&mut self, placed: &Placed) {
        for holder in self.homes.copies_of(&self.key, &placed.upstream) {
            let at = self.names.iter().position(|name| name == holder).unwrap();
            self.agents[at].index.note([(self.key.clone(), placed.clone())], self.now);
        }
    }

    /// One agent is asked for what it holds, or the result is handed to the home.
    fn fill(&mut self) {
        let Some(filling) = &mut self.filling else { return };
        if let Some(agent) = self.agents.get_mut(filling.next) {
            let home = self.names[self.home].clone();
            agent.fence.learn(home, filling.process.clone(), self.homes.clone());
            let known = agent.index.iter().map(|(key, placed)| (key.clone(), placed.clone()));
            filling.held.extend(known);
            let own = agent.held.keys().map(|epoch| Placed {
                upstream: self.names[filling.next].clone(),
                process: agent.process_id(),
                epoch: *epoch,
            });
            filling.held.extend(own.map(|placed| (self.key.clone(), placed)));
            filling.next += 1;
            return;
        }
        let home = &mut self.agents[self.home];
        if home.process_id() == filling.process {
            home.index.note(std::mem::take(&mut filling.held), self.now);
            home.index.complete(filling.set);
        }
        self.filling = None;
    }

    fn send(&mut self, sender: usize) {
        let sender = &mut self.senders[sender];
        let Some(permit) = sender.permit.take() else { return };
        if self.now >= permit.at + REGISTRATION_LIFETIME {
            sender.superseded = Some(permit.placed);
        } else {
            sender.in_flight = Some(permit);
        }
    }

    fn deliver(&mut self, sender: usize) {
        let Some(permit) = self.senders[sender].in_flight.take() else { return };
        let at = self.names.iter().position(|name| *name == permit.placed.upstream).unwrap();
        let agent = &mut self.agents[at];
        let sender = &mut self.senders[sender];
        if agent.process_id() != permit.placed.process {
            sender.superseded = Some(permit.placed);
            return;
        }
        match agent.fence.judge(&self.key, &permit.registration) {
            Standing::Good => {
                agent.held.insert(permit.placed.epoch, ());
                self.starts += 1;
                sender.done = true;
            }
            Standing::Outdated => sender.superseded = None,
        }
    }

    fn restart(&mut self, agent: usize) {
        self.restarts += 1;
        self.agents[agent] = Agent::new(self.agents[agent].process + 1);
    }
}

#[test]
fn a_request_is_handed_over_once_though_two_agents_are_lost() {
    let ops = produce::<Vec<u8>>().with().len(0..OPS);
    cases::check_with(ITERATIONS, &ops, |ops: &Vec<u8>| {
        let mut world = World::new();
        for op in ops {
            world.step(*op);
            assert!(world.starts <= 1, "handed over {} times", world.starts);
        }
    });
}

/// Traces that failed once: the home is the upstream too, and its only copy is lost with it; a
/// placement that a lost index recorded is taken for one of the new index.
#[test]
fn traces_that_failed_once_hold() {
    let lost_with_its_home: &[u8] = &[233, 35, 33, 180, 133, 238, 230, 216, 139, 89, 204, 237];
    let same_epoch_again: &[u8] = &[
        48, 131, 136, 230, 238, 113, 131, 36, 199, 238, 16, 19, 194, 68, 23, 78, 249, 206, 161,
        170, 204, 224, 84, 131, 118, 72, 240, 134, 126, 40, 252, 142, 183, 75, 134, 146, 136, 186,
        134, 59, 155, 102, 19, 190, 240, 170, 160, 105, 206, 71, 186, 60, 219, 241, 8, 37, 206, 13,
    ];
    for ops in [lost_with_its_home, same_epoch_again] {
        let mut world = World::new();
        ops.iter().for_each(|op| world.step(*op));
        assert_eq!(world.starts, 1);
    }
}

#[test]
fn the_home_of_a_request_moves_only_with_the_agent_that_leaves() {
    let names = |count: usize| (0..count).map(|at| UpstreamId::new(format!("u{at}")));
    let all = Homes::new(ConfigVersion(1), names(40));
    let fewer = Homes::new(ConfigVersion(2), names(39));
    let mut moved = 0;
    for id in 0..2000 {
        let key = RequestKey {
            customer: CustomerId::new("c"),
            request_id: RequestId::new(id.to_string()),
        };
        if all.of(&key) != fewer.of(&key) {
            assert_eq!(all.of(&key), Some(&UpstreamId::new("u39")));
            moved += 1;
        }
        let home = all.of(&key).unwrap();
        assert!(!all.copies_of(&key, home).contains(&home));
    }
    assert!((20..100).contains(&moved), "{moved} of 2000 moved");
}
