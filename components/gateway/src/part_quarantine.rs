//! Quarantine of prompt parts under which engines end.
//!
//! Load pattern: requests that share one part of their prompts arrive at any gateway, and each
//! engine that begins to answer one of them ends, with all streams that it was writing. Sound
//! requests share their other parts and their customers. Meanwhile engines also end for other
//! reasons, many at once.
//!
//! An attempt that breaks before its first event is evidence against each shared part of its
//! prompt; a stream that goes on after its first event clears them. A part is quarantined when
//! attempts with it have broken at several engines, one after the other and without a stream in
//! between that would have cleared it. Gateways pool evidence in their digests. While requests with
//! a quarantined part still come, one gateway sends one of them now and then, at growing intervals;
//! if an engine answers it, the quarantine ends everywhere. It also ends after a time without such
//! requests.

use std::collections::{HashMap, VecDeque};
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use lru::LruCache;
use serde::{Deserialize, Serialize};

use crate::model::UpstreamId;

/// Id of a prompt part.
pub type PartId = u64;

/// Number of engines at which attempts with a part must have broken: one more than two unrelated
/// failures that meet by chance.
const MIN_BROKEN_UPSTREAMS: usize = 3;

/// Shortest time between the first and the last of those. Engines that end at the same moment have
/// a cause in common, which is not the part.
const MIN_EVIDENCE_SPAN: Duration = Duration::from_millis(300);

/// Time for which evidence counts, so that a part that is seldom used can still be found.
const EVIDENCE_VALIDITY: Duration = Duration::from_secs(60);

/// Time for which an answer speaks against later evidence. When many engines end for another
/// reason, several attempts with a common part may break before an engine answers the next one.
const SOUND_VALIDITY: Duration = Duration::from_secs(10);

/// Time for which news are repeated in digests; covers the loss of two digests to other zones.
const NEWS_VALIDITY: Duration = Duration::from_secs(3);

/// Time after a refusal, or after the part was found, for which a gateway tells others of a
/// quarantine.
const QUARANTINE_NEWS_VALIDITY: Duration = Duration::from_secs(30);

/// Time without requests with a part after which its quarantine ends.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(120);

/// Time until the first test of a quarantined part. Each later one takes `TEST_INTERVAL_FACTOR`
/// times as long: a test of a part that is rightly quarantined ends an engine and its streams.
const FIRST_TEST_INTERVAL: Duration = Duration::from_secs(60);
const TEST_INTERVAL_FACTOR: u32 = 4;

/// Longest time between two tests.
const MAX_TEST_INTERVAL: Duration = Duration::from_secs(3_600);

/// Maximum number of parts that are known to be sound, and of those with evidence against them.
const MAX_PARTS: NonZeroUsize = NonZeroUsize::new(8_192).expect("not zero");

/// Maximum number of quarantined parts; more of them point to another cause.
const MAX_QUARANTINED: usize = 64;

/// Maximum number of entries of each kind in a digest.
const MAX_NEWS: usize = 32;

/// An attempt that broke before its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenPart {
    /// Part of its prompt.
    pub part: PartId,
    /// Upstream at which it broke.
    pub upstream: UpstreamId,
    /// Milliseconds since then.
    pub ms_ago: u32,
}

/// A part whose requests are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartId,
    /// Number of tests so far.
    pub tests: u32,
    /// Milliseconds until the next test.
    pub next_test_ms: u32,
}

/// What a gateway tells the others about parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNews {
    /// Evidence that this gateway has collected itself.
    pub broken: Vec<BrokenPart>,
    /// Parts with evidence against them that are sound.
    pub sound: Vec<PartId>,
    /// Parts whose requests this gateway refuses.
    pub quarantined: Vec<QuarantinedPart>,
}

/// Effect of another gateway's news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartChanges {
    /// Parts that are quarantined now.
    pub quarantined: Vec<PartId>,
    /// Parts that are no longer quarantined.
    pub cleared: Vec<PartId>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartDecision {
    /// No part of its prompt is quarantined.
    Send,
    /// It tests a quarantined part.
    Test(PartId),
    /// It has a quarantined part, which is tested after this time.
    Refuse(PartId, Duration),
}

