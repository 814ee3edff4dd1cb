//! Tests of the scheduler with upstreams of several software versions.

use std::time::{Duration, Instant};

use gateway::model::{ServiceId, Topology, Upstream, VersionId};
use gateway::scheduler::{
    AttemptOutcome, Job, Observation, Priority, RouteId, Scheduler, Slot, SlotId, Submission,
    Wakeup,
};

const SLOTS: u32 = 4;
const GATEWAY: u64 = 1;

fn scheduler(upstreams: &[Upstream], now: Instant) -> Scheduler {
    let mut scheduler = Scheduler::new(Topology::default());
    scheduler.set_upstreams(upstreams, now);
    scheduler
}

fn job(now: Instant) -> Job {
    Job {
        service: ServiceId::of("models"),
        route: RouteId(0),
        priority: Priority { tier: 1, route_tier: 0 },
        zone: "a".into(),
        prompt_tokens: 600,
        output_tokens: 10,
        tokens_per_event: 1,
        is_stream: true,
        session_part: None,
        is_last_attempt: false,
        arrived: now,
        objective_at: now + Duration::from_millis(600),
        pause_objective: None,
        queue_deadline: now + Duration::from_millis(1_800),
        deadline: now + Duration::from_secs(12),
        version: None,
        excluded: vec![],
        suspect: vec![],
    }
}

fn try_assign(scheduler: &mut Scheduler, job: Job, now: Instant) -> Option<Slot> {
    match scheduler.submit(job, now) {
        Submission::Assigned(slot) => Some(slot),
        Submission::Queued(_) | Submission::Rejected(_) => None,
    }
}

fn job_at_version(version: &str, now: Instant) -> Job {
    Job { version: Some(VersionId::of("models", version)), ..job(now) }
}

fn upstream_at_version(instance: &str, version: &str) -> Upstream {
    Upstream {
        instance: instance.into(),
        started_unix_ms: 1,
        service: "models".to_owned(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: "a".to_owned(),
        version: version.into(),
        slots: SLOTS,
        draining: false,
    }
}

#[test]
fn a_stream_is_assigned_an_upstream_of_another_version() {
    let now = Instant::now();
    let older = upstream_at_version("older", "v1");
    let mut scheduler = scheduler(&[older.clone(), upstream_at_version("newer", "v2")], now);
    for _ in 0..SLOTS {
        let slot = try_assign(&mut scheduler, job_at_version("v1", now), now);
        assert_eq!(slot.expect("a free slot").upstream, older.id());
    }
    // It waits for its version, although the other one has free slots.
    assert!(matches!(scheduler.submit(job_at_version("v1", now), now), Submission::Queued(_)));
    assert!(try_assign(&mut scheduler, job_at_version("v3", now), now).is_none());
}

#[test]
fn an_upstream_that_changes_its_version_gets_streams_of_the_one_before() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[upstream_at_version("one", "v1")], now);
    scheduler.set_upstreams(&[upstream_at_version("one", "v2")], now);
    assert!(try_assign(&mut scheduler, job_at_version("v1", now), now).is_none());
    assert!(try_assign(&mut scheduler, job_at_version("v2", now), now).is_some());
}

/// Load pattern: many streams of one version broke off at once, and wait for the few upstreams that
/// are left of it.
#[test]
fn streams_that_wait_for_their_version_hold_up_others() {
    let now = Instant::now();
    let newer = upstream_at_version("newer", "v2");
    let mut scheduler = scheduler(&[upstream_at_version("older", "v1"), newer.clone()], now);
    let occupy = |_| try_assign(&mut scheduler, job(now), now).expect("a free slot").id;
    let slots: Vec<SlotId> = (0..2 * SLOTS).map(occupy).collect();
    for _ in 0..20 {
        scheduler.submit(job_at_version("v1", now), now);
    }
    let Submission::Queued(other) = scheduler.submit(job(now), now) else {
        unreachable!("all slots are occupied");
    };
    let observation = Observation::outcome_only(AttemptOutcome::Served);
    let release = |slot| scheduler.release(slot, GATEWAY, observation, now);
    let wakeups: Vec<Wakeup> = slots.into_iter().flat_map(release).collect();
    let is_other = |wakeup: &Wakeup| matches!(wakeup, Wakeup::Assigned(id, _) if *id == other);
    assert!(wakeups.iter().any(is_other), "{wakeups:?}");
}
