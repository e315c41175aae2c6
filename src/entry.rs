//! The `limpetdeck-entry` program: command line and settings of an instance's daemon.

mod arguments;
mod setup;

pub use arguments::{Arguments, HELP};

use std::process::ExitCode;

use crate::command::{Program, exit_code, report_findings};
use crate::signals::Signals;

const PROGRAM: Program =
    Program { name: "limpetdeck-entry", version: env!("CARGO_PKG_VERSION"), help: HELP };

/// Runs the program with the given command-line arguments.
pub fn main(args: Vec<std::ffi::OsString>) -> ExitCode {
    PROGRAM.main(args, Arguments::parse, run)
}

fn run(arguments: Arguments, signals: Signals) -> ExitCode {
    match crate::settings::load(&arguments.settings) {
        Ok(settings) => {
            let cfg = setup::daemon_config(&settings);
            exit_code(crate::daemon::run(cfg, signals, |now| setup::build_instance(now, settings)))
        }
        Err(findings) => report_findings(&findings),
    }
}
