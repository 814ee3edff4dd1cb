//! Admission of requests: route, customer key, allowance.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use errors::{Outcome, Refusal, ResultCode};
use http::{HeaderMap, Method, Uri};
use log::info;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::HeldBytes;
use super::allowance::AllowanceDecision;
use super::caller_request::IncomingRequest;
use super::dispatch::DispatchProgress;
use super::state::Shared;
use super::stream_versions::StreamTarget;
use crate::allowance::{CustomerId, request_cost};
use crate::model::{
    Customer, RequestContent, RequestHash, RequestMetadata, Route, ServiceId, VersionId,
};
use crate::planned_stop::StopRequest;
use crate::scheduler::{Job, Priority, RouteId};
use crate::stream_versions::StreamId;

/// Retry delay given by a process without a configuration, or with one that the store has not
/// confirmed recently: the store is read about once a second.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Retry delay given where only this process cannot serve: callers' retries reach other gateways.
pub(super) const OTHER_GATEWAY_RETRY_AFTER: Duration = Duration::from_millis(20);

/// A request waits for its customer's bucket owner for at most the route's latency objective
/// divided by this; the rest of the objective is left for the upstream.
const OWNER_WAIT_DIVISOR: u32 = 2;

/// Share of a caller's remaining time up to which it still honours a retry delay.
const MAX_RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

/// Shortest retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Width of the random jitter of retry delays, relative to the delay, so that callers do not return
/// together.
const RETRY_AFTER_JITTER: f64 = 0.3;

/// Share of a route's timeout below which a caller's own timeout shows that it has tried before.
const FIRST_ATTEMPT_TIMEOUT_SHARE: f64 = 0.97;

/// Minimum of the time without an event after which callers abandon a stream. As the platform's
/// documentation states, that time is the longest of this value and the two multiples below, which
/// are taken of the route's latency objective and its pause objective.
const MIN_STREAM_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Multiple of the latency objective in the limit that `MIN_STREAM_SILENCE_LIMIT` describes.
const STREAM_SILENCE_OBJECTIVE_MULTIPLE: u32 = 4;

/// Multiple of the pause objective in the limit that `MIN_STREAM_SILENCE_LIMIT` describes.
const STREAM_SILENCE_PAUSE_MULTIPLE: u32 = 8;

/// A request that was admitted.
pub(super) struct AdmittedRequest {
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) metadata: RequestMetadata,
    pub(super) route: Rc<Route>,
    pub(super) service: String,
    /// The stream, if it may be resumed.
    pub(super) stream: Option<StreamId>,
    /// Software version at which a stream that its caller takes up has to go on.
    pub(super) version: Option<VersionId>,
    /// Whether the stream is known to have begun and broken off.
    resumes: bool,
    /// Availability zone of this gateway.
    zone: Rc<str>,
    /// Output tokens in each event of the service's streams.
    pub(super) tokens_per_event: u32,
    pub(super) customer: Option<Rc<Customer>>,
    pub(super) priority: Priority,
    pub(super) arrived: Instant,
    /// Earlier end of the caller's and the route's timeouts.
    pub(super) deadline: Instant,
    /// Units that were charged to the customer's allowance.
    charged_units: f64,
    hash: OnceCell<RequestHash>,
    /// Room for its body and a small response.
    _held: HeldBytes,
}

impl AdmittedRequest {
    /// Describes the request for the scheduler, with its deadline as the limit of its time in the
    /// queue.
    pub(super) fn to_job(&self) -> Job {
        Job {
            service: ServiceId::of(&self.service),
            route: RouteId(xxh3_64(self.route.name.as_bytes()) as u32),
            priority: if self.resumes { Priority::RESUMED } else { self.priority },
            zone: self.zone.clone(),
            prompt_tokens: self.metadata.prompt_tokens.unwrap_or(0),
            output_tokens: self.metadata.expected_output_tokens(),
            tokens_per_event: self.tokens_per_event,
            is_stream: self.route.kind.is_stream(),
            session_part: self.metadata.prompt_parts.last().map(|part| part.id),
            is_last_attempt: self.resumes || self.is_caller_retry(),
            arrived: self.arrived,
            objective_at: self.arrived + self.route.latency_objective,
            pause_objective: self.route.pause_objective,
            queue_deadline: self.deadline,
            deadline: self.deadline,
            version: self.version,
            excluded: Vec::new(),
            suspect: Vec::new(),
        }
    }

    /// Hash of what the request asks for, computed when it is first needed.
    pub(super) fn hash(&self) -> RequestHash {
        let target = self.target.path_and_query().map_or("", |target| target.as_str());
        *self.hash.get_or_init(|| {
            RequestHash::of(RequestContent {
                method: self.method.as_str(),
                host: &self.route.host,
                target,
                customer: self.customer.as_ref().map(|customer| customer.name.as_str()),
                body: &self.body,
            })
        })
    }

    /// Whether the caller seems to have tried before: its timeout is shorter than the route's.
    fn is_caller_retry(&self) -> bool {
        let timeout = self.metadata.timeout;
        timeout.is_some_and(|timeout| {
            timeout < self.route.timeout.mul_f64(FIRST_ATTEMPT_TIMEOUT_SHARE)
        })
    }

