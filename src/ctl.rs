//! The operators' command: one file for each group of subcommands.

mod arguments;
mod ask;
mod check;
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

/// Runs the command as the command line says.
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

/// Runs a command line, without the program's name, and adds what it prints to `out`.
///
/// # Errors
///
/// Returns why the command failed.
pub fn run(args: Vec<OsString>, out: &mut String) -> Result<(), CtlError> {
    match arguments::parse(args)? {
        Command::Help => out.push_str(HELP),
        Command::Version => *out += concat!("limpetctl ", env!("CARGO_PKG_VERSION"), "\n"),
        Command::Check { file } => *out += &check::check(&file)?,
        Command::List { kind, action, common } => *out += &lists::run(kind, &action, &common)?,
        Command::Targets { action, common } => *out += &targets::run(&action, &common)?,
        Command::InstancesList { common } => *out += &instances::list(&common)?,
        Command::InstancesStop { id, common } => *out += &instances::stop(id, &common)?,
        Command::Status { common } => *out += &status::status(&common)?,
    }
    Ok(())
}
