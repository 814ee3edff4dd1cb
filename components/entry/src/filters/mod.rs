//! Filter chain of the entry process, and the tracking of a request after its dispatch.
//!
//! The filters `identify`, `classify`, `limit`, `admit` and `place` run in this order before a
//! request is dispatched. From there, `dispatch` and `relay` track it until its response is
//! complete.

pub mod admit;
pub mod classify;
pub mod dispatch;
pub mod identify;
pub mod limit;
pub mod place;
pub mod relay;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use configuration::Snapshot;
use errors::Refusal;
use identity::{CustomerId, Tier, UpstreamId, ZoneId};
use web::Request;
use wire::{LoadDigest, RequestKey, Work};

use crate::controllers::membership::{Availability, AvailabilityState};

/// Status of an upstream, as this entry process knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Load last reported by the agent; zero before the first report.
    pub load: LoadDigest,
    /// Time of the last load report. Before the first one, the time at which this status was
    /// created.
    pub reported_at: Instant,
    /// Requests of this process that are in flight at the upstream.
    pub own_outstanding: u32,
    /// Availability state of the upstream.
    pub availability_state: AvailabilityState,
}

/// Snapshot of the state that filters base their decisions on. Each change publishes a new one.
#[derive(Debug, Clone)]
pub struct RoutingView {
    /// The active configuration.
    pub configuration: Arc<Snapshot>,
    /// Status of each upstream that has been observed, by the host list or by a request.
    pub upstream_statuses: Arc<BTreeMap<UpstreamId, UpstreamStatus>>,
    /// The availability zone of this process.
    pub zone: ZoneId,
    /// Whether this process drains and takes no new requests.
    pub draining: bool,
}

/// A request and the results of the filters that it has passed.
#[derive(Debug)]
pub struct FilterContext<'a> {
    /// The caller's HTTP request.
    pub request: &'a Request,
    /// State that the filters base their decisions on.
    pub view: &'a RoutingView,
    /// Current time for all filters.
    pub now: Instant,
    /// Customer who sent the request; set by `identify`.
    pub customer: Option<CustomerId>,
    /// Identity of the request; set by `identify`.
    pub key: Option<RequestKey>,
    /// The parsed request; set by `classify`.
    pub parsed_request: Option<ParsedRequest>,
    /// Upstreams that have been tried for this request without success.
    pub excluded: &'a [UpstreamId],
    /// The chosen upstream; set by `place`.
    pub upstream: Option<UpstreamId>,
}

impl RoutingView {
    /// Returns the availability of an upstream. One that has no status yet counts as available.
    pub fn availability(&self, upstream: &UpstreamId, now: Instant) -> Availability {
        self.upstream_statuses
            .get(upstream)
            .map_or(Availability::Available, |status| status.availability_state.availability(now))
    }
}

impl<'a> FilterContext<'a> {
    /// Creates the context of a request that has not passed any filter.
    pub fn new(request: &'a Request, view: &'a RoutingView, now: Instant) -> FilterContext<'a> {
        FilterContext {
            request,
            view,
            now,
            customer: None,
            key: None,
            parsed_request: None,
            excluded: &[],
            upstream: None,
        }
    }
}

/// A parsed request: the work to dispatch and its scheduling parameters.
#[derive(Debug, Clone, PartialEq)]
pub struct ParsedRequest {
    /// The call to dispatch.
    pub work: Work,
    /// Priority class.
    pub tier: Tier,
    /// Whether the call must not run twice.
    pub non_idempotent: bool,
    /// Whether the caller wants the response as a stream.
    pub streamed: bool,
    /// Time from the arrival of the request until the caller has no use for the response.
    pub time_limit: Duration,
}

/// Decision of a filter.
#[derive(Debug, Clone, PartialEq)]
pub enum FilterDecision {
    /// Continue with the next filter.
    Continue,
    /// End the request with this refusal.
    Reject(Refusal),
}

/// One step of the filter chain.
pub trait Filter: Send + Sync {
    /// Name of the filter; the chain returns it with the refusal of a request.
    fn name(&self) -> &'static str;

    /// Evaluates the request, may add results to the context, and decides whether it continues.
    fn apply(&self, context: &mut FilterContext<'_>) -> FilterDecision;
}

/// The filters that run before a request is dispatched, in order.
pub struct FilterChain {
    filters: Vec<Box<dyn Filter>>,
    place: place::Place,
}

impl FilterChain {
    /// Creates the chain with all filters in their order.
    pub fn new() -> FilterChain {
        FilterChain {
            filters: vec![
                Box::new(identify::Identify),
                Box::new(classify::Classify),
                Box::new(limit::RateLimit::default()),
                Box::new(admit::Admit),
            ],
            place: place::Place::default(),
        }
    }

    /// Runs the filters in order. If one ends the request, its name is returned with the refusal.
    pub fn run(&self, context: &mut FilterContext<'_>) -> Result<(), (&'static str, Refusal)> {
        for filter in &self.filters {
            if let FilterDecision::Reject(refusal) = filter.apply(context) {
                return Err((filter.name(), refusal));
            }
        }
        self.place_request(context)
    }

    /// Runs only the `place` filter, for a request that has already passed the others.
    pub fn place_request(
        &self,
        context: &mut FilterContext<'_>,
    ) -> Result<(), (&'static str, Refusal)> {
        match self.place.apply(context) {
            FilterDecision::Continue => Ok(()),
            FilterDecision::Reject(refusal) => Err((self.place.name(), refusal)),
        }
    }
}

impl Default for FilterChain {
    fn default() -> Self {
        FilterChain::new()
    }
}
