//! Runs of all policies, faults and deployments, written as a page with tables and plots.

mod cases;
mod page;
mod plots;
mod verdicts;

pub use cases::{Case, Row};
pub use verdicts::{Verdict, verdicts};

use std::path::PathBuf;
use std::process::ExitCode;

use crate::arguments::{Args, CommandError, Outcome};

/// Text for `report --help`.
const HELP: &str = "\
limpetdeck-lab report: measures policies under faults in each deployment, and writes a page

  --seed N       seed of all runs (default 1)
  --flows N      feeds in each run (default 20000)
  --threads N    runs at a time (default 4); decision times are measured in runs of their
                 own, one at a time
  --out DIR      directory for MEASUREMENTS.md and plots/ (default docs)
";

/// Runs all cases, and writes the page and the plots.
///
/// # Errors
///
/// Fails if an argument is invalid, or if the page or a plot cannot be written.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let seed: u64 = args.value_or("--seed", 1)?;
    let flows: usize = args.value_or("--flows", 20_000)?;
    let threads: usize = args.value_or("--threads", 4)?;
    let out: PathBuf = args.value_or("--out", "docs".to_owned())?.into();
    args.finish()?;
    let rows = cases::run_all(cases::table_cases(seed, flows), threads.max(1))?;
    let timing_rows = cases::run_all(cases::timing_cases(seed, flows), 1)?;
    std::fs::create_dir_all(out.join("plots")).map_err(CommandError::new)?;
    plots::draw(&out.join("plots"), &rows).map_err(CommandError::new)?;
    let page = page::render(&rows, &timing_rows);
    std::fs::write(out.join("MEASUREMENTS.md"), page).map_err(CommandError::new)?;
    Ok(ExitCode::SUCCESS)
}
