//! Single buckets, their replicas and handovers, and credit at a gateway.

use std::time::{Duration, Instant};

use gateway::allowance::{
    Acquisition, BucketOwner, BucketRole, BucketTerms, CreditReply, CreditRequest, LocalCredit,
    request_cost,
};
use gateway::model::{Allowance, AllowanceUnit, RequestMetadata};

use crate::{ALLOWANCE, STEP, customer, request_of, terms};

/// Requests credit until the bucket refuses; returns the units that were granted.
fn drain(bucket_owner: &mut BucketOwner, now: Instant) -> f64 {
    let mut granted = 0.0;
    for number in 1_000.. {
        let request = CreditRequest { number, ..request_of(ALLOWANCE.burst * 0.1) };
        match bucket_owner.handle_request(1, request, terms(1.0), BucketRole::Owner, now) {
            CreditReply::Granted(units) => granted += units,
            _ => break,
        }
    }
    granted
}

/// A lowered allowance limits what follows. It does not refuse everything until the use under the
/// higher one has left the window.
#[test]
fn a_lowered_allowance_leaves_its_own_rate() {
    let start = Instant::now();
    let mut bucket_owner = BucketOwner::new(start);
    let mut granted_after = 0.0;
    for step in 0..2_000_u32 {
        let now = start + Duration::from_secs(5) + STEP * step;
        let lowered = step >= 1_000;
        let factor = if lowered { 0.4 } else { 1.0 };
        let allowance = Allowance {
            per_second: ALLOWANCE.per_second * factor,
            burst: ALLOWANCE.burst * factor,
            ..ALLOWANCE
        };
        let request =
            CreditRequest { number: step, ..request_of(ALLOWANCE.per_second * STEP.as_secs_f64()) };
        let terms = BucketTerms { allowance, ..terms(1.0) };
        let reply = bucket_owner.handle_request(1, request, terms, BucketRole::Owner, now);
        if let CreditReply::Granted(units) = reply
            && lowered
        {
            granted_after += units;
        }
    }
    let share = granted_after / (ALLOWANCE.per_second * 0.4 * 10.0);
    assert!((0.9..1.25).contains(&share), "{share}");
}

/// Guards against an owner and a standby that grant from the same bucket at the same time.
#[test]
fn only_the_owner_grants_while_it_is_reachable() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let request = CreditRequest {
        customer: customer(),
        number: 1,
        needed: 100.0,
        prefetch: 0.0,
        unreported: 0.0,
    };
    let mut bucket_owner = BucketOwner::new(start);
    assert_eq!(
        bucket_owner.handle_request(1, request, terms(1.0), BucketRole::Owner, now),
        CreditReply::Granted(request.needed)
    );
    let mut standby = BucketOwner::new(start);
    standby.store_replicas(&bucket_owner.active_levels(now), now);
    let request_credit = |standby: &mut BucketOwner, number, role| {
        standby.handle_request(1, CreditRequest { number, ..request }, terms(1.0), role, now)
    };
    assert_eq!(request_credit(&mut standby, 2, BucketRole::Other), CreditReply::NotOwner);
    assert_eq!(
        request_credit(&mut standby, 3, BucketRole::Standby),
        CreditReply::Granted(request.needed)
    );
    let mut without_replica = BucketOwner::new(start);
    assert_eq!(request_credit(&mut without_replica, 4, BucketRole::Standby), CreditReply::NotOwner);
    let handed_over = bucket_owner.update_members(|_| BucketRole::Other, now);
    without_replica.accept_handover(&handed_over, now);
    assert_eq!(
        request_credit(&mut without_replica, 5, BucketRole::Other),
        CreditReply::Granted(request.needed)
    );
}

/// Guards against an owner that replaces the level of its bucket by the higher one of another
/// gateway and so grants the same units twice.
#[test]
fn stale_replicas_and_handovers_do_not_refill_an_owned_bucket() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let full = CreditRequest {
        customer: customer(),
        number: 1,
        needed: ALLOWANCE.burst,
        prefetch: 0.0,
        unreported: 0.0,
    };
    let mut bucket_owner = BucketOwner::new(start);
    let mut other = BucketOwner::new(start);
    let small = CreditRequest { needed: 1.0, ..full };
    other.handle_request(1, small, terms(1.0), BucketRole::Owner, now);
    let stale_levels = other.active_levels(now);
    assert_eq!(
        bucket_owner.handle_request(1, full, terms(1.0), BucketRole::Owner, now),
        CreditReply::Granted(ALLOWANCE.burst)
    );
    bucket_owner.store_replicas(&stale_levels, now);
    bucket_owner.accept_handover(&stale_levels, now);
    let second_request = CreditRequest { number: 2, ..full };
    let reply = bucket_owner.handle_request(1, second_request, terms(1.0), BucketRole::Owner, now);
    assert!(matches!(reply, CreditReply::Exhausted(_)), "{reply:?}");
}

