//! Connections of a listener, and what they share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use clock::Clock;
use tokio::sync::Notify;

use crate::byte_budget::{ByteBudget, UpstreamKey};
use crate::connection::Connection;
use crate::connection_table::{CloseReason, ConnectionId, ConnectionTable, Opening, WaitLimits};

/// Limits on the connections of a listener and on their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Connections that are kept open at a time.
    pub connections: usize,
    /// Maximum size of the names and values of a request's headers.
    pub header_bytes: usize,
    /// Longest times that a connection may wait for its client.
    pub waits: WaitLimits,
}

/// Connections that a listener has accepted, and the room for their requests. `K` identifies upstreams in the
/// budget.
pub struct Intake<K: UpstreamKey> {
    limits: Cell<IntakeLimits>,
    pub(crate) budget: Rc<ByteBudget<K>>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) table: RefCell<ConnectionTable>,
    connections: RefCell<HashMap<ConnectionId, Weak<Connection<K>>>>,
    /// Connections that were closed for others, or at once.
    displaced_count: Cell<u64>,
    /// Notified when a connection has ended.
    ended: Notify,
}

impl<K: UpstreamKey> Intake<K> {
    /// Creates an intake without connections.
    pub fn new(
        limits: IntakeLimits,
        budget: Rc<ByteBudget<K>>,
        clock: Arc<dyn Clock>,
    ) -> Rc<Intake<K>> {
        Rc::new(Intake {
            limits: Cell::new(limits),
            budget,
            clock,
            table: RefCell::new(ConnectionTable::new(limits.connections)),
            connections: RefCell::default(),
            displaced_count: Cell::new(0),
            ended: Notify::new(),
        })
    }

    /// The limits in force.
    pub fn limits(&self) -> IntakeLimits {
        self.limits.get()
    }

    /// Changes the limits; open connections stay.
    pub fn set_limits(&self, limits: IntakeLimits) {
        self.limits.set(limits);
        self.table.borrow_mut().set_limit(limits.connections);
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.table.borrow().len()
    }

    /// Connections that were closed because another one needed their descriptor or their room, or at
    /// once since there was no such connection.
    pub fn displaced_count(&self) -> u64 {
        self.displaced_count.get()
    }

    /// Adds a connection that has been accepted; `None` if there are too many, and the new one is to be
    /// closed.
    pub fn open(self: &Rc<Self>) -> Option<Rc<Connection<K>>> {
        let opening = self.table.borrow_mut().open(self.clock.now());
        let Opening::Kept { id, displaced } = opening else {
            self.count_displaced();
            return None;
        };
        if let Some(displaced) = displaced {
            self.close(displaced, CloseReason::DescriptorNeeded);
        }
        let connection = Rc::new(Connection::new(id, displaced, self.clone()));
        self.connections.borrow_mut().insert(id, Rc::downgrade(&connection));
        Some(connection)
    }

    /// Waits until a connection has ended.
    pub(crate) async fn wait_for_end(&self, id: ConnectionId) {
        loop {
            let ended = self.ended.notified();
            if self.table.borrow().phase(id).is_none() {
                return;
            }
            ended.await;
        }
    }

    /// Closes the connections whose clients have taken too long.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let expired = self.table.borrow_mut().close_expired(self.limits.get().waits, now);
        for (id, reason) in expired {
            self.close(id, reason);
        }
    }

    /// Closes a connection that waits for its client.
    pub(crate) fn close(&self, id: ConnectionId, reason: CloseReason) {
        if matches!(reason, CloseReason::DescriptorNeeded | CloseReason::RoomNeeded) {
            self.count_displaced();
        }
        let connection = self.connections.borrow().get(&id).and_then(Weak::upgrade);
        if let Some(connection) = connection {
            connection.close(reason);
        }
    }

    fn count_displaced(&self) {
        self.displaced_count.set(self.displaced_count.get() + 1);
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
        self.table.borrow_mut().close(id);
        self.ended.notify_waiters();
    }
}
