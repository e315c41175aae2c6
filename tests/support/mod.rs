//! Property checker shared by the tests.

use quickcheck::{Gen, QuickCheck};

/// Default seed of all properties; the variable `LIMPETDECK_SEED` overrides it.
const SEED: u64 = 1;
/// Size of generated values.
const SIZE: usize = 100;

/// Returns a checker that generates the same cases in each run, and prints its seed.
pub fn checker(cases: u64) -> QuickCheck {
    let from_env = std::env::var("LIMPETDECK_SEED").ok().and_then(|text| text.parse().ok());
    let seed = from_env.unwrap_or(SEED);
    println!("seed={seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed)).tests(cases)
}
