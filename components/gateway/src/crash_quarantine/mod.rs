//! Quarantine of what makes upstreams end: requests, and parts of prompts.
//!
//! Load pattern: a request comes again and again, or requests that share one part of their prompts,
//! at any gateway, and each upstream that begins to run one of them ends, with everything that it
//! was running. Sound requests share their other parts, paths and customers, and some of them are
//! asked for so often that they run beside the crashing one at several ends. Meanwhile upstreams
//! also end for other reasons, many at once.
//!
//! An attempt that breaks before its response begins, or within it when its upstream has ended, is
//! evidence against its request, and against each shared part of its prompt; an answer of one
//! upstream clears them. A cause is quarantined when attempts with
//! it have broken at several upstreams, one after the other and without an answer in between that
//! would have cleared it. Gateways pool evidence in their digests. While requests with a quarantined
//! cause still come, one gateway sends one of them now and then, at growing intervals; if an
//! upstream answers it, the quarantine ends everywhere. It also ends after a time without such
//! requests.

mod cause;
mod news;
mod run;

use std::collections::{HashMap, VecDeque};
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use lru::LruCache;

use crate::model::{RequestHash, UpstreamId};

pub use cause::{Cause, PartId};
pub use news::{BrokenAttempt, QuarantineNews, QuarantinedCause};
pub use run::{Run, RunResult};

/// Number of upstreams at which attempts with a cause must have broken: one more than two unrelated
/// failures that meet by chance.
const MIN_BROKEN_UPSTREAMS: usize = 3;

/// Time for which evidence counts, so that a cause that is seldom sent can still be found.
const EVIDENCE_VALIDITY: Duration = Duration::from_secs(60);

/// Time for which news are repeated in digests; covers the loss of two digests to other zones.
const NEWS_VALIDITY: Duration = Duration::from_secs(3);

/// Time after a refusal, or after the cause was found, for which a gateway tells others of a
/// quarantine.
const QUARANTINE_NEWS_VALIDITY: Duration = Duration::from_secs(30);

/// Time without requests with a cause after which its quarantine ends.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(120);

/// Time until the first test of a quarantined cause. Each later one takes `TEST_INTERVAL_FACTOR`
/// times as long: a test of a cause that is rightly quarantined ends an upstream and what it runs.
const FIRST_TEST_INTERVAL: Duration = Duration::from_secs(60);
const TEST_INTERVAL_FACTOR: u32 = 4;

/// Time until the first test of a cause that has been answered before: it may only have run beside
/// the one that ended the upstreams.
const FIRST_DOUBTFUL_TEST_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time between two tests.
const MAX_TEST_INTERVAL: Duration = Duration::from_secs(3_600);

/// Maximum number of causes that are known to be sound, and of those with evidence against them.
const MAX_CAUSES: NonZeroUsize = NonZeroUsize::new(8_192).expect("not zero");

/// Maximum number of quarantined causes; more of them point to something else.
const MAX_QUARANTINED: usize = 64;

/// Maximum number of entries of each kind in a digest, for parts and for requests.
const MAX_NEWS: usize = 32;

/// Effect of another gateway's news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Causes that are quarantined now.
    pub quarantined: Vec<Cause>,
    /// Causes that are no longer quarantined.
    pub cleared: Vec<Cause>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// Nothing of it is quarantined.
    Send,
    /// It tests a quarantined cause.
    Test(Cause),
    /// It has a quarantined cause, which is tested after this time.
    Refuse(Cause, Duration),
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
    first_test_interval: Duration,
    /// When this gateway found the cause or last refused a request with it.
    seen_here_at: Option<Instant>,
    /// When a request with the cause was last refused here, or a peer told of it.
    active_at: Instant,
}

impl Quarantine {
    fn test_interval(&self) -> Duration {
        let factor = TEST_INTERVAL_FACTOR.saturating_pow(self.tests);
        self.first_test_interval.saturating_mul(factor).min(MAX_TEST_INTERVAL)
    }
}

/// Causes as known to one gateway.
#[derive(Debug)]
pub struct CrashQuarantine {
    sound: LruCache<Cause, Instant>,
    suspects: LruCache<Cause, Vec<Evidence>>,
    quarantined: HashMap<Cause, Quarantine>,
    broken_news: VecDeque<(Cause, Evidence)>,
    sound_news: VecDeque<(Cause, Instant)>,
}

impl Default for CrashQuarantine {
    fn default() -> Self {
        CrashQuarantine {
            sound: LruCache::new(MAX_CAUSES),
            suspects: LruCache::new(MAX_CAUSES),
            quarantined: HashMap::new(),
            broken_news: VecDeque::new(),
            sound_news: VecDeque::new(),
        }
    }
}

fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl CrashQuarantine {
    /// Decides on a request with these causes. `is_tester` tells whether this gateway is the one
    /// that tests a cause.
    pub fn decide(
        &mut self,
        causes: impl IntoIterator<Item = Cause>,
        is_tester: impl Fn(Cause) -> bool,
        now: Instant,
    ) -> QuarantineDecision {
        if self.quarantined.is_empty() {
            return QuarantineDecision::Send;
        }
        let mut decision = QuarantineDecision::Send;
        for cause in causes {
            let Some(quarantine) = self.quarantined.get_mut(&cause) else { continue };
            quarantine.active_at = now;
            let is_due = now >= quarantine.next_test_at && is_tester(cause);
            if decision == QuarantineDecision::Send && is_due {
                decision = QuarantineDecision::Test(cause);
                continue;
            }
            quarantine.seen_here_at = Some(now);
            let until_test = quarantine.next_test_at.saturating_duration_since(now);
            return QuarantineDecision::Refuse(cause, until_test);
        }
        if let QuarantineDecision::Test(cause) = decision
            && let Some(quarantine) = self.quarantined.get_mut(&cause)
        {
            quarantine.seen_here_at = Some(now);
            quarantine.tests += 1;
            quarantine.next_test_at = now + quarantine.test_interval();
        }
        decision
    }

    /// Records an attempt of this gateway that is evidence against its causes; `now` is when it
    /// broke. Returns the causes that are quarantined by it.
    pub fn record_broken(
        &mut self,
        causes: impl IntoIterator<Item = Cause>,
        upstream: UpstreamId,
        now: Instant,
    ) -> Vec<Cause> {
        let evidence = Evidence { upstream, at: now };
        let mut found = Vec::new();
        for cause in causes {
            if self.is_sound(cause, now) {
                continue;
            }
            self.broken_news.push_back((cause, evidence));
            if self.add_evidence(cause, evidence, now) {
                found.push(cause);
            }
        }
        found
    }

    /// Records that an upstream has answered a request, or has gone on answering it for a while.
    /// Returns the causes that are no longer quarantined.
    pub fn record_answered(
        &mut self,
        causes: impl IntoIterator<Item = Cause>,
        now: Instant,
    ) -> Vec<Cause> {
        let mut cleared = Vec::new();
        for cause in causes {
            self.sound.put(cause, now);
            let was_quarantined = self.quarantined.remove(&cause).is_some();
            if self.suspects.pop(&cause).is_some() || was_quarantined {
                self.tell_sound(cause, now);
            }
            if was_quarantined {
                cleared.push(cause);
            }
        }
        cleared
    }

    /// Whether an upstream has answered a request with the cause since `at`, or shortly before.
    fn is_sound(&self, cause: Cause, at: Instant) -> bool {
        let answered_at = self.sound.peek(&cause);
        answered_at.is_some_and(|answered_at| at <= *answered_at + cause.sound_validity())
    }

    fn tell_sound(&mut self, cause: Cause, now: Instant) {
        if !self.sound_news.iter().any(|(told, _)| *told == cause) {
            self.sound_news.push_back((cause, now));
        }
    }

    /// Returns whether the cause is quarantined by this evidence.
    fn add_evidence(&mut self, cause: Cause, evidence: Evidence, now: Instant) -> bool {
        let collected = self.suspects.get_or_insert_mut(cause, Vec::new);
        collected.retain(|known| now.saturating_duration_since(known.at) <= EVIDENCE_VALIDITY);
        if !collected.iter().any(|known| known.upstream == evidence.upstream) {
            collected.push(evidence);
        }
        let first_at = collected.iter().map(|known| known.at).min();
        let last_at = collected.iter().map(|known| known.at).max();
        let span = first_at.zip(last_at).map(|(first, last)| last.saturating_duration_since(first));
        let is_enough = collected.len() >= MIN_BROKEN_UPSTREAMS
            && span.is_some_and(|span| span >= cause.min_evidence_span());
        if !is_enough || self.quarantined.contains_key(&cause) {
            return false;
        }
        let mut quarantine = self.begin_quarantine(cause, now);
        quarantine.seen_here_at = Some(now);
        self.quarantine(cause, quarantine)
    }

    fn begin_quarantine(&self, cause: Cause, now: Instant) -> Quarantine {
        let first_test_interval = if self.sound.contains(&cause) {
            FIRST_DOUBTFUL_TEST_INTERVAL
        } else {
            FIRST_TEST_INTERVAL
        };
        Quarantine {
            tests: 0,
            next_test_at: now + first_test_interval,
            first_test_interval,
            seen_here_at: None,
            active_at: now,
        }
    }

    fn quarantine(&mut self, cause: Cause, quarantine: Quarantine) -> bool {
        let has_room = self.quarantined.len() < MAX_QUARANTINED;
        if has_room {
            self.quarantined.insert(cause, quarantine);
        }
        has_room
    }

    /// Numbers of quarantined prompt parts and of quarantined requests.
    pub fn quarantined_counts(&self) -> (usize, usize) {
        let parts = self.quarantined.keys().filter(|cause| cause.part().is_some()).count();
        (parts, self.quarantined.len() - parts)
    }

    /// Removes what is no longer valid, and ends quarantines of causes that no request has any more.
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

    /// What to tell the other gateways about prompt parts now.
    pub fn part_news(&self, now: Instant) -> QuarantineNews<PartId> {
        self.news(Cause::part, now)
    }

    /// What to tell the other gateways about requests now.
    pub fn request_news(&self, now: Instant) -> QuarantineNews<RequestHash> {
        self.news(Cause::request, now)
    }

    fn news<C>(&self, select: impl Fn(Cause) -> Option<C>, now: Instant) -> QuarantineNews<C> {
        let ago = |at: Instant| now.saturating_duration_since(at);
        let broken = self.broken_news.iter().rev().filter_map(|(cause, evidence)| {
            let cause = select(*cause)?;
            let Evidence { upstream, at } = *evidence;
            Some(BrokenAttempt { cause, upstream, ms_ago: to_ms(ago(at)) })
        });
        let sound = self.sound_news.iter().rev().filter_map(|(cause, _)| select(*cause));
        let is_told = |quarantine: &Quarantine| {
            quarantine.seen_here_at.is_some_and(|at| ago(at) <= QUARANTINE_NEWS_VALIDITY)
        };
        let told = self.quarantined.iter().filter(|(_, quarantine)| is_told(quarantine));
        let quarantined = told.filter_map(|(cause, quarantine)| {
            let next_test_ms = to_ms(quarantine.next_test_at.saturating_duration_since(now));
            let cause = select(*cause)?;
            Some(QuarantinedCause { cause, tests: quarantine.tests, next_test_ms })
        });
        QuarantineNews {
            broken: broken.take(MAX_NEWS).collect(),
            sound: sound.take(MAX_NEWS).collect(),
            quarantined: quarantined.take(MAX_NEWS).collect(),
        }
    }

    /// Applies what another gateway tells.
    pub fn apply_news<C: Copy + Into<Cause>>(
        &mut self,
        news: &QuarantineNews<C>,
        now: Instant,
    ) -> QuarantineChanges {
        let mut quarantined = Vec::new();
        for BrokenAttempt { cause, upstream, ms_ago } in &news.broken {
            let ago = Duration::from_millis((*ms_ago).into());
            let at = now.checked_sub(ago).unwrap_or(now);
            if self.apply_evidence((*cause).into(), Evidence { upstream: *upstream, at }, now) {
                quarantined.push((*cause).into());
            }
        }
        for QuarantinedCause { cause, tests, next_test_ms } in &news.quarantined {
            let next_test_at = now + Duration::from_millis((*next_test_ms).into());
            if self.apply_quarantine((*cause).into(), *tests, next_test_at, now) {
                quarantined.push((*cause).into());
            }
        }
        let mut cleared = Vec::new();
        for cause in &news.sound {
            let cause = (*cause).into();
            self.sound.put(cause, now);
            self.suspects.pop(&cause);
            if self.quarantined.remove(&cause).is_some() {
                cleared.push(cause);
            }
        }
        QuarantineChanges { quarantined, cleared }
    }

    /// Returns whether the cause is quarantined by another gateway's evidence.
    fn apply_evidence(&mut self, cause: Cause, evidence: Evidence, now: Instant) -> bool {
        if self.is_sound(cause, evidence.at) {
            self.tell_sound(cause, now);
            return false;
        }
        self.add_evidence(cause, evidence, now)
    }

    /// Returns whether the cause is quarantined because it is at another gateway. Of two times for
    /// the same test the earlier one counts: that gateway knows of answers.
    fn apply_quarantine(
        &mut self,
        cause: Cause,
        tests: u32,
        next_test_at: Instant,
        now: Instant,
    ) -> bool {
        if self.is_sound(cause, now) {
            self.tell_sound(cause, now);
            return false;
        }
        if let Some(known) = self.quarantined.get_mut(&cause) {
            known.active_at = now;
            let is_earlier = tests == known.tests && next_test_at < known.next_test_at;
            if tests > known.tests || is_earlier {
                (known.tests, known.next_test_at) = (tests, next_test_at);
            }
            return false;
        }
        let adopted = Quarantine { tests, next_test_at, ..self.begin_quarantine(cause, now) };
        self.quarantine(cause, adopted)
    }
}
