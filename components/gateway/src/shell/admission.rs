//! Whether a request is let in: route, key, allowance.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use errors::{Refusal, ResultCode};
use http::{HeaderMap, Method, Uri};
use log::info;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::credit::Within;
use super::head::Incoming;
use super::state::Shared;
use crate::allowance::{CustomerId, cost};
use crate::model::{Customer, RequestFacts, Route, ServiceId};
use crate::routes::pick_target;
use crate::scheduler::{Job, KindId, Rank};

/// When to come back to a process that doesn't know the configuration, or isn't sure of it: the
/// store is asked about once a second.
const RETRY_WITHOUT_CONFIGURATION: Duration = Duration::from_millis(1_000);

/// When to come back where only this process can't serve: callers' tries reach other entries.
const RETRY_AT_ANOTHER: Duration = Duration::from_millis(20);

/// How long after the start of a planned stop requests are let in: the balancer turns away after two
/// missed checks, a second apart.
const ADMITTED_AT_STOP: Duration = Duration::from_millis(2_800);

/// Part of a route's objective for the first event, as a divisor, for which a request waits for its
/// customer's keeper: the rest is for the upstream.
const AWAITED_PART: u32 = 2;

/// Part of the time left within which a caller still honours a time to come back.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// Least time to come back after.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(200);

/// How far times to come back are spread, so that callers don't return together.
const RETRY_SPREAD: f64 = 0.3;

/// Part of a route's timeout below which a caller's patience shows that it has tried before.
const FIRST_TRY_SHARE: f64 = 0.97;

/// Callers give up a stream without an event after the longest of this, so many of the route's
/// objectives and so many of its longest pauses; from the platform's pages.
const GIVE_UP: Duration = Duration::from_secs(2);
const GIVE_UP_OBJECTIVES: u32 = 4;
const GIVE_UP_PAUSES: u32 = 8;

/// A request that was let in.
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) facts: RequestFacts,
    pub(super) route: Rc<Route>,
    pub(super) service: String,
    /// This entry's availability zone.
    zone: Rc<str>,
    /// Output tokens in each event of the service's streams.
    pub(super) tokens_per_event: u32,
    pub(super) customer: Option<Rc<Customer>>,
    pub(super) rank: Rank,
    pub(super) arrived: Instant,
    /// When the caller's patience or the route's timeout ends.
    pub(super) limit_at: Instant,
    /// What was taken from the customer's allowance.
    taken: f64,
}

impl Call {
    /// What the scheduler has to know, for a request that may wait until its time is over.
    pub(super) fn job(&self) -> Job {
        Job {
            service: ServiceId::of(&self.service),
            kind: KindId(xxh3_64(self.route.name.as_bytes()) as u32),
            rank: self.rank,
            zone: self.zone.clone(),
            prompt_tokens: self.facts.prompt_tokens.unwrap_or(0),
            output_tokens: self.facts.expected_output_tokens(),
            tokens_per_event: self.tokens_per_event,
            session_part: self.facts.prompt_parts.last().map(|part| part.id),
            returning: self.is_returning(),
            arrived: self.arrived,
            objective_at: self.arrived + self.route.latency_objective,
            pause_objective: self.route.pause_objective,
            wait_until: self.limit_at,
            limit_at: self.limit_at,
            excluded: Vec::new(),
            doubtful: Vec::new(),
        }
    }

    /// Whether the caller seems to have tried before: it waits for less than the route allows.
    fn is_returning(&self) -> bool {
        let patience = self.facts.patience;
        patience.is_some_and(|left| left < self.route.timeout.mul_f64(FIRST_TRY_SHARE))
    }

    /// The longest time without an event after which callers give up a stream.
    pub(super) fn longest_pause(&self) -> Duration {
        let of_objective = self.route.latency_objective * GIVE_UP_OBJECTIVES;
        let of_pause = self.route.pause_objective.unwrap_or_default() * GIVE_UP_PAUSES;
        GIVE_UP.max(of_objective).max(of_pause)
    }

    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.limit_at.saturating_duration_since(now)
    }
}