#[derive(Debug, Clone, Copy)]
struct Evidence {
    upstream: UpstreamId,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Quarantine {
    tests: u32,
    next_test_at: Instant,
    /// When this gateway found the part or last refused a request with it.
    seen_here_at: Option<Instant>,
    /// When a request with the part was last refused here, or a peer told of it.
    active_at: Instant,
}

/// Prompt parts as known to one gateway.
#[derive(Debug)]
pub struct PartQuarantine {
    sound: LruCache<PartId, Instant>,
    suspects: LruCache<PartId, Vec<Evidence>>,
    quarantined: HashMap<PartId, Quarantine>,
    broken_news: VecDeque<(PartId, Evidence)>,
    sound_news: VecDeque<(PartId, Instant)>,
}

impl Default for PartQuarantine {
    fn default() -> Self {
        PartQuarantine {
            sound: LruCache::new(MAX_PARTS),
            suspects: LruCache::new(MAX_PARTS),
            quarantined: HashMap::new(),
            broken_news: VecDeque::new(),
            sound_news: VecDeque::new(),
        }
    }
}

fn test_interval(tests: u32) -> Duration {
    let factor = TEST_INTERVAL_FACTOR.saturating_pow(tests);
    FIRST_TEST_INTERVAL.saturating_mul(factor).min(MAX_TEST_INTERVAL)
}

fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl PartQuarantine {
    /// Decides on a request with these shared parts. `is_tester` tells whether this gateway is the
    /// one that tests a part.
    pub fn decide(
        &mut self,
        parts: impl IntoIterator<Item = PartId>,
        is_tester: impl Fn(PartId) -> bool,
        now: Instant,
    ) -> PartDecision {
        if self.quarantined.is_empty() {
            return PartDecision::Send;
        }
        let mut decision = PartDecision::Send;
        for part in parts {
            let Some(quarantine) = self.quarantined.get_mut(&part) else { continue };
            quarantine.active_at = now;
            if decision == PartDecision::Send && now >= quarantine.next_test_at && is_tester(part) {
                decision = PartDecision::Test(part);
                continue;
            }
            quarantine.seen_here_at = Some(now);
            let until_test = quarantine.next_test_at.saturating_duration_since(now);
            return PartDecision::Refuse(part, until_test);
        }
        if let PartDecision::Test(part) = decision
            && let Some(quarantine) = self.quarantined.get_mut(&part)
        {
            quarantine.seen_here_at = Some(now);
            quarantine.tests += 1;
            quarantine.next_test_at = now + test_interval(quarantine.tests);
        }
        decision
    }

    /// Records an attempt of this gateway that broke before its first event. Returns the parts that
    /// are quarantined by it.
    pub fn record_broken(
        &mut self,
        parts: impl IntoIterator<Item = PartId>,
        upstream: UpstreamId,
        now: Instant,
    ) -> Vec<PartId> {
        let evidence = Evidence { upstream, at: now };
        let mut found = Vec::new();
        for part in parts {
            if self.is_sound(part, now) {
                continue;
            }
            self.broken_news.push_back((part, evidence));
            if self.add_evidence(part, evidence, now) {
                found.push(part);
            }
        }
        found
    }

    /// Records that an engine goes on answering a request after its first event. Returns the parts
    /// that are no longer quarantined.
    pub fn record_answered(
        &mut self,
        parts: impl IntoIterator<Item = PartId>,
        now: Instant,
    ) -> Vec<PartId> {
        let mut cleared = Vec::new();
        for part in parts {
            self.sound.put(part, now);
            let was_quarantined = self.quarantined.remove(&part).is_some();
            if self.suspects.pop(&part).is_some() || was_quarantined {
                self.tell_sound(part, now);
            }
            if was_quarantined {
                cleared.push(part);
            }
        }
        cleared
    }

    /// Whether an engine has answered a request with the part since `at`, or shortly before.
    fn is_sound(&self, part: PartId, at: Instant) -> bool {
        self.sound.peek(&part).is_some_and(|answered_at| at <= *answered_at + SOUND_VALIDITY)
    }

    fn tell_sound(&mut self, part: PartId, now: Instant) {
        if !self.sound_news.iter().any(|(told, _)| *told == part) {
            self.sound_news.push_back((part, now));
        }
    }

    /// Returns whether the part is quarantined by this evidence.
    fn add_evidence(&mut self, part: PartId, evidence: Evidence, now: Instant) -> bool {
        let collected = self.suspects.get_or_insert_mut(part, Vec::new);
        collected.retain(|known| now.saturating_duration_since(known.at) <= EVIDENCE_VALIDITY);
        if !collected.iter().any(|known| known.upstream == evidence.upstream) {
            collected.push(evidence);
        }
        let first_at = collected.iter().map(|known| known.at).min();
        let last_at = collected.iter().map(|known| known.at).max();
        let span = first_at.zip(last_at).map(|(first, last)| last.saturating_duration_since(first));
        let is_enough = collected.len() >= MIN_BROKEN_UPSTREAMS
            && span.is_some_and(|span| span >= MIN_EVIDENCE_SPAN);
        if !is_enough || self.quarantined.contains_key(&part) {
            return false;
        }
        let next_test_at = now + test_interval(0);
        self.quarantine(
            part,
            Quarantine { tests: 0, next_test_at, seen_here_at: Some(now), active_at: now },
        )
    }

    fn quarantine(&mut self, part: PartId, quarantine: Quarantine) -> bool {
        let has_room = self.quarantined.len() < MAX_QUARANTINED;
        if has_room {
            self.quarantined.insert(part, quarantine);
        }
        has_room
    }

    /// Number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Removes what is no longer valid, and ends quarantines of parts that no request has any more.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > NEWS_VALIDITY;
        while self.broken_news.front().is_some_and(|(_, evidence)| is_old(evidence.at)) {
            self.broken_news.pop_front();
        }
        while self.sound_news.front().is_some_and(|(_, at)| is_old(*at)) {
            self.sound_news.pop_front();
        }
        self.quarantined.retain(|_, quarantine| {
            now.saturating_duration_since(quarantine.active_at) <= QUARANTINE_RETENTION
        });
    }

