//! Measures how cost and state grow with flows, instances, targets and addresses.
//!
//! Times depend on this machine and its load, so only ratios within one run are comparable.

mod fixtures;
mod flows;
mod lookups;
mod peers;
mod services;
mod steering;

use std::hint::black_box;
use std::process::ExitCode;
use std::time::Instant;

use crate::arguments::{Args, Outcome};

/// Default seed.
const DEFAULT_SEED: u64 = 1;

/// Text for `slopes --help`.
const HELP: &str = "\
limpetdeck-lab slopes: prints how run time and state grow with the size of a deployment

  --seed N    seed of all random numbers (default 1)

Times are wall-clock times of this machine: compare them as ratios within one run.
";

/// Runs all measurements and prints them.
///
/// # Errors
///
/// Fails if an argument is invalid.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let seed = args.value_or("--seed", DEFAULT_SEED)?;
    args.finish()?;
    println!("slope=start seed={seed}");
    flows::print(seed);
    peers::print_ranks();
    services::print(seed);
    peers::print_messages();
    peers::print_pings(seed);
    lookups::print();
    steering::print(seed);
    Ok(ExitCode::SUCCESS)
}

/// Calls a function `times` times and returns the mean time of a call in nanoseconds.
fn mean_ns<T>(times: usize, mut run: impl FnMut(usize) -> T) -> f64 {
    let start = Instant::now();
    for i in 0..times {
        black_box(run(i));
    }
    start.elapsed().as_nanos() as f64 / times as f64
}
