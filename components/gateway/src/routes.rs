//! Which route a request takes.

use std::collections::HashMap;
use std::rc::Rc;

use crate::model::{Route, Target};

/// The routes of one configuration, by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// Builds the table; the longest prefix of each host comes first.
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

    /// The route of the host with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix)).cloned()
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

/// Picks one of a route's services by weight; `sample` is uniform in 0..1.
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
