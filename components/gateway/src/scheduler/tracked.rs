//! One upstream as this process sees it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::speed::Speed;
use super::{Assignment, Ending};
use crate::model::Upstream;

/// First pause after an upstream could not be reached, doubled at each further failure: long enough
/// to spare requests the detour, short enough that a restarted one is found within its start.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Pause after an upstream had no place: a step or two of its batch.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// What one ending leaves of the failure rate before it: about the last ten count.
const FAILURE_MEMORY: f64 = 0.9;

/// An upstream is suspect when a request is this old and nothing at all was heard since.
const SILENCE: Duration = Duration::from_millis(700);

/// How long a place is left to another entry: until it has heard of it and its next digest is here.
const LEFT_FOR: Duration = Duration::from_millis(60);

/// Work in flight at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests handed over and not ended.
    pub running: u32,
    /// Prompt tokens of those without a first event.
    pub backlog_tokens: u32,
}

impl Load {
    pub(super) fn add(&mut self, other: Load) {
        self.running = self.running.saturating_add(other.running);
        self.backlog_tokens = self.backlog_tokens.saturating_add(other.backlog_tokens);
    }

    pub(super) fn take_off(&mut self, other: Load) {
        self.running = self.running.saturating_sub(other.running);
        self.backlog_tokens = self.backlog_tokens.saturating_sub(other.backlog_tokens);
    }
}

#[derive(Debug)]
pub(super) struct Tracked {
    pub(super) upstream: Upstream,
    pub(super) short_id: u32,
    pub(super) own: Load,
    /// What all peers said that they have in flight here.
    pub(super) others: Load,
    pub(super) speed: Speed,
    pub(super) heard_at: Instant,
    failure_rate: f64,
    unreachable: u32,
    paused_until: Option<Instant>,
    tickets: HashMap<u64, Instant>,
    left_until: Vec<Instant>,
    /// Its address belongs to another instance; its announcement lapses in a few seconds.
    pub(super) is_gone: bool,
    /// Places that this entry owns.
    pub(super) own_share: u32,
    /// Places that are left to their owners.
    pub(super) kept_clear: u32,
}

/// Names an upstream's lifetime between entries, in four bytes.
fn short_id(upstream: &Upstream) -> u32 {
    let name = format!("{}/{}", upstream.instance, upstream.started_unix_ms);
    xxh3_64(name.as_bytes()) as u32
}

impl Tracked {
    pub(super) fn new(upstream: Upstream, now: Instant) -> Tracked {
        Tracked {
            short_id: short_id(&upstream),
            upstream,
            own: Load::default(),
            others: Load::default(),
            speed: Speed::default(),
            heard_at: now,
            failure_rate: 0.0,
            unreachable: 0,
            paused_until: None,
            tickets: HashMap::new(),
            left_until: Vec::new(),
            is_gone: false,
            own_share: 0,
            kept_clear: 0,
        }
    }

    pub(super) fn is_same_lifetime(&self, upstream: &Upstream) -> bool {
        self.upstream.instance == upstream.instance
            && self.upstream.started_unix_ms == upstream.started_unix_ms
            && self.upstream.address == upstream.address
    }

    /// Requests in flight from all entries.
    pub(super) fn running(&self) -> u32 {
        self.own.running + self.others_running(1.0)
    }

    /// Requests in flight from other entries, if these have grown since they told.
    fn others_running(&self, growth: f64) -> u32 {
        (f64::from(self.others.running) * growth).round() as u32
    }

    /// Whether a place is free and not left to another entry.
    pub(super) fn has_place(&self, growth: f64, now: Instant) -> bool {
        let left = self.left_until.iter().filter(|until| now < **until).count() as u32;
        self.has_own_place()
            || self.own.running + self.others_running(growth) + left + self.kept_clear
                < self.upstream.slots
    }

    /// Whether one of the places that this entry owns is free.
    pub(super) fn has_own_place(&self) -> bool {
        self.own.running < self.own_share
    }

    /// Leaves a free place to another entry for a short time.
    pub(super) fn leave_place(&mut self, now: Instant) {
        self.left_until.retain(|until| now < *until);
        self.left_until.push(now + LEFT_FOR);
    }

    /// Prompt tokens that all entries wait for.
    pub(super) fn backlog_tokens(&self) -> u64 {
        u64::from(self.own.backlog_tokens) + u64::from(self.others.backlog_tokens)
    }

    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether it is left alone after it could not be reached.
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Whether it has answered nothing since a request was handed over some time ago.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let oldest = self.tickets.values().min();
        oldest.is_some_and(|at| {
            now.saturating_duration_since(*at) > SILENCE
                && now.saturating_duration_since(self.heard_at) > SILENCE
        })
    }

    /// Counts a request in; gives the address and the tokens to read before its first event.
    pub(super) fn begin(
        &mut self,
        ticket: u64,
        prompt_tokens: u32,
        now: Instant,
    ) -> (SocketAddr, u64) {
        self.tickets.insert(ticket, now);
        self.own.running += 1;
        self.own.backlog_tokens = self.own.backlog_tokens.saturating_add(prompt_tokens);
        (self.upstream.address, self.backlog_tokens())
    }

    pub(super) fn leave_backlog(&mut self, assignment: &mut Assignment) {
        if !assignment.in_backlog || !self.tickets.contains_key(&assignment.ticket) {
            return;
        }
        assignment.in_backlog = false;
        self.own.backlog_tokens = self.own.backlog_tokens.saturating_sub(assignment.prompt_tokens);
    }

    pub(super) fn learn_first_event(&mut self, assignment: &Assignment, now: Instant) {
        let elapsed = now.saturating_duration_since(assignment.at);
        self.speed.observe(elapsed.as_secs_f64() * 1_000.0, assignment.backlog_tokens);
    }

    pub(super) fn end(&mut self, ticket: u64, ending: Ending, now: Instant) {
        if self.tickets.remove(&ticket).is_none() {
            return;
        }
        self.own.running = self.own.running.saturating_sub(1);
        match ending {
            Ending::Served => self.take_success(),
            Ending::Failed => self.failure_rate = self.failure_rate * FAILURE_MEMORY + 0.1,
            Ending::Unreachable => self.pause(now),
            Ending::Declined => self.paused_until = Some(now + FULL_PAUSE),
            Ending::Replaced => self.is_gone = true,
            Ending::Abandoned => {}
        }
    }

    fn take_success(&mut self) {
        self.failure_rate *= FAILURE_MEMORY;
        self.unreachable = 0;
        self.paused_until = None;
    }

    fn pause(&mut self, now: Instant) {
        let pause = FIRST_PAUSE * 2_u32.pow(self.unreachable.min(3));
        self.unreachable += 1;
        self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
    }
}
