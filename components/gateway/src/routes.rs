//! Selects the route of a request.

use std::collections::HashMap;
use std::rc::Rc;

use crate::model::{Route, Target};

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
