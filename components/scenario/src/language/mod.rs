//! The scenario language: rhai with functions that start a fleet, inject faults, send requests and
//! check the results.

mod faults;
mod fleet;
mod flow;
mod requests;
mod run_state;
mod trace;

use rhai::{Dynamic, Engine, EvalAltResult, Scope};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ProgramPaths;
use run_state::{RunState, SharedRunState};
use trace::Trace;

/// Result of a script function.
type CallResult<T> = Result<T, Box<EvalAltResult>>;

/// Deepest nesting of expressions; rhai's default in a debug build is too small.
const MAX_EXPRESSION_DEPTH: usize = 128;

/// A scenario script.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// Name of the scenario.
    pub name: String,
    /// Source text in rhai.
    pub source: String,
}

/// Options of a scenario run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunOptions {
    /// Seed of the random choices of `draw` and `pick`.
    pub seed: u64,
    /// Number of rounds of scenarios that repeat in rounds; `None` for the script's own number.
    pub rounds: Option<i64>,
    /// Whether the trace is printed line by line during the run.
    pub print_trace: bool,
}

/// Report of a scenario run.
#[derive(Debug, Clone)]
pub struct RunReport {
    /// Why the run failed; `None` if it passed.
    pub failure: Option<String>,
    /// Lines of the trace, one for each event.
    pub trace: Vec<String>,
}

impl Script {
    /// Runs the scenario with a fleet of its own.
    pub fn run(&self, program_paths: ProgramPaths, options: RunOptions) -> RunReport {
        let trace = Trace::start(options.print_trace);
        let run_state = RunState::new_shared(program_paths, options, trace.clone());
        let mut engine = Engine::new();
        engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
        fleet::register(&mut engine, &run_state);
        faults::register(&mut engine, &run_state);
        requests::register(&mut engine, &run_state);
        flow::register(&mut engine, &run_state);
        let result = engine.run_with_scope(&mut Scope::new(), &self.source);
        let failure = result.err().map(|error| error.to_string());
        if let Some(failure) = &failure {
            trace.record(&format!("FAILED {failure}"));
        }
        RunReport { failure, trace: trace.lines() }
    }
}

fn lock(run_state: &SharedRunState) -> std::sync::MutexGuard<'_, RunState> {
    run_state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Turns an error with all its causes into an error of the script.
fn script_error(error: impl std::fmt::Display) -> Box<EvalAltResult> {
    format!("{error:#}").into()
}

/// Deserializes an argument of a script function.
fn from_script<T: DeserializeOwned>(argument: rhai::Map) -> CallResult<T> {
    rhai::serde::from_dynamic(&Dynamic::from(argument))
}

/// Serializes a return value of a script function.
fn to_script(value: &impl Serialize) -> CallResult<Dynamic> {
    rhai::serde::to_dynamic(value)
}
