//! Connections that wait for their next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::Connection;

/// Idle connections by address; the one used last is taken first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    usable_until: Instant,
}

impl Pool {
    /// Takes a connection to `address` that has been idle for at most `longest_idle`.
    pub fn take(
        &self,
        address: SocketAddr,
        now: Instant,
        longest_idle: Duration,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|idle| !idle.connection.is_closed() && idle.usable_until > now);
        let position = kept.iter().rposition(|idle| {
            idle.connection.is_ready() && now.saturating_duration_since(idle.since) <= longest_idle
        })?;
        Some(kept.remove(position).connection)
    }

    /// Keeps a connection for later, for at most `lifetime`.
    pub fn put(
        &self,
        address: SocketAddr,
        connection: Connection,
        now: Instant,
        lifetime: Duration,
    ) {
        let idle = Idle { connection, since: now, usable_until: now + lifetime };
        self.idle.borrow_mut().entry(address).or_default().push(idle);
    }

    /// Closes every idle connection to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Evicts connections that have closed or have been idle for too long.
    pub fn evict_expired(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|idle| !idle.connection.is_closed() && idle.usable_until > now);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Connections that wait.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