impl Shared {
    /// Lets a request in or refuses it.
    pub(super) async fn admit(
        &self,
        incoming: Incoming,
        arrived: Instant,
    ) -> Result<Call, Refusal> {
        let facts = self.dialect.read_request(&incoming.headers).map_err(|reason| {
            Refusal::not_run(ResultCode::MalformedRequest).with_message(reason)
        })?;
        self.refuse_while_stopping(arrived)?;
        let without = || self.not_run(ResultCode::ConfigurationMissing, self.retry_elsewhere());
        let known = self.configuration().ok_or_else(without)?;
        let sure = self.honours_keys();
        let Some(route) = known.routes.find(&incoming.host, incoming.target.path()) else {
            return Err(if sure { Refusal::not_run(ResultCode::NotFound) } else { without() });
        };
        let customer = if known.asks_for_keys && !route.public {
            if !sure {
                return Err(without());
            }
            let key = facts.key.as_deref().unwrap_or_default();
            let found = known.keys.find(key);
            Some(found.ok_or_else(|| Refusal::not_run(ResultCode::UnknownKey))?)
        } else {
            None
        };
        let patience = facts.patience.map_or(route.timeout, |left| left.min(route.timeout));
        let limit_at = arrived + patience;
        let service = pick_target(&route.targets, rand::rng().random())
            .ok_or_else(|| Refusal::not_run(ResultCode::NoUpstream))?
            .to_owned();
        let tokens_per_event = known.tokens_per_event.get(&service).copied().unwrap_or(1);
        let patience = (route.latency_objective / AWAITED_PART).min(patience);
        let taken = self.admit_customer(customer.as_deref(), &facts, patience, limit_at).await?;
        let tier = customer.as_ref().and_then(|customer| customer.tier).unwrap_or(route.tier);
        let rank = Rank { tier, route_tier: route.tier };
        let Incoming { method, target, headers, body, .. } = incoming;
        Ok(Call {
            method,
            target,
            headers,
            body,
            facts,
            route,
            service,
            zone: self.own_zone.clone(),
            tokens_per_event,
            customer,
            rank,
            arrived,
            limit_at,
            taken,
        })
    }

    /// When to come back to another entry: at once where others know more of the store.
    fn retry_elsewhere(&self) -> Duration {
        if self.is_behind() { RETRY_AT_ANOTHER } else { RETRY_WITHOUT_CONFIGURATION }
    }

    /// A stopping process still serves what comes before the balancer has turned away, and what it
    /// can finish; later requests do better at another entry.
    fn refuse_while_stopping(&self, arrived: Instant) -> Result<(), Refusal> {
        let stopping = self.stopping_since.get();
        if stopping.is_some_and(|since| arrived.saturating_duration_since(since) > ADMITTED_AT_STOP)
        {
            return Err(self.not_run(ResultCode::Draining, RETRY_AT_ANOTHER));
        }
        Ok(())
    }

    /// Takes a request's cost out of its customer's allowance; gives back what it took.
    async fn admit_customer(
        &self,
        customer: Option<&Customer>,
        facts: &RequestFacts,
        patience: Duration,
        limit_at: Instant,
    ) -> Result<f64, Refusal> {
        let Some((customer, allowance)) =
            customer.and_then(|customer| Some((customer, customer.allowance?)))
        else {
            return Ok(0.0);
        };
        let cost = cost(allowance.unit, facts);
        let id = CustomerId::of(&customer.name);
        match self.take_allowance(id, allowance, cost, patience).await {
            Within::Yes => Ok(cost),
            Within::Not { retry_after, by_own_share } => {
                info!(
                    "allowance.refused id={} customer={} cost={cost} per_second={:.0} wait_ms={} by_own_share={by_own_share}",
                    facts.attempt_id,
                    customer.name,
                    allowance.per_second,
                    retry_after.as_millis(),
                );
                let left = limit_at.saturating_duration_since(self.clock.now());
                let wait = honoured(retry_after, left);
                Err(self.not_run(ResultCode::LimitReached, wait))
            }
        }
    }

    /// Gives a customer back what a request took that did not run.
    pub(super) fn give_back(&self, call: &Call) {
        if let Some(customer) = &call.customer {
            let id = CustomerId::of(&customer.name);
            self.purse.borrow_mut().give_back(id, call.taken, self.clock.now());
        }
    }

    /// A refusal of a request that has not run, with a spread time to come back.
    pub(super) fn not_run(&self, code: ResultCode, wait: Duration) -> Refusal {
        let spread = 1.0 + RETRY_SPREAD * (rand::rng().random::<f64>() - 0.5);
        Refusal::not_run(code).with_retry_after(wait.mul_f64(spread))
    }
}

/// The time to come back that is nearest to `wait` and that a caller with `left` still honours.
pub(super) fn honoured(wait: Duration, left: Duration) -> Duration {
    wait.max(LEAST_RETRY_AFTER).min(longest_honoured(left))
}

/// The longest time to come back that a caller with `left` still honours. A refused request has
/// missed its objective; what counts then is that it finds a place at its next try.
pub(super) fn longest_honoured(left: Duration) -> Duration {
    left.mul_f64(HONOURED_SHARE / (1.0 + RETRY_SPREAD / 2.0))
}
