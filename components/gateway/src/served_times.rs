//! How long requests of each route take, so that a planned stop can tell which ones still end in
//! time.

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

/// Share of the longest time that is left after each further request, so that an old one is
/// forgotten after some hundred.
const DECAY: f64 = 0.99;

/// Number of routes that are remembered.
const MAX_ROUTES: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");

/// Longest recent times of served requests, by route.
#[derive(Debug)]
pub struct ServedTimes {
    longest: LruCache<String, Duration>,
}

impl Default for ServedTimes {
    fn default() -> ServedTimes {
        ServedTimes { longest: LruCache::new(MAX_ROUTES) }
    }
}

impl ServedTimes {
    /// Records the time from the arrival of a request to the end of its response.
    pub fn record(&mut self, route: &str, elapsed: Duration) {
        match self.longest.get_mut(route) {
            Some(longest) => *longest = longest.mul_f64(DECAY).max(elapsed),
            None => {
                self.longest.put(route.to_owned(), elapsed);
            }
        }
    }

    /// Longest recent time of a route's requests; `None` if none has been served.
    pub fn longest(&self, route: &str) -> Option<Duration> {
        self.longest.peek(route).copied()
    }
}
