//! One connection of a client, as the tasks of its thread share it.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;

use errors::{Refusal, ResultCode};
use ntex::io::IoRef;
use tokio::sync::Notify;
use tokio::task::yield_now;

use crate::byte_budget::{BudgetExceeded, HeldBytes, SMALL_REQUEST_BYTES, UpstreamKey};
use crate::connection_table::{CloseReason, ConnectionId, ConnectionPhase};
use crate::head_filter::{HeadReceiver, Received, pass_on};
use crate::intake::Intake;
use crate::refusal::no_room;
use crate::request_head::{HeadStep, RequestHead};

/// Most bytes of a body of which the HTTP server makes nothing, such as a line between two chunks. It has
/// fewer than this if they are parts of chunks, as it pauses reading until they are taken.
const MAX_UNDECODED_BYTES: usize = 64 << 10;

/// Connection of a client; leaves its intake when dropped.
pub struct Connection<K: UpstreamKey> {
    id: ConnectionId,
    /// Connection that was closed for this one.
    displaced: Option<ConnectionId>,
    pub(crate) intake: Rc<Intake<K>>,
    /// Head of the request that is being received.
    head: Cell<RequestHead>,
    /// Memory of the body that is being received, as far as it has been read.
    body_bytes: Cell<usize>,
    /// Bytes that the HTTP server has, and of which it has read no part of a body yet.
    undecoded_bytes: Cell<usize>,
    /// Room for the request that is being received.
    held: RefCell<Option<HeldBytes<K>>>,
    /// Why the connection takes no more requests, and what its client is told.
    refusal: RefCell<Option<Refusal>>,
    closing: Cell<bool>,
    /// Whether the HTTP server has begun a request, which answers it itself.
    in_request: Cell<bool>,
    /// Notified when the connection is to be closed without a request that answers.
    close_notify: Notify,
    /// Notified when the request that is being received is to be refused.
    refuse_notify: Notify,
    io: RefCell<Option<IoRef>>,
}

impl<K: UpstreamKey> Drop for Connection<K> {
    fn drop(&mut self) {
        self.intake.remove(self.id);
    }
}

impl<K: UpstreamKey> Connection<K> {
    pub(crate) fn new(
        id: ConnectionId,
        displaced: Option<ConnectionId>,
        intake: Rc<Intake<K>>,
    ) -> Connection<K> {
        Connection {
            id,
            displaced,
            intake,
            head: Cell::default(),
            body_bytes: Cell::default(),
            undecoded_bytes: Cell::default(),
            held: RefCell::default(),
            refusal: RefCell::default(),
            closing: Cell::new(false),
            in_request: Cell::new(false),
            close_notify: Notify::new(),
            refuse_notify: Notify::new(),
            io: RefCell::default(),
        }
    }

    /// Waits until the connection has ended that was closed for this one.
    pub(crate) async fn wait_for_displaced(&self) {
        if let Some(displaced) = self.displaced {
            self.intake.wait_for_end(displaced).await;
        }
    }

