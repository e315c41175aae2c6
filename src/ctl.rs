//! The operators' tool `limpetctl`: one module for each group of subcommands.

mod arguments;
mod check;
mod client;
mod error;
mod instances;
mod lists;
mod status;
mod table;
mod targets;

pub use error::CtlError;

use std::ffi::OsString;
use std::process::ExitCode;

use arguments::{Command, HELP};

/// Runs `limpetctl` with the given arguments, prints its output and returns the exit code.
pub fn main(args: Vec<OsString>) -> ExitCode {
    let mut out = String::new();
    let result = run(args, &mut out);
    print!("{out}");
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            if matches!(e, CtlError::Usage(_)) {
                eprintln!("\n{HELP}");
            }
            e.exit_code()
        }
    }
}

/// Runs the command given by `args`, which do not include the program's name, and appends its
/// output to `out`.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the command fails.
pub fn run(args: Vec<OsString>, out: &mut String) -> Result<(), CtlError> {
    match arguments::parse(args)? {
        Command::Help => out.push_str(HELP),
        Command::Version => *out += concat!("limpetctl ", env!("CARGO_PKG_VERSION"), "\n"),
        Command::Check { file } => *out += &check::check(&file)?,
        Command::List { kind, action, options } => *out += &lists::run(kind, &action, &options)?,
        Command::Targets { action, options } => *out += &targets::run(&action, &options)?,
        Command::InstancesList { options } => *out += &instances::list(&options)?,
        Command::InstancesStop { id, options } => *out += &instances::stop(id, &options)?,
        Command::Status { options } => *out += &status::status(&options)?,
    }
    Ok(())
}
