//! Measuring driver: runs the decision logic under load and faults in virtual time.

mod burst;
mod burst_stats;
mod changes;
mod fault;
mod injection;
mod instance_model;
mod operators;
mod platform;
mod run_result;
mod settings;
mod simulation;
mod traffic;

pub use fault::{FAULTS, Fault};
pub use run_result::{Histogram, RunResult};
pub use settings::{Deployment, Faults, Policy, Settings};

use std::process::ExitCode;

use simulation::Simulation;

use crate::arguments::{Args, CommandError, Outcome};

/// Text for `measure --help`, without the list of faults.
const HELP: &str = "\
limpetdeck-lab measure: runs the decision logic on a simulated fabric in virtual time

  --deployment NAME  recarga or serrana
  --policy NAME      naive, owner, epochs or ideal
  --fault NAMES      none, or faults joined by + (a fault may be repeated)
  --seed N           seed of all randomness: same seed, same line, except decide_ns
  --instances N      instances in three failure domains (default 18)
  --flows N          feeds kept open during the run (default 20000)
  --seconds N        virtual duration (default 40, or longer if the faults need it)
  --service-ms X     mean time for which a sale or session occupies a slot (default 100)

Load: feeds are long-lived flows that use no slot; each receives a small packet about
every 4 s and acknowledges it, and 0.2% of them per second are closed and replaced. A
sale or session opens a flow, sends a request, waits for a slot, receives the response
and closes; arrivals are random and use 70% of the slots on average. Callers choose a
service in proportion to its number of targets.

Balance is sampled from 10 s, or from 10 s after the start of the last fault, over the
serving targets; all else counts from 10 s. In a run with a planned fault,
broken_planned counts all broken flows except those of killed targets; broken_unplanned
counts the others.

faults (* planned):
";

/// Runs one measurement and prints its result line.
///
/// # Errors
///
/// Fails if an argument is invalid.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        for fault in FAULTS {
            let mark = if fault.planned { '*' } else { ' ' };
            println!("  {mark} {:<24} {}", fault.name, fault.description);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let settings = Settings::from_args(&mut args)?;
    args.finish()?;
    println!("{}", run(settings)?);
    Ok(ExitCode::SUCCESS)
}

/// Runs one measurement.
///
/// # Errors
///
/// Fails if the deployment's services are invalid.
pub fn run(settings: Settings) -> Result<RunResult, CommandError> {
    let mut sim = Simulation::new(settings)?;
    injection::schedule(&mut sim);
    Ok(sim.run())
}
