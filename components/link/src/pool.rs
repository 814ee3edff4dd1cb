//! Pool of idle connections that are reused for later requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::Connection;

/// Longest time that an idle connection is kept, whatever its server states. A time without end would
/// be beyond what the clock can express.
const MAX_LIFETIME: Duration = Duration::from_secs(86_400);

/// Idle connections by address. The most recently used one is reused first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    usable_until: Instant,
}

impl Pool {
    /// Removes and returns a connection to `address` that has been idle for at most `longest_idle`.
    pub fn take(
        &self,
        address: SocketAddr,
        now: Instant,
        longest_idle: Duration,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| !idle.connection.is_closed() && idle.usable_until > now);
        let position = connections.iter().rposition(|idle| {
            idle.connection.is_ready()
                && now.saturating_duration_since(idle.idle_since) <= longest_idle
        })?;
        Some(connections.remove(position).connection)
    }

    /// Adds an idle connection that may be reused until `lifetime` has passed, one day at most.
    pub fn put(
        &self,
        address: SocketAddr,
        connection: Connection,
        now: Instant,
        lifetime: Duration,
    ) {
        let usable_until = now + lifetime.min(MAX_LIFETIME);
        let idle = IdleConnection { connection, idle_since: now, usable_until };
        self.idle.borrow_mut().entry(address).or_default().push(idle);
    }

    /// Closes every idle connection to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Removes connections that have closed or whose lifetime has passed.
    pub fn evict_expired(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| !idle.connection.is_closed() && idle.usable_until > now);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Returns whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
