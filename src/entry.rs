//! The daemon of an instance: arguments, sockets and time around the decision parts.

mod arguments;
mod core;

pub use arguments::{Arguments, HELP};

use std::process::ExitCode;

use crate::command::{Program, exit_code, report_findings};
use crate::signals::Signals;

const PROGRAM: Program =
    Program { name: "limpetdeck-entry", version: env!("CARGO_PKG_VERSION"), help: HELP };

/// Runs the daemon as the command line says.
pub fn main(args: Vec<std::ffi::OsString>) -> ExitCode {
    PROGRAM.main(args, Arguments::parse, run)
}

fn run(arguments: Arguments, signals: Signals) -> ExitCode {
    match crate::settings::load(&arguments.settings) {
        Ok(settings) => {
            let cfg = core::config(&settings);
            exit_code(crate::daemon::run(cfg, signals, |now| core::make(now, settings)))
        }
        Err(findings) => report_findings(&findings),
    }
}
