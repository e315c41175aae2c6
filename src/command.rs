//! What the command lines of the daemons share.

use std::ffi::OsString;
use std::process::ExitCode;

use derive_more::{Display, Error, From};

use crate::daemon::DaemonError;
use crate::settings::Findings;
use crate::signals::Signals;

/// Exit code for wrong arguments or settings.
const EXIT_INVALID: u8 = 2;

/// A command line that cannot be read.
#[derive(Debug, Display, Error, From)]
pub enum ArgumentError {
    /// An argument is missing or has a wrong value.
    #[display("{_0}")]
    Wrong(pico_args::Error),
    /// An argument is not known.
    #[display("unknown argument: {_0}")]
    #[from(skip)]
    Unknown(#[error(not(source))] String),
    /// A value cannot be used.
    #[display("{_0}")]
    #[from(skip)]
    Value(#[error(not(source))] String),
}

/// A program as its users see it.
#[derive(Debug)]
pub struct Program {
    /// Name of the program.
    pub name: &'static str,
    /// Version of the program.
    pub version: &'static str,
    /// Text for `--help`.
    pub help: &'static str,
}

impl Program {
    /// Answers `--help` and `--version`, or reads the arguments and runs with them. Signals are
    /// caught before anything else: one that tells of new settings must not end a process that
    /// is only starting.
    pub fn main<A>(
        &self,
        args: Vec<OsString>,
        parse: impl FnOnce(&mut pico_args::Arguments) -> Result<A, ArgumentError>,
        run: impl FnOnce(A, Signals) -> ExitCode,
    ) -> ExitCode {
        let signals = match Signals::catch() {
            Ok(signals) => signals,
            Err(e) => {
                eprintln!("cannot catch signals: {e}");
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
        match parse(&mut args).and_then(|parsed| finish(args).map(|()| parsed)) {
            Ok(parsed) => run(parsed, signals),
            Err(e) => {
                eprintln!("{e}\n\n{}", self.help);
                ExitCode::from(EXIT_INVALID)
            }
        }
    }
}

fn finish(args: pico_args::Arguments) -> Result<(), ArgumentError> {
    match args.finish().first() {
        Some(unknown) => Err(ArgumentError::Unknown(unknown.to_string_lossy().into_owned())),
        None => Ok(()),
    }
}

/// Prints what is wrong with the settings, and gives the exit code.
pub fn report_findings(findings: &Findings) -> ExitCode {
    eprintln!("{findings}");
    ExitCode::from(EXIT_INVALID)
}

/// Gives the exit code of a daemon, and prints why it could not run.
pub fn exit_code(result: Result<(), DaemonError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
