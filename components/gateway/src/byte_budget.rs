//! Budget of the bytes that a gateway holds for requests: callers' bodies, and what it has read of
//! responses and not yet passed on.
//!
//! Load pattern: upstreams send bytes that are no answer, without end, to many requests at once;
//! callers send large bodies that wait for slots, and others read nothing. Small answers beside them
//! are served, and a request for which there is no room is refused before it is passed on.
//!
//! Each request reserves room for its body and a small response before it is passed on. A larger
//! response takes what is left, up to a share of the budget for each upstream.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use crate::model::UpstreamId;

/// Room that each request reserves: for a small body, and a small response.
const REQUEST_RESERVE_BYTES: usize = 16 << 10;

/// Part of each response for which its request has reserved room.
const RESPONSE_RESERVE_BYTES: usize = 8 << 10;

/// Bodies and large responses may take this part of the budget; the rest is for the reserves of further
/// requests, which are small.
const LARGE_SHARE: f64 = 0.75;

/// All responses of one upstream may hold at most this part of the budget beyond their reserves.
const UPSTREAM_SHARE_DIVISOR: usize = 4;

/// Error of a request or a response for which there is no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExceeded;

impl fmt::Display for BudgetExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the gateway holds as many bytes as it may")
    }
}

impl std::error::Error for BudgetExceeded {}

/// Bytes held for all requests of a gateway.
#[derive(Debug)]
pub struct ByteBudget {
    limit_bytes: Cell<usize>,
    held_bytes: Cell<usize>,
    held_by_upstream: RefCell<HashMap<UpstreamId, usize>>,
}

impl ByteBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limit_bytes: usize) -> Rc<ByteBudget> {
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

    /// Reserves room for a request with a small body and a small response.
    pub fn admit_request(self: &Rc<Self>) -> Result<HeldBytes, BudgetExceeded> {
        if self.held_bytes.get() + REQUEST_RESERVE_BYTES > self.limit_bytes.get() {
            return Err(BudgetExceeded);
        }
        self.change(None, 0, REQUEST_RESERVE_BYTES);
        Ok(HeldBytes { budget: self.clone(), upstream: None, bytes: REQUEST_RESERVE_BYTES })
    }

    /// Begins to count a response of an upstream.
    pub fn begin_response(self: &Rc<Self>, upstream: UpstreamId) -> HeldBytes {
        HeldBytes { budget: self.clone(), upstream: Some(upstream), bytes: 0 }
    }

    /// Whether a body or a large response may grow by `bytes`.
    fn has_room(&self, upstream: Option<UpstreamId>, bytes: usize) -> bool {
        let limit_bytes = (self.limit_bytes.get() as f64 * LARGE_SHARE) as usize;
        let of_upstream = upstream.map_or(0, |upstream| {
            self.held_by_upstream.borrow().get(&upstream).copied().unwrap_or(0)
        });
        self.held_bytes.get().saturating_add(bytes) <= limit_bytes
            && (upstream.is_none()
                || of_upstream.saturating_add(bytes) <= limit_bytes / UPSTREAM_SHARE_DIVISOR)
    }

    fn change(&self, upstream: Option<UpstreamId>, from_bytes: usize, to_bytes: usize) {
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

/// Part of a budget; given back when dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Rc<ByteBudget>,
    upstream: Option<UpstreamId>,
    bytes: usize,
}

impl HeldBytes {
    /// Holds the bytes of the caller's body so far, or of the response that are not passed on.
    pub fn hold(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let bytes = match self.upstream {
            Some(_) => bytes.saturating_sub(RESPONSE_RESERVE_BYTES),
            None => RESPONSE_RESERVE_BYTES.saturating_add(bytes).max(REQUEST_RESERVE_BYTES),
        };
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 && !self.budget.has_room(self.upstream, more) {
            return Err(BudgetExceeded);
        }
        self.budget.change(self.upstream, self.bytes, bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.change(self.upstream, self.bytes, 0);
    }
}