    /// Sets the stream below the HTTP server, until the guard is dropped.
    pub(crate) fn attach(&self, io: IoRef) -> StreamGuard<'_, K> {
        self.io.replace(Some(io));
        StreamGuard(self)
    }

    fn phase(&self) -> ConnectionPhase {
        let phase = self.intake.table.borrow().phase(self.id);
        phase.unwrap_or(ConnectionPhase::Closing)
    }

    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        let now = self.intake.clock.now();
        self.intake.table.borrow_mut().set_phase(self.id, phase, now);
    }

    /// Holds room for the request that is being received, with this much memory of its body.
    pub(crate) fn hold_body(&self, body_bytes: usize) -> Result<(), BudgetExceeded> {
        let now = self.intake.clock.now();
        self.intake.table.borrow_mut().record_progress(self.id, now);
        self.body_bytes.set(body_bytes);
        self.undecoded_bytes.set(0);
        self.hold_received()
    }

    fn hold_received(&self) -> Result<(), BudgetExceeded> {
        let head_bytes = self.head.get().parsed_memory_bytes();
        self.hold(head_bytes + self.body_bytes.get() + self.undecoded_bytes.get())
    }

    /// Passes on bytes of a body, unless the server can make nothing of those that it has.
    fn receive_body(&self, bytes: &[u8], undecoded_bytes: usize) -> Received {
        if !self.in_request.get() {
            return Received::PassOn(bytes.len());
        }
        if undecoded_bytes > MAX_UNDECODED_BYTES {
            let reason = "a line between two chunks is too long";
            self.refuse(Refusal::not_run(ResultCode::MalformedRequest).with_message(reason));
            return Received::Drop;
        }
        self.undecoded_bytes.set(undecoded_bytes);
        if self.hold_received().is_err() {
            self.refuse(no_room());
            return Received::Drop;
        }
        Received::PassOn(bytes.len())
    }

    /// A small request takes the room of requests that wait for their clients, if there is no other.
    fn hold(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        let is_small = bytes <= SMALL_REQUEST_BYTES;
        self.with_room(is_small, |held| held.hold(bytes))?;
        self.intake.table.borrow_mut().record_held(self.id, bytes);
        Ok(())
    }

    /// Ends the reception of a request, and reserves room for its response.
    pub fn admit_request(&self) -> Result<HeldBytes<K>, BudgetExceeded> {
        self.with_room(true, HeldBytes::admit_request)?;
        self.intake.table.borrow_mut().record_held(self.id, 0);
        self.set_phase(ConnectionPhase::Response);
        self.held.take().ok_or(BudgetExceeded)
    }

    /// Takes room, from requests that wait for their clients if `may_displace` and there is no other.
    fn with_room(
        &self,
        may_displace: bool,
        mut take: impl FnMut(&mut HeldBytes<K>) -> Result<(), BudgetExceeded>,
    ) -> Result<(), BudgetExceeded> {
        if self.closing.get() {
            return Err(BudgetExceeded);
        }
        let mut held = self.held.borrow_mut();
        let held = held.get_or_insert_with(|| self.intake.budget.begin_request());
        loop {
            let Err(error) = take(held) else { return Ok(()) };
            let now = self.intake.clock.now();
            let displaced = if may_displace {
                self.intake.table.borrow_mut().displace_holder(self.id, now)
            } else {
                None
            };
            self.intake.close(displaced.ok_or(error)?, CloseReason::RoomNeeded);
        }
    }

    /// Begins a request that the HTTP server has read the head of, until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard<K> {
        self.in_request.set(true);
        RequestGuard(self.clone())
    }

    /// Ends a request. What has been received after it is the beginning of the next one.
    fn end_request(&self) {
        self.in_request.set(false);
        self.head.set(RequestHead::default());
        self.body_bytes.set(0);
        self.undecoded_bytes.set(0);
        self.held.replace(None);
        self.set_phase(ConnectionPhase::Idle);
        let io = self.io.borrow().clone();
        if let Some(io) = io.filter(|io| !io.is_closed()) {
            self.take_back(&io);
        }
    }

    /// Takes back what the HTTP server has not read yet, and passes the next head on if it is complete.
    fn take_back(&self, io: &IoRef) {
        // Fails only if the connection is about to close.
        let _ = io.with_buf(|buffer| {
            buffer.with_read_buffers(|source, destination| {
                if destination.is_empty() {
                    return;
                }
                let mut unread = std::mem::take(destination);
                if let Some(source) = source {
                    unread.extend_from_slice(source);
                }
                *source = Some(unread);
            });
            buffer.with_read_buffers(|source, destination| pass_on(self, source, destination))
        });
        // Reading goes on if it was paused for the bytes that were taken back.
        io.with_read_buf(|_| {});
    }

    /// Refuses the request that is being received, and closes the connection after that.
    pub(crate) fn refuse(&self, refusal: Refusal) {
        self.refusal.replace(Some(refusal));
        self.begin_close();
    }

    /// Closes the connection for a reason. The client is told if it has begun a request.
    pub(crate) fn close(&self, reason: CloseReason) {
        let refusal = match reason {
            CloseReason::Idle | CloseReason::DescriptorNeeded => None,
            CloseReason::SlowRequest => Some(Refusal::not_run(ResultCode::RequestTooSlow)),
            CloseReason::RoomNeeded => Some(no_room()),
        };
        self.refusal.replace(refusal);
        self.begin_close();
    }

    fn begin_close(&self) {
        self.held.replace(None);
        self.closing.set(true);
        self.set_phase(ConnectionPhase::Closing);
        // Each has one waiting task at most, which may come to wait later.
        if self.in_request.get() && self.refusal.borrow().is_some() {
            self.refuse_notify.notify_one();
        } else {
            self.close_notify.notify_one();
        }
    }

    /// Completes when the connection is to be closed and no request answers; with the refusal that its
    /// client is to get.
    pub(crate) async fn closed(&self) -> Option<Refusal> {
        self.close_notify.notified().await;
        // The server may be about to begin a request, which then answers: it gets no room.
        yield_now().await;
        if self.in_request.get() && self.refusal.borrow().is_some() {
            pending::<()>().await;
        }
        self.refusal.take()
    }

    /// Completes when the request that is being received is to be refused.
    pub(crate) async fn refused(&self) -> Refusal {
        self.refuse_notify.notified().await;
        self.refusal.take().unwrap_or_else(no_room)
    }
}

/// Guard of a connection's stream; lets go of it when dropped.
pub(crate) struct StreamGuard<'a, K: UpstreamKey>(&'a Connection<K>);

impl<K: UpstreamKey> Drop for StreamGuard<'_, K> {
    fn drop(&mut self) {
        self.0.io.replace(None);
    }
}

/// Guard of a request whose response has not been completely passed to the server.
pub struct RequestGuard<K: UpstreamKey>(Rc<Connection<K>>);

impl<K: UpstreamKey> Drop for RequestGuard<K> {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

impl<K: UpstreamKey> HeadReceiver for Connection<K> {
    fn receive(&self, bytes: &[u8], unread_bytes: usize) -> Received {
        match self.phase() {
            ConnectionPhase::Body => return self.receive_body(bytes, unread_bytes),
            ConnectionPhase::Response => return Received::PassOn(bytes.len()),
            ConnectionPhase::Closing => return Received::Drop,
            ConnectionPhase::Idle => self.set_phase(ConnectionPhase::Head),
            ConnectionPhase::Head => {}
        }
        let mut head = self.head.get();
        let new_bytes = bytes.get(head.bytes()..).unwrap_or_default();
        let step = head.receive(new_bytes, self.intake.limits().header_bytes);
        self.head.set(head);
        let held = match step {
            HeadStep::Refuse => {
                self.refuse(Refusal::not_run(ResultCode::HeaderTooLarge));
                return Received::Drop;
            }
            HeadStep::Wait => self.hold(head.raw_memory_bytes()),
            HeadStep::Parse => self.hold(head.parsed_memory_bytes()),
        };
        if held.is_err() {
            self.refuse(no_room());
            return Received::Drop;
        }
        if step == HeadStep::Wait {
            return Received::Keep;
        }
        self.set_phase(ConnectionPhase::Body);
        Received::PassOn(bytes.len())
    }
}
