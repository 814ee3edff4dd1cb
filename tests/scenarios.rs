//! Runs the scripts of `tests/scenarios`: all of them, or one by name with a seed.
//!
//! `cargo test --test scenarios -- NAME --seed N [--rounds N]` prints the trace as it comes.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Instant;
use std::{fs, thread};

use pico_args::Arguments;
use scenario::{ProgramPaths, RunOptions, RunReport, Script};

/// The seed of CI.
const DEFAULT_SEED: u64 = 1;

/// Scenarios that run at once.
const LANES: usize = 3;

/// How a scenario counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Passed,
    Failed,
    KnownRed,
    /// Listed as red, and passed.
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

fn run_one(name: &str, run: RunOptions) -> ExitCode {
    let Some(script) = read_scripts().into_iter().find(|script| script.name == name) else {
        // A filter of `cargo test` that means another test.
        println!("no scenario {name:?}; --list shows all");
        return ExitCode::SUCCESS;
    };
    println!("scenario {name} seed {}", run.seed);
    match script.run(programs(), run).failure {
        None => ExitCode::SUCCESS,
        Some(_) => ExitCode::FAILURE,
    }
}

fn run_all(seed: u64) -> ExitCode {
    let scripts = read_scripts();
    let known_red = read_known_red();
    let waiting: Mutex<Vec<Script>> = Mutex::new(scripts.into_iter().rev().collect());
    let verdicts = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..LANES {
            scope.spawn(|| {
                loop {
                    let next = waiting.lock().expect("a lane panicked").pop();
                    let Some(script) = next else { return };
                    let verdict = judge(&script, seed, &known_red);
                    verdicts.lock().expect("a lane panicked").push(verdict);
                }
            });
        }
    });
    let verdicts = verdicts.into_inner().expect("a lane panicked");
    let count = |verdict| verdicts.iter().filter(|found| **found == verdict).count();
    println!(
        "scenarios: {} passed, {} failed, {} known red, {} listed as red but green",
        count(Verdict::Passed),
        count(Verdict::Failed),
        count(Verdict::KnownRed),
        count(Verdict::GreenNow)
    );
    if count(Verdict::Failed) > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn judge(script: &Script, seed: u64, known_red: &[String]) -> Verdict {
    let started_at = Instant::now();
    let report = script.run(programs(), RunOptions { seed, rounds: None, print_trace: false });
    let listed = known_red.contains(&script.name);
    let verdict = match (report.failure.is_none(), listed) {
        (true, false) => Verdict::Passed,
        (false, false) => Verdict::Failed,
        (false, true) => Verdict::KnownRed,
        (true, true) => Verdict::GreenNow,
    };
    print(script, seed, &report, verdict, started_at.elapsed().as_secs_f64());
    verdict
}

fn print(script: &Script, seed: u64, report: &RunReport, verdict: Verdict, took_s: f64) {
    let mut text = format!("scenario {} seed {seed}: {verdict:?} in {took_s:.1} s", script.name);
    if let (Verdict::KnownRed, Some(failure)) = (verdict, &report.failure) {
        text += &format!("\n    {failure}");
    }
    if verdict == Verdict::Failed {
        let again = format!("cargo test --test scenarios -- {} --seed {seed}", script.name);
        text += &format!("\n{}\nagain: {again}", report.trace.join("\n"));
    }
    println!("{text}");
}

fn read_scripts() -> Vec<Script> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut scripts: Vec<Script> = fs::read_dir(folder)
        .expect("tests/scenarios")
        .map(|entry| entry.expect("entry").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "rhai"))
        .map(|path| Script {
            name: path.file_stem().expect("stem").to_string_lossy().into_owned(),
            source: fs::read_to_string(&path).expect("script"),
        })
        .collect();
    scripts.sort_by(|one, other| one.name.cmp(&other.name));
    scripts
}

/// Names on lines of `KNOWN-RED.txt` that begin with `scenario NAME`.
fn read_known_red() -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("KNOWN-RED.txt");
    let text = fs::read_to_string(path).unwrap_or_default();
    let named = text.lines().filter_map(|line| line.strip_prefix("scenario "));
    named.filter_map(|rest| rest.split([' ', ':']).next()).map(str::to_owned).collect()
}

fn programs() -> ProgramPaths {
    ProgramPaths {
        entry: env!("CARGO_BIN_EXE_dragonflyfront-entry").into(),
        agent: env!("CARGO_BIN_EXE_dragonflyfront-agent").into(),
        standin: env!("CARGO_BIN_EXE_dragonflyfront-standin").into(),
    }
}