    /// Time without an event after which callers abandon a stream.
    pub(super) fn stream_silence_limit(&self) -> Duration {
        let of_objective = self.route.latency_objective * STREAM_SILENCE_OBJECTIVE_MULTIPLE;
        let of_pause =
            self.route.pause_objective.unwrap_or_default() * STREAM_SILENCE_PAUSE_MULTIPLE;
        MIN_STREAM_SILENCE_LIMIT.max(of_objective).max(of_pause)
    }

    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

impl Shared {
    /// Admits a request or refuses it.
    pub(super) async fn admit(
        &self,
        incoming: IncomingRequest,
        arrived: Instant,
    ) -> Result<AdmittedRequest, Refusal> {
        let metadata = self.header_codec.decode_request(&incoming.headers).map_err(|reason| {
            Refusal::not_run(ResultCode::MalformedRequest).with_message(reason)
        })?;
        let missing_configuration = || {
            self.not_run_refusal(ResultCode::ConfigurationMissing, self.configuration_retry_after())
        };
        let configuration = self.configuration().ok_or_else(missing_configuration)?;
        let accepts_keys = self.accepts_keys();
        let Some(route) = configuration.routes.find(&incoming.host, incoming.target.path()) else {
            return Err(if accepts_keys {
                Refusal::not_run(ResultCode::NotFound)
            } else {
                missing_configuration()
            });
        };
        let customer = if configuration.requires_keys && !route.public {
            if !accepts_keys {
                return Err(missing_configuration());
            }
            let key = metadata.key.as_deref().unwrap_or_default();
            let found = configuration.keys.find(key);
            Some(found.ok_or_else(|| Refusal::not_run(ResultCode::UnknownKey))?)
        } else {
            None
        };
        let timeout = metadata.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let deadline = arrived + timeout;
        self.refuse_while_stopping(&route, deadline)?;
        let customer_name = customer.as_ref().map(|customer| customer.name.as_str());
        let StreamTarget { service, stream, version, resumes } =
            self.choose_target(&route, &metadata, customer_name, arrived, timeout).await?;
        let tokens_per_event = configuration.tokens_per_event.get(&service).copied().unwrap_or(1);
        let max_wait = (route.latency_objective / OWNER_WAIT_DIVISOR).min(timeout);
        let charged_units =
            self.charge_customer(customer.as_deref(), &metadata, max_wait, deadline).await?;
        let tier = customer.as_ref().and_then(|customer| customer.tier).unwrap_or(route.tier);
        let priority = Priority { tier, route_tier: route.tier };
        let IncomingRequest { method, target, headers, body, held, .. } = incoming;
        Ok(AdmittedRequest {
            method,
            target,
            headers,
            body,
            metadata,
            route,
            service,
            stream,
            version,
            resumes,
            zone: self.own_zone.clone(),
            tokens_per_event,
            customer,
            priority,
            arrived,
            deadline,
            charged_units,
            hash: OnceCell::new(),
            _held: held,
        })
    }

    /// Retry delay where this gateway cannot rely on its configuration: short if its peers have a
    /// more recent one.
    fn configuration_retry_after(&self) -> Duration {
        if self.lags_behind_peers() { OTHER_GATEWAY_RETRY_AFTER } else { CONFIGURATION_RETRY_AFTER }
    }

    /// Refuses requests that a planned stop does not take; another gateway serves them better.
    fn refuse_while_stopping(&self, route: &Route, deadline: Instant) -> Result<(), Refusal> {
        let Some(stop) = self.planned_stop.get() else { return Ok(()) };
        let request = StopRequest {
            may_repeat: route.kind.may_retry(),
            deadline,
            longest_time: self.served_times.borrow().longest(&route.name),
        };
        if stop.admits(&request, self.clock.now()) {
            Ok(())
        } else {
            Err(self.not_run_refusal(ResultCode::Draining, OTHER_GATEWAY_RETRY_AFTER))
        }
    }

    /// The last answer to a request that is still open when the process is about to exit.
    pub(super) fn stop_refusal(&self, progress: &DispatchProgress) -> Refusal {
        if progress.may_have_run() {
            Refusal::new(ResultCode::DeadlinePassed, Outcome::Unknown)
        } else {
            self.not_run_refusal(ResultCode::Draining, OTHER_GATEWAY_RETRY_AFTER)
        }
    }

    /// Charges a request's cost to its customer's allowance, and returns the units charged.
    async fn charge_customer(
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
                let time_left = deadline.saturating_duration_since(self.clock.now());
                let retry_after = clamp_retry_after(retry_after, time_left);
                Err(self.not_run_refusal(ResultCode::LimitReached, retry_after))
            }
        }
    }

    /// Refunds the units that were charged for a request that did not run.
    pub(super) fn refund_customer(&self, admitted: &AdmittedRequest) {
        if let Some(customer) = &admitted.customer {
            let id = CustomerId::of(&customer.name);
            self.local_credit.borrow_mut().refund(id, admitted.charged_units, self.clock.now());
        }
    }

    /// Builds the refusal of a request that has not run, with a jittered retry delay.
    pub(super) fn not_run_refusal(&self, code: ResultCode, retry_after: Duration) -> Refusal {
        let jitter = 1.0 + RETRY_AFTER_JITTER * (rand::rng().random::<f64>() - 0.5);
        Refusal::not_run(code).with_retry_after(retry_after.mul_f64(jitter))
    }
}

/// Limits a retry delay to one that a caller with `time_left` still honours.
pub(super) fn clamp_retry_after(retry_after: Duration, time_left: Duration) -> Duration {
    retry_after.max(MIN_RETRY_AFTER).min(max_retry_after(time_left))
}

/// The longest retry delay that a caller with `time_left` still honours, jitter included. A refused
/// request has missed its objective anyway; the delay has to make it likely that the retry gets a
/// slot.
pub(super) fn max_retry_after(time_left: Duration) -> Duration {
    time_left.mul_f64(MAX_RETRY_AFTER_SHARE / (1.0 + RETRY_AFTER_JITTER / 2.0))
}
