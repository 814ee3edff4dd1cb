//! The programs as separate processes: answered, frozen, silenced and ended.

use std::time::Duration;

use scenario::{Booking, Direction, Fleet, FleetPlan, ModelRequest, ProgramPaths};

const LIMIT: Duration = Duration::from_secs(20);

fn start() -> Fleet {
    let programs = ProgramPaths {
        entry: env!("CARGO_BIN_EXE_dragonflyfront-entry").into(),
        agent: env!("CARGO_BIN_EXE_dragonflyfront-agent").into(),
        standin: env!("CARGO_BIN_EXE_dragonflyfront-standin").into(),
    };
    Fleet::spawn(programs, FleetPlan::default()).expect("fleet")
}

#[test]
fn whole_path_serves_streams_and_bookings() {
    let mut fleet = start();
    let asked = ModelRequest { id: "listing-1".to_owned(), ..ModelRequest::default() };
    let answer = fleet.send_model_request("entry-1", &asked).unwrap().wait_for_end(LIMIT);
    assert!(answer.has_stream_end(), "{answer:?}");
    assert_eq!(answer.tokens(), 16);
    assert_eq!(answer.request_id, "listing-1");

    let booking = Booking { key: "pitch-a17".to_owned(), ..Booking::default() };
    let answer = fleet.send_booking("entry-2", &booking).unwrap().wait_for_end(LIMIT);
    assert_eq!(answer.status, 201, "{answer:?}");
    assert_eq!(fleet.total_runs().unwrap().get("pitch-a17"), Some(&1));

    assert_eq!(fleet.stop("agent fast", LIMIT).unwrap(), Some(0));
    fleet.restart("agent fast").unwrap();
    assert_eq!(fleet.stop("entry-1", LIMIT).unwrap(), Some(0));
}

#[test]
fn frozen_engine_says_nothing_until_it_is_thawed() {
    let mut fleet = start();
    let asked = ModelRequest { tokens: 60, ..ModelRequest::default() };
    let pending = fleet.send_model_request("entry-1", &asked).unwrap();
    assert!(pending.wait_for_tokens(3, LIMIT));
    let engines = ["engine fast", "engine slow"];
    for engine in engines {
        fleet.process(engine).unwrap().suspend().unwrap();
    }
    assert!(!pending.wait_for_tokens(60, Duration::from_secs(2)));
    for engine in engines {
        fleet.process(engine).unwrap().resume().unwrap();
    }
    assert!(pending.wait_for_end(LIMIT).has_stream_end());
}

#[test]
fn silenced_link_takes_new_connections() {
    let fleet = start();
    let asked = ModelRequest { tokens: 100, ..ModelRequest::default() };
    let pending = fleet.send_model_request("entry-1", &asked).unwrap();
    assert!(pending.wait_for_tokens(3, LIMIT));
    for link in ["to fast", "to slow"] {
        fleet.relay(link).unwrap().silence_connections(Direction::Backward);
    }
    let answer = pending.wait_for_end(LIMIT);
    assert!(answer.has_stream_end(), "{answer:?}");
    assert_eq!(answer.tokens(), 100);
}
