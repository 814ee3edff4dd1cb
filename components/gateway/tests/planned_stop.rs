//! What a gateway takes and answers while it is being stopped.

use std::time::{Duration, Instant};

use gateway::planned_stop::{PlannedStop, StopRequest, StopStep};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Load pattern: grace periods from one second to a minute, with a request every 50 ms.
#[test]
fn request_that_may_not_be_repeated_is_taken_and_open_at_the_exit() {
    let start = Instant::now();
    for grace_ms in [1_000, 3_000, 8_000, 60_000] {
        let stop = PlannedStop::begin(ms(grace_ms), start);
        let exits_at = (0..grace_ms)
            .map(|at| start + ms(at))
            .find(|at| stop.next_step(1, *at) == StopStep::Exit)
            .expect("it ends within the grace period");
        for (at_ms, limit_ms) in (0..grace_ms).step_by(50).zip([200, 3_000, 20_000].iter().cycle())
        {
            let now = start + ms(at_ms);
            let deadline = now + ms(*limit_ms);
            let request = StopRequest { may_repeat: false, deadline, longest_time: None };
            if stop.admits(&request, now) {
                assert!(deadline < exits_at, "grace {grace_ms} ms, at {at_ms} ms");
            }
        }
        let answers =
            (0..grace_ms).any(|at| stop.next_step(1, start + ms(at)) == StopStep::AnswerAll);
        assert!(answers, "grace {grace_ms} ms");
    }
}

#[test]
fn requests_are_refused_while_the_balancer_still_sends_them() {
    let start = Instant::now();
    let stop = PlannedStop::begin(ms(8_000), start);
    let deadline = start + ms(30_000);
    let repeatable = StopRequest { may_repeat: true, deadline, longest_time: None };
    assert!(stop.admits(&repeatable, start + ms(2_500)));
    assert!(!stop.admits(&repeatable, start + ms(3_000)));
    let short = StopRequest { may_repeat: false, longest_time: Some(ms(1_000)), ..repeatable };
    assert!(stop.admits(&short, start + ms(2_500)));
    assert_eq!(stop.next_step(0, start + ms(2_500)), StopStep::CloseIdle);
    assert_eq!(stop.next_step(0, start + ms(3_300)), StopStep::Exit);
}
