//! The daemon of an instance: arguments, sockets and time around the decision parts.

mod arguments;
mod core;

pub use arguments::{Arguments, Command, HELP};

use std::process::ExitCode;

/// Exit code for wrong arguments or settings.
const EXIT_INVALID: u8 = 2;

/// Runs the daemon as the command line says.
pub fn main(args: Vec<std::ffi::OsString>) -> ExitCode {
    match Arguments::parse(args) {
        Ok(Command::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("limpetdeck-entry {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Run(arguments)) => run(&arguments),
        Err(e) => {
            eprintln!("{e}\n\n{HELP}");
            ExitCode::from(EXIT_INVALID)
        }
    }
}

fn run(arguments: &Arguments) -> ExitCode {
    let settings = match crate::settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_INVALID);
        }
    };
    match crate::daemon::run(core::config(&settings), |now| core::make(now, settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
