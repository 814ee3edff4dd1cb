//! Rates that upstreams name in their responses: the requests a second that they take from all
//! gateways together, for as long as their responses say so.
//!
//! Load pattern: an upstream in need that still responds quickly. Its slots are free again at once,
//! so that nothing but its limit bounds what it gets. Responses tell the limit to some gateways,
//! digests to the others; the broker of the service assigns the upstream no more than that.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::model::{StatedLimit, UpstreamId};

/// Rate at which an upstream is assigned requests whatever its limit, in requests per second: only
/// a response can say that the limit has ended.
const MIN_PER_SECOND: f64 = 0.2;

/// Share of a limit that all gateways together may assign that are not the broker of the service.
/// They are asked while others may still reach the broker. Upstreams tolerate half of their limit
/// in addition.
const SUBSTITUTES_SHARE: f64 = 0.4;

/// Smallest part of a limit that a substitute assigns, in requests per second. With less, the first
/// request of each of many substitutes would already be more than the upstream takes.
const MIN_SUBSTITUTE_PER_SECOND: f64 = 1.0;

/// Age from which the grant of a slot is not used. A gateway that stood still finds several grants
/// at once, and would send in a clump what was granted at the upstream's pace.
const MAX_GRANT_AGE: Duration = Duration::from_millis(600);

/// Time for which digests repeat that a limit has ended; covers the loss of several.
const END_NEWS_VALIDITY: Duration = Duration::from_secs(10);

/// Time for which limits of upstreams that the store does not list are remembered.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of entries in a digest, the most recent ones.
const MAX_NEWS: usize = 32;

/// What an upstream has said of its limit.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Requests per second; `None` if the upstream names no limit.
    per_second: Option<f64>,
    /// When a response named the limit, or when a request was sent whose response names none.
    at: Instant,
}

/// What is known of one upstream.
#[derive(Debug, Default)]
struct KnownLimit {
    /// The last statement to this gateway.
    own: Option<Statement>,
    /// The last statement to any other gateway.
    heard: Option<Statement>,
    /// Last time at which another gateway told of a limit that has ended.
    outdated_news_at: Option<Instant>,
}

impl KnownLimit {
    fn latest(&self) -> Option<Statement> {
        match (self.own, self.heard) {
            (Some(own), Some(heard)) => Some(if heard.at > own.at { heard } else { own }),
            (own, heard) => own.or(heard),
        }
    }

    fn per_second(&self) -> Option<f64> {
        self.latest()?.per_second
    }

    /// The statement that digests tell. One that this gateway only heard of is told by others.
    fn news(&self, now: Instant) -> Option<Statement> {
        let own = self.own.filter(|own| own.per_second == self.per_second())?;
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= END_NEWS_VALIDITY;
        let is_told = own.per_second.is_some()
            || is_recent(own.at)
            || self.outdated_news_at.is_some_and(is_recent);
        is_told.then_some(own)
    }
}

/// A limit in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests per second; `None` if the upstream no longer names a limit.
    pub per_second: Option<f64>,
    /// Milliseconds since it said so.
    pub ms_ago: u32,
}

/// A limit that has begun, changed or ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests per second; `None` if the limit has ended.
    pub per_second: Option<f64>,
}

/// How a gateway comes to assign the slots of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AssigningRole {
    /// It is the broker of the service, and reaches this share of all gateways. Those that it does
    /// not reach may have a broker of their own.
    Broker {
        /// 0 to 1.
        reachable_share: f64,
    },
    /// Gateways ask it in place of the broker, or it asks itself.
    Substitute {
        /// Number of all gateways.
        gateway_count: usize,
    },
}

impl AssigningRole {
    /// Requests per second that a gateway with this role may assign to an upstream with a limit.
    pub fn assignable_per_second(self, limit_per_second: f64) -> f64 {
        match self {
            AssigningRole::Broker { reachable_share } => {
                limit_per_second.max(MIN_PER_SECOND) * reachable_share
            }
            AssigningRole::Substitute { gateway_count } => {
                let part = limit_per_second * SUBSTITUTES_SHARE / gateway_count.max(1) as f64;
                if part < MIN_SUBSTITUTE_PER_SECOND { 0.0 } else { part }
            }
        }
    }
}

