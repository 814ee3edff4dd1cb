//! State of a scenario run, shared by all functions of the script.

use std::sync::{Arc, Mutex};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::trace::Trace;
use super::{CallResult, script_error};
use crate::{Fleet, ProgramPaths, RunOptions};

pub(super) type SharedRunState = Arc<Mutex<RunState>>;

pub(super) struct RunState {
    pub(super) program_paths: ProgramPaths,
    pub(super) fleet: Option<Fleet>,
    pub(super) rng: ChaCha8Rng,
    pub(super) rounds: Option<i64>,
    pub(super) trace: Trace,
}

impl RunState {
    pub(super) fn new_shared(
        program_paths: ProgramPaths,
        options: RunOptions,
        trace: Trace,
    ) -> SharedRunState {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        Arc::new(Mutex::new(RunState {
            program_paths,
            fleet: None,
            rng,
            rounds: options.rounds,
            trace,
        }))
    }

    /// The running fleet; an error if the script has not called `fleet(#{...})`.
    pub(super) fn fleet(&mut self) -> CallResult<&mut Fleet> {
        self.fleet
            .as_mut()
            .ok_or_else(|| script_error("no fleet is running; call fleet(#{}) first"))
    }
}
