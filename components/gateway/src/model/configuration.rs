//! The operators' configuration, one numbered version.

use std::time::Duration;

/// One version of the configuration. Versions only grow.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// The number of the version.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// Services whose upstreams are model engines.
    pub engines: Vec<Engine>,
    /// Who may call; empty where no key is asked for.
    pub customers: Vec<Customer>,
    /// What callers may send.
    pub caller_limits: CallerLimits,
}

/// What the upstreams of a service have in common where they are model engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// The service.
    pub service: String,
    /// Output tokens in each event of a stream; the last event may hold fewer.
    pub tokens_per_event: u32,
}

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events, which runs at most once; a resumable one may go on at another upstream
    /// after its last event.
    Stream {
        /// Whether it may be resumed.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether the request may be handed to a second upstream after the first may have run it.
    pub fn may_retry(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A host and path prefix, and the service behind it.
#[derive(Debug, Clone)]
pub struct Route {
    /// The operators' name for it.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// The longest that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, has its full worth.
    pub latency_objective: Duration,
    /// The longest pause between two events of a stream with which it still has its full worth.
    pub pause_objective: Option<Duration>,
    /// The rank; 0 is the highest.
    pub tier: u8,
    /// Whether it is open to callers without a key.
    pub public: bool,
    /// The most upstreams that may run one request.
    pub max_upstreams: u32,
    /// Services that share the route's requests.
    pub targets: Vec<Target>,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// An organisation that calls, by its keys.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// The keys that it may use.
    pub keys: Vec<String>,
    /// Its own rank, which goes before the route's.
    pub tier: Option<u8>,
    /// What it may ask for; `None` without a limit.
    pub allowance: Option<Allowance>,
}

/// What an allowance counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowanceUnit {
    /// Requests.
    Requests,
    /// Prompt tokens and requested output tokens; `plain_tokens` for a request without them.
    Tokens {
        /// What a request without token counts costs.
        plain_tokens: u32,
    },
}

/// A token bucket that all entries share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// What it counts.
    pub unit: AllowanceUnit,
    /// Units regained a second.
    pub per_second: f64,
    /// Units that it holds at most.
    pub burst: f64,
}

/// What callers may send, and how long a connection may stay without a whole head of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub header_bytes: usize,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Longest time without a request on a connection; a head that comes slower ends it too.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits before the first configuration is known, as wide as the platform's usual ones.
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
