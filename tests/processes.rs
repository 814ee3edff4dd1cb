//! Operating system resources of the programs while they serve: no io_uring, no child processes.

use std::fs;
use std::path::Path;
use std::time::Duration;

use scenario::{Booking, Fleet, FleetPlan, ModelRequest, ProgramPaths};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Link target of an io_uring in `/proc/PID/fd`.
const IO_URING_LINK: &str = "anon_inode:[io_uring]";

#[test]
fn programs_open_no_io_uring_and_start_no_child_process() {
    let mut fleet = start_fleet();
    let request = ModelRequest { tokens: 60, ..ModelRequest::default() };
    let stream = fleet.send_model_request("entry-1", &request).unwrap();
    let booking = Booking { key: "looked-at".to_owned(), ..Booking::default() };
    let booking_response = fleet.send_booking("entry-2", &booking).unwrap();
    assert!(stream.wait_for_tokens(3, TIMEOUT));

    let names: Vec<String> = fleet.process_names().map(str::to_owned).collect();
    assert!(names.iter().any(|name| name == "entry-1"), "{names:?}");
    assert!(names.iter().any(|name| name == "agent fast"), "{names:?}");
    for name in names {
        let pid = fleet.process(&name).unwrap().pid();
        let open_files = read_open_files(pid);
        assert!(
            open_files.iter().any(|file| file.starts_with("socket:")),
            "{name}: {open_files:?}"
        );
        assert!(!open_files.iter().any(|file| file == IO_URING_LINK), "{name} opened an io_uring");
        assert_eq!(read_children(pid), Vec::<u32>::new(), "{name} started a child process");
    }
    assert!(stream.wait_for_end(TIMEOUT).is_complete());
    assert_eq!(booking_response.wait_for_end(TIMEOUT).status, 201);
}

/// Guards against a check for child processes that finds none even if there are some.
#[test]
fn child_processes_are_found() {
    let mut fleet = start_fleet();
    let pid = fleet.process("entry-1").unwrap().pid();
    assert!(read_children(std::process::id()).contains(&pid));
}

fn start_fleet() -> Fleet {
    let program_paths = ProgramPaths {
        entry: env!("CARGO_BIN_EXE_dragonflyfront-entry").into(),
        agent: env!("CARGO_BIN_EXE_dragonflyfront-agent").into(),
        standin: env!("CARGO_BIN_EXE_dragonflyfront-standin").into(),
    };
    Fleet::spawn(program_paths, FleetPlan::default()).expect("starting the fleet")
}

fn read_open_files(pid: u32) -> Vec<String> {
    let directory = format!("/proc/{pid}/fd");
    let entries = fs::read_dir(directory).expect("reading the open files");
    let links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    links.map(|link| link.to_string_lossy().into_owned()).collect()
}

fn read_children(pid: u32) -> Vec<u32> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).expect("reading the tasks");
    let lists = tasks.filter_map(|task| read_children_of_task(&task.ok()?.path()));
    lists.flatten().collect()
}

fn read_children_of_task(task: &Path) -> Option<Vec<u32>> {
    let text = fs::read_to_string(task.join("children")).ok()?;
    Some(text.split_whitespace().filter_map(|id| id.parse().ok()).collect())
}
