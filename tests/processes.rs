//! What the programs hold while they serve: no io_uring, no child process.

use std::fs;
use std::path::Path;
use std::time::Duration;

use scenario::{Booking, Fleet, FleetPlan, ModelRequest, ProgramPaths};

const LIMIT: Duration = Duration::from_secs(20);

/// How the operating system names an io_uring among a process's open files.
const IO_URING: &str = "anon_inode:[io_uring]";

#[test]
fn programs_open_no_io_uring_and_start_no_process() {
    let mut fleet = start();
    let asked = ModelRequest { tokens: 60, ..ModelRequest::default() };
    let stream = fleet.send_model_request("entry-1", &asked).unwrap();
    let booking = Booking { key: "looked-at".to_owned(), ..Booking::default() };
    let booked = fleet.send_booking("entry-2", &booking).unwrap();
    assert!(stream.wait_for_tokens(3, LIMIT));

    let names: Vec<String> = fleet.process_names().map(str::to_owned).collect();
    assert!(names.iter().any(|name| name == "entry-1"), "{names:?}");
    assert!(names.iter().any(|name| name == "agent fast"), "{names:?}");
    for name in names {
        let id = fleet.process(&name).unwrap().pid();
        let open = open_files(id);
        assert!(open.iter().any(|file| file.starts_with("socket:")), "{name}: {open:?}");
        assert!(!open.iter().any(|file| file == IO_URING), "{name} opened an io_uring");
        assert_eq!(children(id), Vec::<u32>::new(), "{name} started a process");
    }
    assert!(stream.wait_for_end(LIMIT).is_complete());
    assert_eq!(booked.wait_for_end(LIMIT).status, 201);
}

#[test]
fn children_are_seen_where_there_are_some() {
    let mut fleet = start();
    let id = fleet.process("entry-1").unwrap().pid();
    assert!(children(std::process::id()).contains(&id));
}

fn start() -> Fleet {
    let programs = ProgramPaths {
        entry: env!("CARGO_BIN_EXE_dragonflyfront-entry").into(),
        agent: env!("CARGO_BIN_EXE_dragonflyfront-agent").into(),
        standin: env!("CARGO_BIN_EXE_dragonflyfront-standin").into(),
    };
    Fleet::spawn(programs, FleetPlan::default()).expect("fleet")
}

fn open_files(id: u32) -> Vec<String> {
    let folder = format!("/proc/{id}/fd");
    let entries = fs::read_dir(folder).expect("open files");
    let links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    links.map(|link| link.to_string_lossy().into_owned()).collect()
}

fn children(id: u32) -> Vec<u32> {
    let tasks = fs::read_dir(format!("/proc/{id}/task")).expect("tasks");
    let lists = tasks.filter_map(|task| read_children(&task.ok()?.path()));
    lists.flatten().collect()
}

fn read_children(task: &Path) -> Option<Vec<u32>> {
    let text = fs::read_to_string(task.join("children")).ok()?;
    Some(text.split_whitespace().filter_map(|id| id.parse().ok()).collect())
}