/// Limits of upstreams as known to one gateway.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    known: HashMap<UpstreamId, KnownLimit>,
}

impl UpstreamLimits {
    /// Records what a response says of its upstream's limit. `sent_at` is when its request was
    /// sent, or earlier: a response that was under way when the upstream named a limit does not end
    /// it.
    pub fn record_response(
        &mut self,
        upstream: UpstreamId,
        stated: StatedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let statement = match stated {
            StatedLimit::Unreadable => return None,
            StatedLimit::None if !self.known.contains_key(&upstream) => return None,
            StatedLimit::None => Statement { per_second: None, at: sent_at },
            StatedLimit::PerSecond(per_second) => {
                Statement { per_second: Some(per_second), at: now }
            }
        };
        self.update(upstream, |known| {
            if known.own.is_none_or(|own| own.at <= statement.at) {
                known.own = Some(statement);
            }
        })
    }

    /// Applies what another gateway tells.
    pub fn apply_news(&mut self, news: &[LimitNews], now: Instant) -> Vec<LimitChange> {
        let apply = |LimitNews { upstream, per_second, ms_ago }: &LimitNews| {
            let ago = Duration::from_millis((*ms_ago).into());
            let at = now.checked_sub(ago).unwrap_or(now);
            let statement = Statement { per_second: per_second.filter(is_valid), at };
            self.update(*upstream, |known| {
                if known.heard.is_none_or(|heard| heard.at <= at) {
                    known.heard = Some(statement);
                }
                if statement.per_second.is_some() && known.per_second().is_none() {
                    known.outdated_news_at = Some(now);
                }
            })
        };
        news.iter().filter_map(apply).collect()
    }

    fn update(
        &mut self,
        upstream: UpstreamId,
        update: impl FnOnce(&mut KnownLimit),
    ) -> Option<LimitChange> {
        let known = self.known.entry(upstream).or_default();
        let before = known.per_second();
        update(known);
        let per_second = known.per_second();
        (per_second != before).then_some(LimitChange { upstream, per_second })
    }

    /// Whether an upstream has a limit now.
    pub fn is_limited(&self, upstream: UpstreamId) -> bool {
        self.known.get(&upstream).is_some_and(|known| known.per_second().is_some())
    }

    /// Whether a slot that was granted at most `max_age` ago may still be used.
    pub fn may_use_grant(&self, upstream: UpstreamId, max_age: Duration) -> bool {
        max_age <= MAX_GRANT_AGE || !self.is_limited(upstream)
    }

    /// Upstreams that have a limit now, and their requests per second.
    pub fn limits(&self) -> impl Iterator<Item = (UpstreamId, f64)> + '_ {
        self.known.iter().filter_map(|(upstream, known)| Some((*upstream, known.per_second()?)))
    }

    /// What to tell the other gateways now.
    pub fn news(&self, now: Instant) -> Vec<LimitNews> {
        let describe = |(upstream, known): (&UpstreamId, &KnownLimit)| {
            let Statement { per_second, at } = known.news(now)?;
            let ms_ago = now.saturating_duration_since(at).as_millis();
            let ms_ago = u32::try_from(ms_ago).unwrap_or(u32::MAX);
            Some(LimitNews { upstream: *upstream, per_second, ms_ago })
        };
        let mut news: Vec<LimitNews> = self.known.iter().filter_map(describe).collect();
        news.sort_unstable_by_key(|news| (news.ms_ago, news.upstream));
        news.truncate(MAX_NEWS);
        news
    }

    /// Forgets upstreams that are gone, and limits that ended some time ago.
    pub fn expire(&mut self, is_listed: impl Fn(UpstreamId) -> bool, now: Instant) {
        self.known.retain(|upstream, known| {
            let latest = known.latest();
            let is_in_force = latest.is_some_and(|statement| statement.per_second.is_some());
            let is_recent = latest.is_some_and(|statement| {
                now.saturating_duration_since(statement.at) <= UNLISTED_RETENTION
            });
            is_recent || (is_in_force && is_listed(*upstream))
        });
    }
}

fn is_valid(per_second: &f64) -> bool {
    per_second.is_finite() && *per_second >= 0.0
}
