//! The programs as separate processes: requests, suspended processes, silent relays and shutdown.

use std::time::Duration;

use scenario::{Booking, Direction, Fleet, FleetPlan, ModelRequest, ProgramPaths};

const TIMEOUT: Duration = Duration::from_secs(20);

fn start_fleet() -> Fleet {
    let program_paths = ProgramPaths {
        entry: env!("CARGO_BIN_EXE_dragonflyfront-entry").into(),
        agent: env!("CARGO_BIN_EXE_dragonflyfront-agent").into(),
        standin: env!("CARGO_BIN_EXE_dragonflyfront-standin").into(),
    };
    Fleet::spawn(program_paths, FleetPlan::default()).expect("starting the fleet")
}

#[test]
fn fleet_serves_streams_and_bookings_and_its_processes_stop_cleanly() {
    let mut fleet = start_fleet();
    let request = ModelRequest { id: "listing-1".to_owned(), ..ModelRequest::default() };
    let response = fleet.send_model_request("entry-1", &request).unwrap().wait_for_end(TIMEOUT);
    assert!(response.has_stream_end(), "{response:?}");
    assert_eq!(response.tokens(), 16);
    assert_eq!(response.request_id, "listing-1");

    let booking = Booking { key: "pitch-a17".to_owned(), ..Booking::default() };
    let response = fleet.send_booking("entry-2", &booking).unwrap().wait_for_end(TIMEOUT);
    assert_eq!(response.status, 201, "{response:?}");
    assert_eq!(fleet.total_runs().unwrap().get("pitch-a17"), Some(&1));

    assert_eq!(fleet.stop("agent fast", TIMEOUT).unwrap(), Some(0));
    fleet.restart("agent fast").unwrap();
    assert_eq!(fleet.stop("entry-1", TIMEOUT).unwrap(), Some(0));
}

/// Guards against a stream that does not continue after its engine was suspended for a time.
#[test]
fn stream_continues_after_suspended_engine_is_resumed() {
    let mut fleet = start_fleet();
    let request = ModelRequest { tokens: 60, ..ModelRequest::default() };
    let pending = fleet.send_model_request("entry-1", &request).unwrap();
    assert!(pending.wait_for_tokens(3, TIMEOUT));
    let engines = ["engine fast", "engine slow"];
    for engine in engines {
        fleet.process(engine).unwrap().suspend().unwrap();
    }
    assert!(!pending.wait_for_tokens(60, Duration::from_secs(2)));
    for engine in engines {
        fleet.process(engine).unwrap().resume().unwrap();
    }
    assert!(pending.wait_for_end(TIMEOUT).has_stream_end());
}

/// Guards against a stream that hangs when the connection to its agent falls silent, although new
/// connections through the relay work.
#[test]
fn stream_completes_over_a_new_connection_after_its_relay_falls_silent() {
    let fleet = start_fleet();
    let request = ModelRequest { tokens: 100, ..ModelRequest::default() };
    let pending = fleet.send_model_request("entry-1", &request).unwrap();
    assert!(pending.wait_for_tokens(3, TIMEOUT));
    for relay in ["to fast", "to slow"] {
        fleet.relay(relay).unwrap().silence_connections(Direction::Backward);
    }
    let response = pending.wait_for_end(TIMEOUT);
    assert!(response.has_stream_end(), "{response:?}");
    assert_eq!(response.tokens(), 100);
}
