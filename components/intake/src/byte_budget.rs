//! Budget of the bytes that a process holds for requests: callers' heads and bodies, and what it has read
//! of responses and not yet passed on.
//!
//! Load pattern: upstreams send bytes that are no answer, without end, to many requests at once;
//! callers send large heads and bodies that wait for slots, or do not end, and others read nothing.
//! Small answers beside them are served, and a request for which there is no room is refused before it
//! is passed on.
//!
//! A request holds what has been received of it, and reserves room for a small response before it is
//! passed on. A larger response takes what is left, up to a share of the budget for each upstream.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;
use std::rc::Rc;

/// Room that each request reserves: for a small head and body, and a small response.
const REQUEST_RESERVE_BYTES: usize = 16 << 10;

/// Part of each response for which its request has reserved room.
const RESPONSE_RESERVE_BYTES: usize = 8 << 10;

/// Heads and bodies that take no more are small: their requests reserve room for them in any case.
pub const SMALL_REQUEST_BYTES: usize = REQUEST_RESERVE_BYTES - RESPONSE_RESERVE_BYTES;

/// Requests that are being received, large ones and large responses may take this part of the budget; the rest is for the reserves of further
/// requests, which are small.
const LARGE_SHARE: f64 = 0.75;

/// All responses of one upstream may hold at most this part of the budget beyond their reserves.
const UPSTREAM_SHARE_DIVISOR: usize = 4;

/// Identifies upstreams, each of which may hold a part of the budget.
pub trait UpstreamKey: Copy + Eq + Hash + 'static {}

impl<K: Copy + Eq + Hash + 'static> UpstreamKey for K {}

/// Error of a request or a response for which there is no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExceeded;

impl fmt::Display for BudgetExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the process holds as many bytes as it may")
    }
}

impl std::error::Error for BudgetExceeded {}

/// Bytes held for all requests of a process. `K` identifies upstreams.
#[derive(Debug)]
pub struct ByteBudget<K> {
    limit_bytes: Cell<usize>,
    held_bytes: Cell<usize>,
    held_by_upstream: RefCell<HashMap<K, usize>>,
}

impl<K: UpstreamKey> ByteBudget<K> {
    /// Creates a budget of which nothing is used.
    pub fn new(limit_bytes: usize) -> Rc<ByteBudget<K>> {
        Rc::new(ByteBudget {
            limit_bytes: Cell::new(limit_bytes),
            held_bytes: Cell::new(0),
            held_by_upstream: RefCell::default(),
        })
    }

    /// Changes the limit; what is held stays.
    pub fn set_limit(&self, limit_bytes: usize) {
        self.limit_bytes.set(limit_bytes);
    }

    /// Bytes that are held or reserved.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Begins to count a request that is being received.
    pub fn begin_request(self: &Rc<Self>) -> HeldBytes<K> {
        HeldBytes { budget: self.clone(), holder: Holder::Receiving, bytes: 0 }
    }

    /// Begins to count a response of an upstream.
    pub fn begin_response(self: &Rc<Self>, upstream: K) -> HeldBytes<K> {
        HeldBytes { budget: self.clone(), holder: Holder::Response(upstream), bytes: 0 }
    }

    /// Whether there is room for `bytes` more of requests, up to the whole budget.
    fn has_any_room(&self, bytes: usize) -> bool {
        self.held_bytes.get().saturating_add(bytes) <= self.limit_bytes.get()
    }

    /// Whether a large request or response may grow by `bytes`.
    fn has_room(&self, upstream: Option<K>, bytes: usize) -> bool {
        let limit_bytes = (self.limit_bytes.get() as f64 * LARGE_SHARE) as usize;
        let of_upstream = upstream.map_or(0, |upstream| {
            self.held_by_upstream.borrow().get(&upstream).copied().unwrap_or(0)
        });
        self.held_bytes.get().saturating_add(bytes) <= limit_bytes
            && (upstream.is_none()
                || of_upstream.saturating_add(bytes) <= limit_bytes / UPSTREAM_SHARE_DIVISOR)
    }

    fn change(&self, upstream: Option<K>, from_bytes: usize, to_bytes: usize) {
        let replace = |held: usize| held.saturating_sub(from_bytes) + to_bytes;
        self.held_bytes.set(replace(self.held_bytes.get()));
        let Some(upstream) = upstream else { return };
        let mut held_by_upstream = self.held_by_upstream.borrow_mut();
        let held = replace(held_by_upstream.get(&upstream).copied().unwrap_or(0));
        if held == 0 {
            held_by_upstream.remove(&upstream);
        } else {
            held_by_upstream.insert(upstream, held);
        }
    }
}

/// What a part of a budget is held for.
#[derive(Debug, Clone, Copy)]
enum Holder<K> {
    /// A request that is being received.
    Receiving,
    /// A request that has been received, and its response.
    Request,
    /// A response of an upstream, beyond what its request has reserved.
    Response(K),
}

impl<K> Holder<K> {
    fn upstream(self) -> Option<K> {
        match self {
            Holder::Response(upstream) => Some(upstream),
            Holder::Receiving | Holder::Request => None,
        }
    }

    /// Bytes that count for what is held.
    fn counted_bytes(self, bytes: usize) -> usize {
        match self {
            Holder::Receiving => bytes,
            Holder::Request => {
                RESPONSE_RESERVE_BYTES.saturating_add(bytes).max(REQUEST_RESERVE_BYTES)
            }
            Holder::Response(_) => bytes.saturating_sub(RESPONSE_RESERVE_BYTES),
        }
    }
}

/// Part of a budget; given back when dropped.
#[derive(Debug)]
pub struct HeldBytes<K: UpstreamKey> {
    budget: Rc<ByteBudget<K>>,
    holder: Holder<K>,
    /// Counted bytes.
    bytes: usize,
}

impl<K: UpstreamKey> HeldBytes<K> {
    /// Holds the bytes of the caller's request so far, or of the response that are not passed on.
    pub fn hold(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let bytes = self.holder.counted_bytes(bytes);
        let more = bytes.saturating_sub(self.bytes);
        let has_room = match self.holder {
            _ if more == 0 => true,
            Holder::Receiving if bytes <= SMALL_REQUEST_BYTES => self.budget.has_any_room(more),
            holder => self.budget.has_room(holder.upstream(), more),
        };
        if !has_room {
            return Err(BudgetExceeded);
        }
        self.set_bytes(bytes);
        Ok(())
    }

    /// Bytes that count for what is held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves room for a small response to the request, which has been received completely.
    pub fn admit_request(&mut self) -> Result<(), BudgetExceeded> {
        let bytes = Holder::<K>::Request.counted_bytes(self.bytes);
        if !self.budget.has_any_room(bytes - self.bytes) {
            return Err(BudgetExceeded);
        }
        self.holder = Holder::Request;
        self.set_bytes(bytes);
        Ok(())
    }

    fn set_bytes(&mut self, bytes: usize) {
        self.budget.change(self.holder.upstream(), self.bytes, bytes);
        self.bytes = bytes;
    }
}

impl<K: UpstreamKey> Drop for HeldBytes<K> {
    fn drop(&mut self) {
        self.set_bytes(0);
    }
}
