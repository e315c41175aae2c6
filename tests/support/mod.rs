//! What several test files share.

use quickcheck::{Gen, QuickCheck};

/// Seed of all properties; the variable `LIMPETDECK_SEED` sets another one.
const SEED: u64 = 1;
/// Size of generated values.
const SIZE: usize = 100;

/// Returns a checker whose cases are the same in each run, and prints its seed.
pub fn checker(cases: u64) -> QuickCheck {
    let named = std::env::var("LIMPETDECK_SEED").ok().and_then(|text| text.parse().ok());
    let seed = named.unwrap_or(SEED);
    println!("seed={seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed)).tests(cases)
}