/// An owner that loses and regains a bucket must not refill it for the time in between, in which
/// another gateway has granted those units.
#[test]
fn a_bucket_owned_by_another_gateway_meanwhile_is_not_refilled() {
    let start = Instant::now();
    let mut bucket_owner = BucketOwner::new(start);
    let now = start + Duration::from_secs(5);
    let granted = bucket_owner.handle_request(
        1,
        request_of(ALLOWANCE.burst),
        terms(1.0),
        BucketRole::Owner,
        now,
    );
    assert_eq!(granted, CreditReply::Granted(ALLOWANCE.burst));
    bucket_owner.update_members(|_| BucketRole::Other, now);
    let returned_at = now + Duration::from_secs(3);
    bucket_owner.update_members(|_| BucketRole::Owner, returned_at);
    let second_request = CreditRequest { number: 2, ..request_of(ALLOWANCE.burst * 0.9) };
    let reply =
        bucket_owner.handle_request(1, second_request, terms(1.0), BucketRole::Owner, returned_at);
    assert_eq!(reply, CreditReply::NotOwner, "the previous owner may still grant");
    let later = returned_at + Duration::from_secs(1);
    let reply = bucket_owner.handle_request(
        1,
        CreditRequest { number: 3, ..second_request },
        terms(1.0),
        BucketRole::Owner,
        later,
    );
    assert!(matches!(reply, CreditReply::Exhausted(_)), "{reply:?}");
}

/// While processes start, no previous owner grants. Units of the takeover delay must be granted
/// afterwards, less those that gateways report as granted from their even shares.
#[test]
fn an_owner_that_has_just_started_refills_for_the_takeover_delay() {
    let start = Instant::now();
    let mut bucket_owner = BucketOwner::new(start);
    let known = start + Duration::from_millis(200);
    bucket_owner.update_members(|_| BucketRole::Owner, known);
    let half = request_of(ALLOWANCE.per_second * 0.5);
    let early = known + Duration::from_millis(500);
    let reply = bucket_owner.handle_request(1, half, terms(1.0), BucketRole::Owner, early);
    assert_eq!(reply, CreditReply::NotOwner);
    let now = known + Duration::from_millis(600);
    let report =
        CreditRequest { number: 2, needed: 0.0, unreported: ALLOWANCE.per_second / 60.0, ..half };
    bucket_owner.handle_request(2, report, terms(1.0), BucketRole::Owner, now);
    let reply = bucket_owner.handle_request(
        1,
        CreditRequest { number: 3, ..half },
        terms(1.0),
        BucketRole::Owner,
        now,
    );
    assert_eq!(reply, CreditReply::Granted(half.needed));
    let left = bucket_owner.active_levels(now)[0].units / ALLOWANCE.per_second;
    assert!((0.08..0.14).contains(&left), "{left} s of the allowance");
}

/// A standby must not grant at the full rate: the owner may only be cut off and still grant.
#[test]
fn a_standby_grants_from_the_replica_at_half_the_rate() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let mut bucket_owner = BucketOwner::new(start);
    assert!(drain(&mut bucket_owner, now) >= ALLOWANCE.burst);
    let mut standby = BucketOwner::new(start);
    standby.store_replicas(&bucket_owner.active_levels(now), now);
    let mut request_credit = |number, seconds| {
        let request = CreditRequest { number, ..request_of(ALLOWANCE.per_second * 0.4) };
        standby.handle_request(
            1,
            request,
            terms(1.0),
            BucketRole::Standby,
            now + Duration::from_secs_f64(seconds),
        )
    };
    assert!(
        matches!(request_credit(2, 0.6), CreditReply::Exhausted(_)),
        "no refill for the time before"
    );
    assert!(
        matches!(request_credit(3, 1.1), CreditReply::Exhausted(_)),
        "refilled by a quarter of a second's allowance"
    );
    assert!(matches!(request_credit(4, 1.5), CreditReply::Granted(_)));
    let mut late_standby = BucketOwner::new(start);
    late_standby.store_replicas(&bucket_owner.active_levels(now), now);
    let later = now + Duration::from_secs(3);
    let reply =
        late_standby.handle_request(1, request_of(1.0), terms(1.0), BucketRole::Standby, later);
    assert_eq!(reply, CreditReply::NotOwner, "the replica has expired");
}

