//! The operators' command: one file for each group of subcommands.

mod arguments;
mod check;
mod error;
mod services;

pub use error::CtlError;

use std::ffi::OsString;
use std::process::ExitCode;

use arguments::{Command, HELP};

/// Runs the command as the command line says.
pub fn main(args: Vec<OsString>) -> ExitCode {
    match arguments::parse(args).and_then(run) {
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

fn run(command: Command) -> Result<(), CtlError> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("limpetctl {}", env!("CARGO_PKG_VERSION")),
        Command::Check { file } => check::check(&file)?,
        Command::ServicesApply { file, platform } => services::apply(&file, platform)?,
        Command::ServicesShow { platform } => services::show(platform)?,
    }
    Ok(())
}
