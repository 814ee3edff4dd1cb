//! The filters that a request passes, in order; each is a file.
//!
//! `identify`, `classify`, `limit`, `admit` and `place` look at the request before it is handed
//! over; `dispatch` and `relay` follow it from there until its answer is whole.

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

use crate::controllers::membership::{Availability, Member};

/// Status of an upstream, as its agent last reported it to this entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Load as the agent told it.
    pub load: LoadDigest,
    /// When the load was reported.
    pub reported_at: Instant,
    /// Requests of this process in flight there.
    pub own_outstanding: u32,
    /// Whether it takes new work.
    pub member: Member,
}

/// State that filters decide by; a whole new one is published at each change.
#[derive(Debug, Clone)]
pub struct RoutingView {
    /// The configuration in force.
    pub configuration: Arc<Snapshot>,
    /// Status of each upstream whose agent has reported.
    pub upstream_statuses: Arc<BTreeMap<UpstreamId, UpstreamStatus>>,
    /// The availability zone of this process.
    pub zone: ZoneId,
    /// This process takes no new work.
    pub draining: bool,
}

/// A request on its way through the filters.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// What the caller sent.
    pub request: &'a Request,
    /// State to decide by.
    pub view: &'a RoutingView,
    /// The time of the decision.
    pub now: Instant,
    /// Set by `identify`.
    pub customer: Option<CustomerId>,
    /// Set by `identify`.
    pub key: Option<RequestKey>,
    /// Set by `classify`.
    pub job: Option<Job>,
    /// Upstreams that were tried and refused.
    pub excluded: &'a [UpstreamId],
    /// Set by `place`.
    pub upstream: Option<UpstreamId>,
}

impl RoutingView {
    /// Whether an upstream takes new work.
    pub fn availability(&self, upstream: &UpstreamId, now: Instant) -> Availability {
        self.upstream_statuses
            .get(upstream)
            .map_or(Availability::Available, |status| status.member.availability(now))
    }
}

impl<'a> Exchange<'a> {
    /// A request that no filter has seen.
    pub fn new(request: &'a Request, view: &'a RoutingView, now: Instant) -> Exchange<'a> {
        Exchange {
            request,
            view,
            now,
            customer: None,
            key: None,
            job: None,
            excluded: &[],
            upstream: None,
        }
    }
}

/// A request as `classify` understands it.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// What is to be done.
    pub work: Work,
    /// Importance.
    pub tier: Tier,
    /// The call must not run twice.
    pub non_idempotent: bool,
    /// The caller wants the answer piece by piece.
    pub streamed: bool,
    /// Time from arrival until the answer is worthless.
    pub deadline: Duration,
}

/// What a filter decided.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// On to the next filter.
    Continue,
    /// The request ends here.
    Reject(Refusal),
}

/// A filter.
pub trait Filter: Send + Sync {
    /// Its name in logs and explanations.
    fn name(&self) -> &'static str;

    /// Looks at the request and says whether it goes on.
    fn apply(&self, exchange: &mut Exchange<'_>) -> Step;
}

/// The filters before a request is handed over, in order.
pub struct FilterChain {
    filters: Vec<Box<dyn Filter>>,
    place: place::Place,
}

impl FilterChain {
    /// The chain of the product.
    pub fn new() -> FilterChain {
        FilterChain {
            filters: vec![
                Box::new(identify::Identify),
                Box::new(classify::Classify),
                Box::new(limit::Limit::default()),
                Box::new(admit::Admit),
            ],
            place: place::Place::default(),
        }
    }

    /// Runs every filter until one ends the request; names the filter that did.
    pub fn run(&self, exchange: &mut Exchange<'_>) -> Result<(), (&'static str, Refusal)> {
        for filter in &self.filters {
            if let Step::Reject(refusal) = filter.apply(exchange) {
                return Err((filter.name(), refusal));
            }
        }
        self.place_again(exchange)
    }

    /// Runs the last filter alone, for a request that was admitted before.
    pub fn place_again(&self, exchange: &mut Exchange<'_>) -> Result<(), (&'static str, Refusal)> {
        match self.place.apply(exchange) {
            Step::Continue => Ok(()),
            Step::Reject(refusal) => Err((self.place.name(), refusal)),
        }
    }
}

impl Default for FilterChain {
    fn default() -> Self {
        FilterChain::new()
    }
}
