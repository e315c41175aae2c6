//! The measuring driver: the decision parts under load and faults, in virtual time.

mod burst;
mod burst_count;
mod changes;
mod fault;
mod faults;
mod figures;
mod node;
mod operators;
mod platform;
mod settings;
mod traffic;
mod world;

pub use fault::{FAULTS, Fault};
pub use figures::{Figures, Values};
pub use settings::{Deployment, Faults, Policy, Settings};

use std::process::ExitCode;

use world::World;

use crate::arguments::{Args, Outcome, Usage};

/// Text for `measure --help`, but for the faults.
const HELP: &str = "\
limpetdeck-lab measure: steps the decision parts over a fabric in virtual time

  --deployment NAME  recarga or serrana
  --policy NAME      naive, owner, epochs or ideal
  --fault NAMES      none, or faults joined by + (the same one may stand twice)
  --seed N           seed of all randomness: same seed, same line, but for decide_ns
  --instances N      instances in three failure domains (18)
  --flows N          feeds that are open all the time (20000)
  --seconds N        virtual length (40, or as long as the faults need)
  --service-ms X     mean time that a sale or session uses a slot (100)

Load: feeds stay open, get a small packet every 4 s or so and acknowledge it; 2 in 1000
a second close and are replaced. Sales or sessions open a flow, ask, wait for a slot,
get the answer and close; they come at random times and use 70% of the slots. Feeds use
no slot. All choose a service by the number of its targets.

Balance counts from 10 s, or from 10 s after the last fault has begun, over the targets
that serve; all else counts from 10 s. broken_planned counts all broken flows of a run
with a planned fault but those of killed targets; broken_unplanned counts the others.

faults (* planned):
";

/// Runs once and prints the line.
///
/// # Errors
///
/// Fails on wrong arguments.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        for fault in FAULTS {
            let mark = if fault.planned { '*' } else { ' ' };
            println!("  {mark} {:<24} {}", fault.name, fault.about);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let settings = Settings::from_args(&mut args)?;
    args.finish()?;
    println!("{}", run(settings)?);
    Ok(ExitCode::SUCCESS)
}

/// Runs once.
///
/// # Errors
///
/// Fails if the deployment's services are not valid.
pub fn run(settings: Settings) -> Result<Figures, Usage> {
    let mut world = World::new(settings)?;
    faults::schedule(&mut world);
    Ok(world.run())
}
