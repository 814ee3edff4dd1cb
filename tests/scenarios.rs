//! Runs the scripts in `tests/scenarios`: all of them, or one by name with a seed.
//!
//! `cargo test --test scenarios -- NAME --seed N [--rounds N]` prints the trace during the run.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Instant;
use std::{fs, thread};

use pico_args::Arguments;
use scenario::{ProgramPaths, RunOptions, RunReport, Script};

/// The seed that is used unless `--seed` is given, as in CI.
const DEFAULT_SEED: u64 = 1;

/// Maximum number of scenarios that run at the same time.
const PARALLEL_SCENARIOS: usize = 3;

/// Result of a scenario, compared with `KNOWN-RED.txt`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Passed,
    Failed,
    /// Failed and listed in `KNOWN-RED.txt`.
    KnownRed,
    /// Passed although listed in `KNOWN-RED.txt`.
    GreenNow,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--list") {
        read_scripts().iter().for_each(|script| println!("{}", script.name));
        return ExitCode::SUCCESS;
    }
    let seed = arguments.opt_value_from_str("--seed").expect("--seed N").unwrap_or(DEFAULT_SEED);
    let rounds = arguments.opt_value_from_str("--rounds").expect("--rounds N");
    let names = arguments.finish();
    let name = names.iter().filter_map(|name| name.to_str()).find(|name| !name.starts_with("--"));
    match name {
        Some(name) => run_one(name, RunOptions { seed, rounds, print_trace: true }),
        None => run_all(seed),
    }
}

fn run_one(name: &str, options: RunOptions) -> ExitCode {
    let Some(script) = read_scripts().into_iter().find(|script| script.name == name) else {
        // `cargo test NAME` passes the name to every test binary; it may be that of another test.
        println!("no scenario {name:?}; --list shows all");
        return ExitCode::SUCCESS;
    };
    println!("scenario {name} seed {}", options.seed);
    match script.run(program_paths(), options).failure {
        None => ExitCode::SUCCESS,
        Some(_) => ExitCode::FAILURE,
    }
}

fn run_all(seed: u64) -> ExitCode {
    let scripts = read_scripts();
    let known_red = read_known_red();
    let queue: Mutex<Vec<Script>> = Mutex::new(scripts.into_iter().rev().collect());
    let verdicts = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PARALLEL_SCENARIOS {
            scope.spawn(|| {
                loop {
                    let next = queue.lock().expect("a worker thread panicked").pop();
                    let Some(script) = next else { return };
                    let verdict = run_and_compare(&script, seed, &known_red);
                    verdicts.lock().expect("a worker thread panicked").push(verdict);
                }
            });
        }
    });
    let verdicts = verdicts.into_inner().expect("a worker thread panicked");
    let count = |verdict| verdicts.iter().filter(|found| **found == verdict).count();
    println!(
        "scenarios: {} passed, {} failed, {} known red, {} passed although listed as known red",
        count(Verdict::Passed),
        count(Verdict::Failed),
        count(Verdict::KnownRed),
        count(Verdict::GreenNow)
    );
    if count(Verdict::Failed) > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn run_and_compare(script: &Script, seed: u64, known_red: &[String]) -> Verdict {
    let started_at = Instant::now();
    let report = script.run(program_paths(), RunOptions { seed, rounds: None, print_trace: false });
    let is_known_red = known_red.contains(&script.name);
    let verdict = match (report.failure.is_none(), is_known_red) {
        (true, false) => Verdict::Passed,
        (false, false) => Verdict::Failed,
        (false, true) => Verdict::KnownRed,
        (true, true) => Verdict::GreenNow,
    };
    print_result(script, seed, &report, verdict, started_at.elapsed().as_secs_f64());
    verdict
}

fn print_result(script: &Script, seed: u64, report: &RunReport, verdict: Verdict, duration_s: f64) {
    let mut text =
        format!("scenario {} seed {seed}: {verdict:?} in {duration_s:.1} s", script.name);
    if let (Verdict::KnownRed, Some(failure)) = (verdict, &report.failure) {
        text += &format!("\n    {failure}");
    }
    if verdict == Verdict::Failed {
        let command = format!("cargo test --test scenarios -- {} --seed {seed}", script.name);
        text += &format!("\n{}\nto repeat: {command}", report.trace.join("\n"));
    }
    println!("{text}");
}

fn read_scripts() -> Vec<Script> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut scripts: Vec<Script> = fs::read_dir(directory)
        .expect("reading tests/scenarios")
        .map(|entry| entry.expect("directory entry").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "rhai"))
        .map(|path| Script {
            name: path.file_stem().expect("file name").to_string_lossy().into_owned(),
            source: fs::read_to_string(&path).expect("reading the script"),
        })
        .collect();
    scripts.sort_by(|one, other| one.name.cmp(&other.name));
    scripts
}

/// Names of the scenarios in `KNOWN-RED.txt`, whose lines begin with `scenario NAME`.
fn read_known_red() -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("KNOWN-RED.txt");
    let text = fs::read_to_string(path).unwrap_or_default();
    let entries = text.lines().filter_map(|line| line.strip_prefix("scenario "));
    entries.filter_map(|entry| entry.split([' ', ':']).next()).map(str::to_owned).collect()
}

fn program_paths() -> ProgramPaths {
    ProgramPaths {
        entry: env!("CARGO_BIN_EXE_dragonflyfront-entry").into(),
        agent: env!("CARGO_BIN_EXE_dragonflyfront-agent").into(),
        standin: env!("CARGO_BIN_EXE_dragonflyfront-standin").into(),
    }
}
