//! Connections that a listener has accepted: which of them are closed, when time or room runs out.
//!
//! Load pattern: clients open more connections than the process has descriptors and say nothing, begin
//! requests and do not end them, and hold the room of others with them. A connection that waits for its
//! client yields to one that has something to say: the one that has waited longest where descriptors are
//! short, and the one that has held most for longest where memory is.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Connections count as many when they take the limit divided by this.
const CROWDED_DIVISOR: usize = 2;

/// Identifies a connection of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnectionId(u64);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// For the first byte of a request.
    Idle,
    /// For the rest of a request's head.
    Head,
    /// For the rest of a request's body.
    Body,
    /// For the response to its request, or for the client to take it.
    Response,
    /// For its end; it takes no more requests.
    Closing,
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// No request came in time.
    Idle,
    /// The rest of a request did not come in time.
    SlowRequest,
    /// Another connection needs its descriptor.
    DescriptorNeeded,
    /// Another request needs the room that it holds.
    RoomNeeded,
}

/// Longest times that a connection may wait for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLimits {
    /// For the first byte of a request.
    pub idle: Duration,
    /// For a complete head, from its first byte on.
    pub head: Duration,
    /// For the next part of a body.
    pub body: Duration,
}

/// Result of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening {
    /// It is kept. Another one has to be closed for it, if there are too many.
    Kept {
        /// The new connection.
        id: ConnectionId,
        /// The one to close.
        displaced: Option<ConnectionId>,
    },
    /// It is closed: all others are at work.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    phase: ConnectionPhase,
    /// Start of the phase, or the last progress in it.
    progress_at: Instant,
    /// Start of the idle time, or of the request that is being received.
    waits_since: Instant,
    held_bytes: usize,
}

impl Connection {
    fn waits_for_client(&self) -> bool {
        use ConnectionPhase::{Body, Closing, Head, Idle, Response};
        match self.phase {
            Idle | Head | Body => true,
            Response | Closing => false,
        }
    }
}

/// All connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    last_id: u64,
    connections: HashMap<ConnectionId, Connection>,
}

impl ConnectionTable {
    /// Creates the table of a listener that keeps at most `limit` connections.
    pub fn new(limit: usize) -> ConnectionTable {
        ConnectionTable { limit, last_id: 0, connections: HashMap::new() }
    }

    /// Changes the number of connections that are kept.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Whether connections are so many that none is kept for longer than it has to be.
    pub fn is_crowded(&self) -> bool {
        self.connections.len() >= self.limit / CROWDED_DIVISOR
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a new connection, unless there are too many that are at work.
    pub fn open(&mut self, now: Instant) -> Opening {
        let mut displaced = None;
        if self.connections.len() >= self.limit {
            let Some(longest_waiting) = self.longest_waiting() else { return Opening::Refused };
            self.set_phase(longest_waiting, ConnectionPhase::Closing, now);
            displaced = Some(longest_waiting);
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let phase = ConnectionPhase::Idle;
        let connection = Connection { phase, progress_at: now, waits_since: now, held_bytes: 0 };
        self.connections.insert(id, connection);
        Opening::Kept { id, displaced }
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// What a connection waits for; `None` if it has ended.
    pub fn phase(&self, id: ConnectionId) -> Option<ConnectionPhase> {
        self.connections.get(&id).map(|connection| connection.phase)
    }

    /// Begins a phase, unless the connection is being closed.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.phase == ConnectionPhase::Closing {
            return;
        }
        let begins = matches!(phase, ConnectionPhase::Idle | ConnectionPhase::Head)
            || connection.phase == ConnectionPhase::Idle;
        if begins {
            connection.waits_since = now;
        }
        if phase == ConnectionPhase::Idle {
            connection.held_bytes = 0;
        }
        connection.phase = phase;
        connection.progress_at = now;
    }

    /// Records that more of a request's body has arrived.
    pub fn record_progress(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress_at = now;
        }
    }

    /// Records how much the request that is being received holds.
    pub fn record_held(&mut self, id: ConnectionId, held_bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held_bytes = held_bytes;
        }
    }

    /// Marks the connections whose clients have taken too long as closing, and returns them.
    pub fn close_expired(
        &mut self,
        limits: WaitLimits,
        now: Instant,
    ) -> Vec<(ConnectionId, CloseReason)> {
        let mut expired = Vec::new();
        for (id, connection) in &mut self.connections {
            let (limit, reason) = match connection.phase {
                ConnectionPhase::Idle => (limits.idle, CloseReason::Idle),
                ConnectionPhase::Head => (limits.head, CloseReason::SlowRequest),
                ConnectionPhase::Body => (limits.body, CloseReason::SlowRequest),
                ConnectionPhase::Response | ConnectionPhase::Closing => continue,
            };
            if now.saturating_duration_since(connection.progress_at) > limit {
                connection.phase = ConnectionPhase::Closing;
                expired.push((*id, reason));
            }
        }
        expired
    }

    /// Marks the connection as closing that makes the most room for another one, and returns it: the
    /// one with the largest product of what its unfinished request holds and for how long.
    pub fn displace_holder(&mut self, for_id: ConnectionId, now: Instant) -> Option<ConnectionId> {
        let waiting = self.connections.iter().filter(|(id, connection)| {
            **id != for_id && connection.waits_for_client() && connection.held_bytes > 0
        });
        let cost = |connection: &Connection| {
            let held_for = now.saturating_duration_since(connection.waits_since);
            connection.held_bytes as u128 * held_for.as_micros()
        };
        let (id, _) = waiting.max_by_key(|(_, connection)| cost(connection))?;
        let id = *id;
        self.set_phase(id, ConnectionPhase::Closing, now);
        Some(id)
    }

    fn longest_waiting(&self) -> Option<ConnectionId> {
        let waiting =
            self.connections.iter().filter(|(_, connection)| connection.waits_for_client());
        waiting.min_by_key(|(_, connection)| connection.waits_since).map(|(id, _)| *id)
    }
}
