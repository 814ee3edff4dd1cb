//! Selects the route of a request, and tells which streams may be resumed.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::model::{Route, RouteKind, ServiceId, Target};

/// Time for which a stream may last over all attempts of its caller, in multiples of the longest
/// timeout of a route.
const STREAM_LIFETIME_TIMEOUTS: u32 = 2;

/// Bounds of that time; the store keeps no record for longer than the upper one.
const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(10);
const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(400);

/// Routes of one configuration version, by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// Builds the table and sorts the routes of each host by descending prefix length.
    pub fn new(routes: &[Route]) -> RouteTable {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        RouteTable { by_host }
    }

    /// Finds the host's route with the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix)).cloned()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

/// Picks one of a route's services by weight. `sample` is uniformly distributed in 0..1.
pub fn pick_target(targets: &[Target], sample: f64) -> Option<&str> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut left = (sample * total as f64) as u64;
    for target in targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return Some(&target.service);
        }
        left -= weight;
    }
    targets.last().map(|target| target.service.as_str())
}

fn resumable_routes(routes: &[Route]) -> impl Iterator<Item = &Route> {
    routes.iter().filter(|route| route.kind == RouteKind::Stream { resumable: true })
}

/// Services to which routes send streams that may be resumed.
pub fn resumable_services(routes: &[Route]) -> Vec<ServiceId> {
    let targets = resumable_routes(routes).flat_map(|route| &route.targets);
    let mut services: Vec<ServiceId> =
        targets.map(|target| ServiceId::of(&target.service)).collect();
    services.sort_unstable();
    services.dedup();
    services
}

/// Time for which a stream that may be resumed lasts at most, over all attempts of its caller.
pub fn stream_lifetime(routes: &[Route]) -> Duration {
    let longest = resumable_routes(routes).map(|route| route.timeout).max().unwrap_or_default();
    longest.saturating_mul(STREAM_LIFETIME_TIMEOUTS).clamp(MIN_STREAM_LIFETIME, MAX_STREAM_LIFETIME)
}
