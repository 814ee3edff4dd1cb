//! What the calls of one run share.

use std::sync::{Arc, Mutex};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::trace::Trace;
use super::{Called, fail};
use crate::{Fleet, Programs, RunOptions};

pub(super) type Shared = Arc<Mutex<World>>;

pub(super) struct World {
    pub(super) programs: Programs,
    pub(super) fleet: Option<Fleet>,
    pub(super) rng: ChaCha8Rng,
    pub(super) rounds: Option<i64>,
    pub(super) trace: Trace,
}

impl World {
    pub(super) fn share(programs: Programs, run: RunOptions, trace: Trace) -> Shared {
        let rng = ChaCha8Rng::seed_from_u64(run.seed);
        Arc::new(Mutex::new(World { programs, fleet: None, rng, rounds: run.rounds, trace }))
    }

    /// The fleet, which `fleet(#{...})` starts.
    pub(super) fn fleet(&mut self) -> Called<&mut Fleet> {
        self.fleet.as_mut().ok_or_else(|| fail("no fleet runs; call fleet(#{}) first"))
    }
}
