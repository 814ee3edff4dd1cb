//! Whether a request is let in: route, key, allowance.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use errors::{Refusal, ResultCode};
use http::{HeaderMap, Method, Uri};
use log::info;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::allowance::AllowanceDecision;
use super::request_head::Incoming;
use super::state::Shared;
use crate::allowance::{CustomerId, request_cost};
use crate::model::{Customer, RequestMetadata, Route, ServiceId};
use crate::routes::pick_target;
use crate::scheduler::{Job, Priority, RouteId};

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
pub(super) struct AdmittedRequest {
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) metadata: RequestMetadata,
    pub(super) route: Rc<Route>,
    pub(super) service: String,
    /// This entry's availability zone.
    zone: Rc<str>,
    /// Output tokens in each event of the service's streams.
    pub(super) tokens_per_event: u32,
    pub(super) customer: Option<Rc<Customer>>,
    pub(super) priority: Priority,
    pub(super) arrived: Instant,
    /// When the caller's patience or the route's timeout ends.
    pub(super) deadline: Instant,
    /// What was taken from the customer's allowance.
    taken: f64,
}

impl AdmittedRequest {
    /// What the scheduler has to know, for a request that may wait until its time is over.
    pub(super) fn job(&self) -> Job {
        Job {
            service: ServiceId::of(&self.service),
            route: RouteId(xxh3_64(self.route.name.as_bytes()) as u32),
            priority: self.priority,
            zone: self.zone.clone(),
            prompt_tokens: self.metadata.prompt_tokens.unwrap_or(0),
            output_tokens: self.metadata.expected_output_tokens(),
            tokens_per_event: self.tokens_per_event,
            session_part: self.metadata.prompt_parts.last().map(|part| part.id),
            is_last_attempt: self.is_returning(),
            arrived: self.arrived,
            objective_at: self.arrived + self.route.latency_objective,
            pause_objective: self.route.pause_objective,
            queue_deadline: self.deadline,
            deadline: self.deadline,
            excluded: Vec::new(),
            suspect: Vec::new(),
        }
    }

    /// Whether the caller seems to have tried before: it waits for less than the route allows.
    fn is_returning(&self) -> bool {
        let timeout = self.metadata.timeout;
        timeout.is_some_and(|left| left < self.route.timeout.mul_f64(FIRST_TRY_SHARE))
    }

    /// The longest time without an event after which callers give up a stream.
    pub(super) fn longest_pause(&self) -> Duration {
        let of_objective = self.route.latency_objective * GIVE_UP_OBJECTIVES;
        let of_pause = self.route.pause_objective.unwrap_or_default() * GIVE_UP_PAUSES;
        GIVE_UP.max(of_objective).max(of_pause)
    }

    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

impl Shared {
    /// Lets a request in or refuses it.
    pub(super) async fn admit(
        &self,
        incoming: Incoming,
        arrived: Instant,
    ) -> Result<AdmittedRequest, Refusal> {
        let metadata = self.header_codec.decode_request(&incoming.headers).map_err(|reason| {
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
            let key = metadata.key.as_deref().unwrap_or_default();
            let found = known.keys.find(key);
            Some(found.ok_or_else(|| Refusal::not_run(ResultCode::UnknownKey))?)
        } else {
            None
        };
        let timeout = metadata.timeout.map_or(route.timeout, |left| left.min(route.timeout));
        let deadline = arrived + timeout;
        let service = pick_target(&route.targets, rand::rng().random())
            .ok_or_else(|| Refusal::not_run(ResultCode::NoUpstream))?
            .to_owned();
        let tokens_per_event = known.tokens_per_event.get(&service).copied().unwrap_or(1);
        let max_wait = (route.latency_objective / AWAITED_PART).min(timeout);
        let taken = self.admit_customer(customer.as_deref(), &metadata, max_wait, deadline).await?;
        let tier = customer.as_ref().and_then(|customer| customer.tier).unwrap_or(route.tier);
        let priority = Priority { tier, route_tier: route.tier };
        let Incoming { method, target, headers, body, .. } = incoming;
        Ok(AdmittedRequest {
            method,
            target,
            headers,
            body,
            metadata,
            route,
            service,
            zone: self.own_zone.clone(),
            tokens_per_event,
            customer,
            priority,
            arrived,
            deadline,
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
        metadata: &RequestMetadata,
        max_wait: Duration,
        deadline: Instant,
    ) -> Result<f64, Refusal> {
        let Some((customer, allowance)) =
            customer.and_then(|customer| Some((customer, customer.allowance?)))
        else {
            return Ok(0.0);
        };
        let cost = request_cost(allowance.unit, metadata);
        let id = CustomerId::of(&customer.name);
        match self.acquire_allowance(id, allowance, cost, max_wait).await {
            AllowanceDecision::Allowed => Ok(cost),
            AllowanceDecision::Denied { retry_after, by_own_share } => {
                info!(
                    "allowance.refused id={} customer={} cost={cost} per_second={:.0} wait_ms={} by_own_share={by_own_share}",
                    metadata.attempt_id,
                    customer.name,
                    allowance.per_second,
                    retry_after.as_millis(),
                );
                let left = deadline.saturating_duration_since(self.clock.now());
                let wait = clamp_retry_after(retry_after, left);
                Err(self.not_run(ResultCode::LimitReached, wait))
            }
        }
    }

    /// Gives a customer back what a request took that did not run.
    pub(super) fn refund(&self, admitted: &AdmittedRequest) {
        if let Some(customer) = &admitted.customer {
            let id = CustomerId::of(&customer.name);
            self.local_credit.borrow_mut().refund(id, admitted.taken, self.clock.now());
        }
    }

    /// A refusal of a request that has not run, with a spread time to come back.
    pub(super) fn not_run(&self, code: ResultCode, wait: Duration) -> Refusal {
        let spread = 1.0 + RETRY_SPREAD * (rand::rng().random::<f64>() - 0.5);
        Refusal::not_run(code).with_retry_after(wait.mul_f64(spread))
    }
}

/// The time to come back that is nearest to `wait` and that a caller with `left` still honours.
pub(super) fn clamp_retry_after(wait: Duration, left: Duration) -> Duration {
    wait.max(LEAST_RETRY_AFTER).min(max_retry_after(left))
}

/// The longest time to come back that a caller with `left` still honours. A refused request has
/// missed its objective; what counts then is that it finds a place at its next try.
pub(super) fn max_retry_after(left: Duration) -> Duration {
    left.mul_f64(HONOURED_SHARE / (1.0 + RETRY_SPREAD / 2.0))
}
