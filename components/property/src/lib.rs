//! Property checks with fixed seeds, so that every run checks the same cases.
//!
//! bolero's own runner takes its seeds from the operating system and stops after one second. This
//! crate uses only bolero's generators, with the seeds 0, 1, 2 and so on, one for each case. The
//! seed of a failing case is printed; `CASE_SEED=N` runs only the case with seed N.

use std::env;
use std::ops::Range;
use std::thread;

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::{TypeGenerator, ValueGenerator, produce};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Environment variable with the seed of the only case to run.
const SEED_VARIABLE: &str = "CASE_SEED";

/// Guard that prints the seed of its case if the check panics.
struct SeedReporter {
    seed: u64,
}

impl Drop for SeedReporter {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("failed with {SEED_VARIABLE}={}", self.seed);
        }
    }
}

/// Runs a check for `case_count` generated values of a type.
pub fn check<T: TypeGenerator + 'static>(case_count: u64, check: impl FnMut(&T)) {
    check_with(case_count, &produce::<T>(), check);
}

/// Runs a check for `case_count` values of a generator. Seeds for which the generator yields no
/// value are skipped.
pub fn check_with<G: ValueGenerator>(
    case_count: u64,
    generator: &G,
    mut check: impl FnMut(&G::Output),
) {
    for seed in seeds_to_run(case_count) {
        let mut driver = Rng::new(ChaCha8Rng::seed_from_u64(seed), &Options::default());
        let Some(value) = generator.generate(&mut driver) else { continue };
        let _reporter = SeedReporter { seed };
        check(&value);
    }
}

fn seeds_to_run(case_count: u64) -> Range<u64> {
    match env::var(SEED_VARIABLE).ok().and_then(|seed| seed.parse::<u64>().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..case_count,
    }
}
