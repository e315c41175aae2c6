//! The result of a run, from the journals of its callers and targets.

mod journals;

pub use journals::RunResult;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::arguments::{Args, Outcome, Usage};

/// Text for `result --help`.
const HELP: &str = "\
limpetdeck-lab result: compares what callers know with what targets executed

  --caller FILE    journal of a caller (several)
  --target FILE    journal of a target process (several)

exit codes: 0 result=ok, 1 result=failed, 2 wrong arguments
";

/// Prints the result of a run as one line.
///
/// # Errors
///
/// Fails on wrong arguments or if a journal cannot be read.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let callers: Vec<PathBuf> = args.values("--caller")?;
    let targets: Vec<PathBuf> = args.values("--target")?;
    args.finish()?;
    let result = RunResult::read(&callers, &targets).map_err(Usage::new)?;
    println!("{result}");
    Ok(if result.ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
