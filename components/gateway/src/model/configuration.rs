//! The operators' configuration, in numbered versions.

use std::time::Duration;

/// One version of the configuration. Version numbers only increase.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Version number.
    pub version: u64,
    /// Routes from hosts and path prefixes to services.
    pub routes: Vec<Route>,
    /// Services whose upstreams are model engines.
    pub engines: Vec<Engine>,
    /// Customers that may send requests; empty if no key is required.
    pub customers: Vec<Customer>,
    /// Limits on callers' connections and requests.
    pub caller_limits: CallerLimits,
}

/// Settings of a service whose upstreams are model engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Name of the service.
    pub service: String,
    /// Output tokens in each event of a stream; the last event may contain fewer.
    pub tokens_per_event: u32,
}

/// Kind of a route's requests; it determines whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Requests run at most once and are answered by a stream of events. If an upstream fails, a
    /// resumable stream may continue at another upstream after the last event received.
    Stream {
        /// Whether the stream may be resumed.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent to a second upstream although the first may have run it.
    pub fn may_retry(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A host and path prefix, and the services that its requests are sent to.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name given by the operators.
    pub name: String,
    /// Host that requests must name.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Whether requests may be retried and whether responses are streams.
    pub kind: RouteKind,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, has its full value.
    pub latency_objective: Duration,
    /// Longest pause between two events with which a stream has its full value.
    pub pause_objective: Option<Duration>,
    /// Tier of the requests; 0 is the highest.
    pub tier: u8,
    /// Whether callers need no key.
    pub public: bool,
    /// Maximum number of upstreams that may run one request.
    pub max_upstreams: u32,
    /// Services among which the route's requests are split by weight.
    pub targets: Vec<Target>,
}

/// A service that receives part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// An organisation that sends requests, identified by its keys.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Name of the customer.
    pub name: String,
    /// Keys that identify the customer.
    pub keys: Vec<String>,
    /// Tier of its requests, which takes precedence over the route's tier.
    pub tier: Option<u8>,
    /// Rate limit; `None` for no limit.
    pub allowance: Option<Allowance>,
}

/// Unit that an allowance counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowanceUnit {
    /// Requests.
    Requests,
    /// Prompt tokens and requested output tokens.
    Tokens {
        /// Tokens charged for a request without token counts.
        plain_tokens: u32,
    },
}

/// A customer's rate limit: a token bucket that all gateways share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Unit that the bucket counts.
    pub unit: AllowanceUnit,
    /// Units added per second.
    pub per_second: f64,
    /// Maximum units in the bucket.
    pub burst: f64,
}

/// Limits on callers' requests and idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time for a complete request head, from its first byte on.
    pub header_timeout: Duration,
    /// Maximum time that a connection may wait for a request, or for more of a request's body.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits until the first configuration is received; as high as the platform's usual ones.
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
