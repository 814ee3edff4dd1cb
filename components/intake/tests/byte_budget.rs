//! Budget of the bytes that a process holds.

use std::rc::Rc;

use intake::byte_budget::{BudgetExceeded, ByteBudget, HeldBytes};

const FAULTY: u32 = 1;
const SOUND: u32 = 2;

/// Reserves room for a small request that has been received.
fn admit_request(budget: &Rc<ByteBudget<u32>>) -> Result<HeldBytes<u32>, BudgetExceeded> {
    let mut held = budget.begin_request();
    held.admit_request().map(|()| held)
}

/// Load pattern: one upstream sends without end to all the requests that it is sent.
#[test]
fn one_faulty_upstream_leaves_no_room_for_large_responses_of_others() {
    let budget = ByteBudget::new(8 << 20);
    let mut endless: Vec<_> = (0..10).map(|_| budget.begin_response(FAULTY)).collect();
    let grown = endless.iter_mut().filter_map(|held| held.hold(1 << 20).ok()).count();
    assert_eq!(grown, 1, "a quarter of the part for large responses");
    let mut small = budget.begin_response(FAULTY);
    assert_eq!(small.hold(4 << 10), Ok(()), "its request has reserved room for it");
    let mut large = budget.begin_response(SOUND);
    assert_eq!(large.hold(1 << 20), Ok(()));
    drop((endless, small, large));
    assert_eq!(budget.held_bytes(), 0);
}

/// Load pattern: callers' large bodies wait for slots.
#[test]
fn request_is_taken_although_there_is_no_room_for_it() {
    let budget: Rc<ByteBudget<u32>> = ByteBudget::new(1 << 20);
    let mut waiting = admit_request(&budget).expect("room");
    assert_eq!(waiting.hold(700 << 10), Ok(()));
    let mut next = admit_request(&budget).expect("room for a small one");
    assert_eq!(next.hold(128 << 10), Err(BudgetExceeded));
    let small: Vec<_> = std::iter::from_fn(|| admit_request(&budget).ok()).take(100).collect();
    assert!((1..100).contains(&small.len()), "{} small requests", small.len());
    drop(waiting);
    assert_eq!(next.hold(128 << 10), Ok(()));
}

/// Guards against small requests that are refused because large responses have taken all the room.
#[test]
fn large_responses_leave_no_room_for_small_requests() {
    let budget = ByteBudget::new(8 << 20);
    let mut large = Vec::new();
    for (number, bytes) in (0..300).zip([1 << 20, 128 << 10, 16 << 10].into_iter().cycle()) {
        let mut held = budget.begin_response(number);
        if held.hold(bytes).is_ok() {
            large.push(held);
        }
    }
    let mut small: Vec<_> = std::iter::from_fn(|| admit_request(&budget).ok()).take(100).collect();
    let admitted = small.iter_mut().filter_map(|held| held.hold(4 << 10).ok()).count();
    assert_eq!(admitted, 100);
}

/// Load pattern: requests of many lines are received and do not end, beside small ones.
#[test]
fn requests_that_do_not_end_leave_room_for_small_ones() {
    let budget: Rc<ByteBudget<u32>> = ByteBudget::new(8 << 20);
    let mut received = Vec::new();
    for bytes in [1 << 20, 128 << 10, 16 << 10].into_iter().cycle().take(300) {
        let mut held = budget.begin_request();
        if held.hold(bytes).is_ok() {
            received.push(held);
        }
    }
    let mut small = budget.begin_request();
    assert_eq!(small.hold(4 << 10), Ok(()));
    assert_eq!(small.admit_request(), Ok(()));
    assert_eq!(small.hold(16 << 10), Err(BudgetExceeded), "no longer small");
}
