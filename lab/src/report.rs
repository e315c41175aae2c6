//! The table of policies, faults and deployments, written as a page with plots.

mod cases;
mod page;
mod plots;
mod verdicts;

pub use cases::{Case, Row};
pub use verdicts::{Verdict, verdicts};

use std::path::PathBuf;
use std::process::ExitCode;

use crate::arguments::{Args, Outcome, Usage};

/// Text for `report --help`.
const HELP: &str = "\
limpetdeck-lab report: measures policies, faults and deployments, and writes the page

  --seed N       seed of all runs (1)
  --flows N      feeds of each run (20000)
  --threads N    runs at once (4); decision times are taken from runs that run alone
  --out DIR      where MEASUREMENTS.md and plots/ are written (docs)
";

/// Measures and writes the page.
///
/// # Errors
///
/// Fails on wrong arguments, or if the page cannot be written.
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
    let rows = cases::run_all(cases::all(seed, flows), threads.max(1))?;
    let alone = cases::run_all(cases::alone(seed, flows), 1)?;
    std::fs::create_dir_all(out.join("plots")).map_err(Usage::new)?;
    plots::draw(&out.join("plots"), &rows).map_err(Usage::new)?;
    let page = page::write(&rows, &alone);
    std::fs::write(out.join("MEASUREMENTS.md"), page).map_err(Usage::new)?;
    Ok(ExitCode::SUCCESS)
}
