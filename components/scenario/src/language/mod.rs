//! The scenario language: rhai with calls over a fleet.

mod answers;
mod faults;
mod fleet;
mod flow;
mod trace;
mod world;

use rhai::{Dynamic, Engine, EvalAltResult, Scope};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Programs;
use trace::Trace;
use world::{Shared, World};

/// What a call of the language gives.
type Called<T> = Result<T, Box<EvalAltResult>>;

/// Deepest nesting of expressions; the default is too small for a debug build.
const EXPRESSION_DEPTH: usize = 128;

/// A scenario: its name and its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// The name.
    pub name: String,
    /// The text in rhai.
    pub source: String,
}

/// Options of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunOptions {
    /// Drives `draw` and `pick`.
    pub seed: u64,
    /// Rounds, for scenarios that have them; their own number where `None`.
    pub rounds: Option<i64>,
    /// Whether the trace is printed as it comes.
    pub live: bool,
}

/// Report of a run.
#[derive(Debug, Clone)]
pub struct RunReport {
    /// Why it failed; `None` where it passed.
    pub failure: Option<String>,
    /// What happened, one line each.
    pub trace: Vec<String>,
}

impl Script {
    /// Runs the scenario with a fleet of its own.
    pub fn run(&self, programs: Programs, run: RunOptions) -> RunReport {
        let trace = Trace::start(run.live);
        let world = World::share(programs, run, trace.clone());
        let mut engine = Engine::new();
        engine.set_max_expr_depths(EXPRESSION_DEPTH, EXPRESSION_DEPTH);
        fleet::register(&mut engine, &world);
        faults::register(&mut engine, &world);
        answers::register(&mut engine, &world);
        flow::register(&mut engine, &world);
        let result = engine.run_with_scope(&mut Scope::new(), &self.source);
        let failure = result.err().map(|error| error.to_string());
        if let Some(failure) = &failure {
            trace.say(&format!("FAILED {failure}"));
        }
        RunReport { failure, trace: trace.lines() }
    }
}

fn lock(world: &Shared) -> std::sync::MutexGuard<'_, World> {
    world.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn fail(error: impl std::fmt::Display) -> Box<EvalAltResult> {
    format!("{error:#}").into()
}

fn read<T: DeserializeOwned>(given: rhai::Map) -> Called<T> {
    rhai::serde::from_dynamic(&Dynamic::from(given))
}

fn show(value: &impl Serialize) -> Called<Dynamic> {
    rhai::serde::to_dynamic(value)
}
