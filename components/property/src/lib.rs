//! Property checks whose cases are drawn from numbered seeds, so that every run checks the same
//! ones.
//!
//! bolero's own runner takes its seeds from the operating system and stops after a second; its
//! generators are used here with seeds 0 to N. The seed of a case that fails is printed, and
//! `CASE_SEED=N` runs that case alone.

use std::env;
use std::ops::Range;
use std::thread;

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::{TypeGenerator, ValueGenerator, produce};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Runs one case alone.
const SEED_VARIABLE: &str = "CASE_SEED";

/// Prints the seed of a case that panics.
struct Case {
    seed: u64,
}

impl Drop for Case {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("failed with {SEED_VARIABLE}={}", self.seed);
        }
    }
}

/// Checks values of a type.
pub fn check<T: TypeGenerator + 'static>(cases: u64, check: impl FnMut(&T)) {
    check_with(cases, &produce::<T>(), check);
}

/// Checks values of a generator.
pub fn check_with<G: ValueGenerator>(cases: u64, generator: &G, mut check: impl FnMut(&G::Output)) {
    for seed in seeds(cases) {
        let mut driver = Rng::new(ChaCha8Rng::seed_from_u64(seed), &Options::default());
        let Some(value) = generator.generate(&mut driver) else { continue };
        let _case = Case { seed };
        check(&value);
    }
}

fn seeds(cases: u64) -> Range<u64> {
    match env::var(SEED_VARIABLE).ok().and_then(|seed| seed.parse::<u64>().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..cases,
    }
}