    /// What to tell the other gateways now.
    pub fn news(&self, now: Instant) -> PartNews {
        let ago = |at: Instant| now.saturating_duration_since(at);
        let broken = self.broken_news.iter().rev().take(MAX_NEWS).map(|(part, evidence)| {
            BrokenPart { part: *part, upstream: evidence.upstream, ms_ago: to_ms(ago(evidence.at)) }
        });
        let is_told = |quarantine: &Quarantine| {
            quarantine.seen_here_at.is_some_and(|at| ago(at) <= QUARANTINE_NEWS_VALIDITY)
        };
        let quarantined = self.quarantined.iter().filter(|(_, quarantine)| is_told(quarantine));
        let describe = |(part, quarantine): (&PartId, &Quarantine)| QuarantinedPart {
            part: *part,
            tests: quarantine.tests,
            next_test_ms: to_ms(quarantine.next_test_at.saturating_duration_since(now)),
        };
        PartNews {
            broken: broken.collect(),
            sound: self.sound_news.iter().rev().take(MAX_NEWS).map(|(part, _)| *part).collect(),
            quarantined: quarantined.take(MAX_NEWS).map(describe).collect(),
        }
    }

    /// Applies what another gateway tells.
    pub fn apply_news(&mut self, news: &PartNews, now: Instant) -> PartChanges {
        let mut found = Vec::new();
        for BrokenPart { part, upstream, ms_ago } in &news.broken {
            let ago = Duration::from_millis((*ms_ago).into());
            let evidence =
                Evidence { upstream: *upstream, at: now.checked_sub(ago).unwrap_or(now) };
            if self.is_sound(*part, evidence.at) {
                self.tell_sound(*part, now);
            } else if self.add_evidence(*part, evidence, now) {
                found.push(*part);
            }
        }
        for QuarantinedPart { part, tests, next_test_ms } in &news.quarantined {
            let next_test_at = now + Duration::from_millis((*next_test_ms).into());
            if self.is_sound(*part, now) {
                self.tell_sound(*part, now);
            } else if let Some(known) = self.quarantined.get_mut(part) {
                known.active_at = now;
                if *tests > known.tests {
                    (known.tests, known.next_test_at) = (*tests, next_test_at);
                }
            } else {
                let adopted =
                    Quarantine { tests: *tests, next_test_at, seen_here_at: None, active_at: now };
                if self.quarantine(*part, adopted) {
                    found.push(*part);
                }
            }
        }
        let mut cleared = Vec::new();
        for part in &news.sound {
            self.sound.put(*part, now);
            self.suspects.pop(part);
            if self.quarantined.remove(part).is_some() {
                cleared.push(*part);
            }
        }
        PartChanges { quarantined: found, cleared }
    }
}