/// Guards against units that are never deducted because the request that reported them was lost.
#[test]
fn units_granted_from_even_shares_are_deducted_later() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let mut local_credit = LocalCredit::new(0, start);
    let cost = ALLOWANCE.per_second / 30.0 / 2.0;
    assert_eq!(
        local_credit.acquire_from_share(customer(), ALLOWANCE, cost, 30, now),
        Acquisition::Granted
    );
    let Acquisition::RequestCredit(unanswered) = local_credit.acquire(customer(), cost, now) else {
        panic!("credit was acquired without an owner");
    };
    assert_eq!(unanswered.unreported, cost);
    local_credit.apply_reply(&unanswered, None, now);
    let Acquisition::RequestCredit(answered) = local_credit.acquire(customer(), cost, now) else {
        panic!("credit was acquired without an owner");
    };
    assert_eq!(answered.unreported, cost, "reported again, since no owner received it");
    let mut bucket_owner = BucketOwner::new(start);
    bucket_owner.handle_request(2, request_of(0.0), terms(1.0), BucketRole::Owner, now);
    let before = bucket_owner.active_levels(now)[0].units;
    let later = now + Duration::from_millis(1);
    bucket_owner.handle_request(
        1,
        CreditRequest { needed: 0.0, ..answered },
        terms(0.0),
        BucketRole::Owner,
        later,
    );
    let counted = before - bucket_owner.active_levels(later)[0].units;
    assert!((counted - cost).abs() < 0.001, "{counted} of {cost}");
    local_credit.apply_reply(&answered, Some(CreditReply::Granted(0.0)), later);
    let Acquisition::RequestCredit(after_reply) = local_credit.acquire(customer(), cost, later)
    else {
        panic!("credit was acquired without an owner");
    };
    assert_eq!(after_reply.unreported, 0.0);
}

/// Guards against a duplicated datagram that is granted credit twice.
#[test]
fn a_repeated_credit_request_gets_the_same_reply() {
    let start = Instant::now();
    let mut bucket_owner = BucketOwner::new(start);
    let now = start + Duration::from_secs(5);
    let request = CreditRequest {
        customer: customer(),
        number: 1,
        needed: ALLOWANCE.burst,
        prefetch: 0.0,
        unreported: 0.0,
    };
    let mut request_credit = |number| {
        let request = CreditRequest { number, ..request };
        bucket_owner.handle_request(1, request, terms(1.0), BucketRole::Owner, now)
    };
    assert_eq!(request_credit(1), CreditReply::Granted(ALLOWANCE.burst));
    assert_eq!(request_credit(1), CreditReply::Granted(ALLOWANCE.burst));
    assert!(matches!(request_credit(2), CreditReply::Exhausted(_)));
}

#[test]
fn credit_expires() {
    let now = Instant::now();
    let mut local_credit = LocalCredit::new(0, now);
    local_credit.apply_reply(&request_of(0.0), Some(CreditReply::Granted(9_000.0)), now);
    assert_eq!(local_credit.acquire(customer(), 5_000.0, now), Acquisition::Granted);
    let later = now + Duration::from_millis(1_100);
    assert!(matches!(
        local_credit.acquire(customer(), 3_000.0, later),
        Acquisition::RequestCredit(_)
    ));
}

#[test]
fn refunded_credit_can_be_acquired_again() {
    let now = Instant::now();
    let mut local_credit = LocalCredit::new(0, now);
    local_credit.apply_reply(&request_of(0.0), Some(CreditReply::Granted(5_000.0)), now);
    assert_eq!(local_credit.acquire(customer(), 5_000.0, now), Acquisition::Granted);
    assert!(matches!(
        local_credit.acquire(customer(), 5_000.0, now),
        Acquisition::RequestCredit(_)
    ));
    local_credit.refund(customer(), 5_000.0, now);
    assert_eq!(local_credit.acquire(customer(), 5_000.0, now), Acquisition::Granted);
}

#[test]
fn a_request_costs_its_tokens_or_the_plain_default() {
    let tokens = AllowanceUnit::Tokens { plain_tokens: 200 };
    let model = RequestMetadata {
        prompt_tokens: Some(1_460),
        max_output_tokens: 80,
        ..RequestMetadata::default()
    };
    assert_eq!(request_cost(tokens, &model), 1_540.0);
    assert_eq!(request_cost(tokens, &RequestMetadata::default()), 200.0);
    assert_eq!(request_cost(AllowanceUnit::Requests, &model), 1.0);
}
