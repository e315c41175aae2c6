//! Command-line handling shared by the daemons.

use std::ffi::OsString;
use std::process::ExitCode;

use derive_more::{Display, Error, From};

use crate::daemon::DaemonError;
use crate::settings::Findings;
use crate::signals::Signals;

/// Exit code for invalid arguments or settings.
const EXIT_INVALID: u8 = 2;

/// An invalid command line.
#[derive(Debug, Display, Error, From)]
pub enum ArgumentError {
    /// An argument is missing or its value cannot be parsed.
    #[display("{_0}")]
    Parse(pico_args::Error),
    /// There is an unknown argument.
    #[display("unknown argument: {_0}")]
    #[from(skip)]
    Unknown(#[error(not(source))] String),
    /// A value was parsed but is not allowed.
    #[display("{_0}")]
    #[from(skip)]
    Value(#[error(not(source))] String),
}

/// Name, version and help text of a program.
#[derive(Debug)]
pub struct Program {
    /// Name that `--version` prints.
    pub name: &'static str,
    /// Version that `--version` prints.
    pub version: &'static str,
    /// Text that `--help` prints.
    pub help: &'static str,
}

impl Program {
    /// Handles `--help` and `--version`, or parses the arguments and calls `run` with them.
    ///
    /// Signal handlers are installed before anything else, so that a SIGHUP during startup
    /// does not end the process.
    pub fn main<A>(
        &self,
        args: Vec<OsString>,
        parse: impl FnOnce(&mut pico_args::Arguments) -> Result<A, ArgumentError>,
        run: impl FnOnce(A, Signals) -> ExitCode,
    ) -> ExitCode {
        let signals = match Signals::catch() {
            Ok(signals) => signals,
            Err(e) => {
                eprintln!("cannot install signal handlers: {e}");
                return ExitCode::FAILURE;
            }
        };
        let mut args = pico_args::Arguments::from_vec(args);
        if args.contains(["-h", "--help"]) {
            print!("{}", self.help);
            return ExitCode::SUCCESS;
        }
        if args.contains(["-V", "--version"]) {
            println!("{} {}", self.name, self.version);
            return ExitCode::SUCCESS;
        }
        match parse(&mut args).and_then(|parsed| reject_unknown(args).map(|()| parsed)) {
            Ok(parsed) => run(parsed, signals),
            Err(e) => {
                eprintln!("{e}\n\n{}", self.help);
                ExitCode::from(EXIT_INVALID)
            }
        }
    }
}

fn reject_unknown(args: pico_args::Arguments) -> Result<(), ArgumentError> {
    match args.finish().first() {
        Some(unknown) => Err(ArgumentError::Unknown(unknown.to_string_lossy().into_owned())),
        None => Ok(()),
    }
}

/// Prints the findings about the settings and returns the exit code.
pub fn report_findings(findings: &Findings) -> ExitCode {
    eprintln!("{findings}");
    ExitCode::from(EXIT_INVALID)
}

/// Returns the exit code of a daemon and prints its error, if any.
pub fn exit_code(result: Result<(), DaemonError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
