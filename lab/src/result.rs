//! Result of a run, read from the journals of its callers and targets.

mod journals;

pub use journals::RunResult;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::arguments::{Args, CommandError, Outcome};

/// Text for `result --help`.
const HELP: &str = "\
limpetdeck-lab result: compares the journals of callers and targets

  --caller FILE    journal of a caller (repeatable)
  --target FILE    journal of a target process (repeatable)

exit codes: 0 result=ok, 1 result=failed, 2 invalid arguments
";

/// Prints the result of a run as one line.
///
/// # Errors
///
/// Fails if an argument is invalid or a journal cannot be read.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let callers: Vec<PathBuf> = args.values("--caller")?;
    let targets: Vec<PathBuf> = args.values("--target")?;
    args.finish()?;
    let result = RunResult::read(&callers, &targets).map_err(CommandError::new)?;
    println!("{result}");
    Ok(if result.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
