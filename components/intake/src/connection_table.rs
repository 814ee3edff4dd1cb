//! Connections that a listener has accepted: which of them are closed when their time runs out.
//!
//! Load pattern: clients open connections and do not use them, or begin requests and do not end them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

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
}

/// Longest times that a connection may wait for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLimits {
    /// For the first byte of a request.
    pub idle: Duration,
    /// For a complete head, from its first byte on.
    pub head: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    phase: ConnectionPhase,
    since: Instant,
}

/// All connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    last_id: u64,
    connections: HashMap<ConnectionId, Connection>,
}

impl ConnectionTable {
    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a new connection.
    pub fn open(&mut self, now: Instant) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.connections.insert(id, Connection { phase: ConnectionPhase::Idle, since: now });
        id
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
        connection.phase = phase;
        connection.since = now;
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
                ConnectionPhase::Body | ConnectionPhase::Response | ConnectionPhase::Closing => {
                    continue;
                }
            };
            if now.saturating_duration_since(connection.since) > limit {
                connection.phase = ConnectionPhase::Closing;
                expired.push((*id, reason));
            }
        }
        expired
    }
}
