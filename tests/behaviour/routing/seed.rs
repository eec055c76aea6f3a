//! Seeds of property tests.

use quickcheck::Gen;
use quickcheck::QuickCheck;

const GENERATOR_SIZE: usize = 100;
const SEED_VARIABLE: &str = "FIGRAMP_SEED";

/// Returns the seed from the environment, or a random one, and prints it for failed tests.
pub fn seed() -> u64 {
    let given = std::env::var(SEED_VARIABLE).ok();
    let seed = given.map_or_else(rand::random, |text| text.parse().unwrap());
    println!("{SEED_VARIABLE}={seed}");
    seed
}

/// Creates a checker that runs a property `tests` times.
pub fn checker(tests: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GENERATOR_SIZE, seed()))
        .tests(tests)
        .max_tests(tests)
}
